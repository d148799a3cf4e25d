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

// listEvery bounds how often this entry VM reads the platform's list of VMs.
const listEvery = 5 * time.Second

// seatKey names the holder of a seat.
type seatKey struct {
	vm          steering.VM
	incarnation steering.Incarnation
}

// vmList is the platform's list of VMs as last read, with since when each
// holder of a seat is known here.
type vmList struct {
	mu        sync.Mutex
	running   map[string]bool
	readAt    time.Time
	firstSeen map[seatKey]time.Time
}

// goneVMs returns what says whether the platform has shown the holder of a
// seat as gone. Only the zone's reader reads the list, and only while a holder
// is not live in its view.
//
// What can go wrong: the list lags, and may still show as gone an earlier VM of
// the same name while its successor holds the seat. One would notice two
// holders of one permit. So a line counts only when it was read a lag after
// this entry VM first saw the holder: what it shows is then newer than the
// holder.
func (k *Caps) goneVMs(ctx context.Context, sh *share) func(routing.CapSeat) bool {
	now := time.Now()
	doubtful := k.noteHolders(sh, now)
	if doubtful && k.config.IsZoneReader() {
		k.readList(ctx, now)
	}
	return k.isGone
}

// noteHolders records the holders of seats and reports whether one of them is
// not live in the view.
func (k *Caps) noteHolders(sh *share, now time.Time) (doubtful bool) {
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
			doubtful = true
		}
	}
	k.vms.forget()
	return doubtful
}

// maxHolders bounds the remembered holders; forgetting one only delays the
// clearing of its seat.
const maxHolders = 8192

func (l *vmList) forget() {
	if len(l.firstSeen) > maxHolders {
		clear(l.firstSeen)
	}
}

func (k *Caps) readList(ctx context.Context, now time.Time) {
	k.vms.mu.Lock()
	due := now.Sub(k.vms.readAt) >= listEvery
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
	running := make(map[string]bool, len(vms))
	for _, vm := range vms {
		running[vm.Name] = vm.State != objects.VMGone
	}
	k.vms.mu.Lock()
	defer k.vms.mu.Unlock()
	k.vms.running, k.vms.readAt = running, now
}

func (k *Caps) isGone(seat routing.CapSeat) bool {
	k.vms.mu.Lock()
	defer k.vms.mu.Unlock()
	first, known := k.vms.firstSeen[seatKey{seat.VM, seat.Incarnation}]
	if !known || k.vms.readAt.Before(first.Add(k.config.ListLag)) {
		return false
	}
	return !k.vms.running[string(seat.VM)]
}
