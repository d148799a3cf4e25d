package capshare

import (
	"context"
	"sync"
	"time"

	"heatherlock/node/seam"
	"heatherlock/objects"
	"heatherlock/steering"
	"heatherlock/steering/routing"
)

// listInterval bounds how often this entry VM reads the platform's list of VMs.
const listInterval = 5 * time.Second

// seatKey identifies the holder of a seat.
type seatKey struct {
	vm          steering.VM
	incarnation steering.Incarnation
}

// vmList is the platform's list of VMs as last read, and the times at which this entry VM first
// saw the holders of seats.
type vmList struct {
	mu        sync.Mutex
	present   map[string]bool // listed VMs; false for those that are gone
	readAt    time.Time
	firstSeen map[seatKey]time.Time
}

// goneVMs returns a function that reports whether the platform lists the holder of a seat as
// gone. Only the zone's reader reads the list, and only while it sees a holder as suspect or
// gone, or does not see it.
//
// The list lags and may still show an earlier VM of the same name as gone while its successor
// holds the seat. Clearing that seat would give the same permits to two holders. An entry of the
// list therefore counts only if the list was read at least Config.ListLag after this entry VM
// first saw the holder: what the list shows is then newer than the holder.
func (k *Caps) goneVMs(ctx context.Context, sh *share) func(routing.CapSeat) bool {
	now := time.Now()
	anyNotReachable := k.recordHolders(sh, now)
	if anyNotReachable && k.config.IsZoneReader() {
		k.readList(ctx, now)
	}
	return k.isGone
}

// recordHolders records the holders of the seats and reports whether one of the others is suspect,
// gone or missing in the view.
func (k *Caps) recordHolders(sh *share, now time.Time) (anyNotReachable bool) {
	sh.mu.Lock()
	seats := sh.seats
	sh.mu.Unlock()
	if seats == nil {
		return false
	}
	k.vms.mu.Lock()
	defer k.vms.mu.Unlock()
	for _, seat := range seats.Seats {
		key := seatKey{seat.VM, seat.Incarnation}
		if _, known := k.vms.firstSeen[key]; !known {
			k.vms.firstSeen[key] = now
		}
		if seat.VM == k.self.VM {
			continue
		}
		m, known := k.config.Members.ByIncarnation(seat.Incarnation)
		if !known || m.State == seam.MemberGone || m.State == seam.MemberSuspect {
			anyNotReachable = true
		}
	}
	k.vms.limitSize()
	return anyNotReachable
}

// maxKnownHolders bounds the recorded holders. Dropping a holder only delays the clearing of its
// seat.
const maxKnownHolders = 8192

func (l *vmList) limitSize() {
	if len(l.firstSeen) > maxKnownHolders {
		clear(l.firstSeen)
	}
}

func (k *Caps) readList(ctx context.Context, now time.Time) {
	k.vms.mu.Lock()
	due := now.Sub(k.vms.readAt) >= listInterval
	k.vms.mu.Unlock()
	if !due {
		return
	}
	ctx, stop := context.WithTimeout(ctx, writeTimeout)
	defer stop()
	vms, err := k.config.Platform.VMs(ctx)
	if err != nil {
		return
	}
	present := make(map[string]bool, len(vms))
	for _, vm := range vms {
		present[vm.Name] = vm.State != objects.VMGone
	}
	k.vms.mu.Lock()
	defer k.vms.mu.Unlock()
	k.vms.present, k.vms.readAt = present, now
}

// isGone reports whether the platform's list shows the holder of a seat as gone. A VM that the list
// does not contain counts as gone.
func (k *Caps) isGone(seat routing.CapSeat) bool {
	k.vms.mu.Lock()
	defer k.vms.mu.Unlock()
	first, known := k.vms.firstSeen[seatKey{seat.VM, seat.Incarnation}]
	if !known || k.vms.readAt.Before(first.Add(k.config.ListLag)) {
		return false
	}
	return !k.vms.present[string(seat.VM)]
}
