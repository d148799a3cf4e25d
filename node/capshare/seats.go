package capshare

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log/level"

	"heatherlock/node/seam"
	"heatherlock/objects"
	"heatherlock/steering"
	"heatherlock/steering/caps"
	"heatherlock/steering/routing"
)

const (
	// writeSpreadPerSeat spreads the writes of all holders after a change that affects all of
	// them, because a write that is based on an outdated record costs a call and fails.
	writeSpreadPerSeat = 20 * time.Millisecond
	// writeTimeout bounds a call to the platform.
	writeTimeout = 5 * time.Second
	// minRetryDelay and maxRetryDelay bound the delay after a failed write.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 10 * time.Second
)

// seatLoop maintains this entry VM's seat in one cap until ctx ends.
func (k *Caps) seatLoop(ctx context.Context, sh *share) {
	backoff := objects.NewBackoff(minRetryDelay, maxRetryDelay, k.config.Random)
	wait := k.writeDelay(sh)
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		select { // the call of reconcile below also covers a pending check
		case <-sh.checkWanted:
		default:
		}
		if err := k.reconcile(ctx, sh); err != nil {
			level.Debug(k.config.Log).Log("part", "capshare", "msg", "seats", "cap", sh.name, "err", err)
			wait = backoff.Next()
			continue
		}
		backoff.Reset()
		wait = k.waitForChange(ctx, sh)
	}
}

// waitForChange blocks until the seats are to be checked again. It returns the delay before that
// check.
func (k *Caps) waitForChange(ctx context.Context, sh *share) time.Duration {
	timer := time.NewTimer(checkInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
		return 0
	case <-sh.checkWanted:
	}
	return k.writeDelay(sh)
}

// writeDelay returns a random delay that grows with the number of seats.
func (k *Caps) writeDelay(sh *share) time.Duration {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	seats := 1
	if sh.seats != nil {
		seats += len(sh.seats.Seats)
	}
	return time.Duration(k.config.Random() * float64(seats) * float64(writeSpreadPerSeat))
}

// reconcile decides how the seats should change and writes the change.
func (k *Caps) reconcile(ctx context.Context, sh *share) error {
	gone := k.goneVMs(ctx, sh)
	sh.mu.Lock()
	change, ok := k.planChange(sh, gone)
	sh.mu.Unlock()
	if !ok {
		return nil
	}
	ctx, stop := context.WithTimeout(ctx, writeTimeout)
	defer stop()
	switch {
	case change.Delete:
		_, err := k.config.Platform.Delete(ctx, routing.KindCapSeats, sh.name, sh.recordVersion())
		return err
	case change.Seats != nil:
		return k.write(ctx, sh, change.Seats)
	}
	return nil
}

// planChange decides how the seats should change, and makes the holder stop using the permits
// that it is to release. The caller holds sh.mu.
func (k *Caps) planChange(sh *share, gone func(routing.CapSeat) bool) (caps.Change, bool) {
	s := sh.snapshot
	if s.Caps[sh.name] != nil && s.Shifts[s.Caps[sh.name].Shift] == nil {
		// The shift of the cap is missing. The two objects may arrive one after the other, so
		// seats are not released for that.
		return caps.Change{}, false
	}
	planView := sh.planView(nil, k.config.IsZoneReader())
	planView.Claimants = k.claimants(s, sh.name)
	planView.Gone = gone
	change := caps.Plan(planView)
	sh.holder.Shrink(time.Now(), change.Keep)
	return change, true
}

// claimants returns the entry VMs that should hold a seat.
func (k *Caps) claimants(s *routing.Snapshot, name string) []steering.VM {
	zones := receivingZones(s, name)
	var vms []steering.VM
	add := func(m seam.Member) {
		if m.State != seam.MemberLive && m.State != seam.MemberSuspect {
			return
		}
		if slices.Contains(zones, m.Zone) {
			vms = append(vms, m.VM)
		}
	}
	for _, m := range k.config.Members.All() {
		if m.VM != k.self.VM {
			add(m)
		}
	}
	add(k.config.Members.Self())
	return vms
}

func (s *share) recordVersion() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.seats == nil {
		return 0
	}
	return s.seats.Version
}

// write stores the seats on the condition that the record they are based on is unchanged, and
// applies the record that the platform then holds. If the write conflicts or its outcome is
// unknown, the record is read back. Until the holder sees a newer record, it uses the lower of
// the two numbers of permits.
func (k *Caps) write(ctx context.Context, sh *share, seats *routing.CapSeats) error {
	value, err := json.Marshal(seats)
	if err != nil {
		return errors.Wrap(err, "capshare: encode seats")
	}
	k.metrics.writes.Inc(1)
	stored, err := k.putSeats(ctx, sh.name, seats.Version, value)
	switch objects.KindOf(err) {
	case "":
		if err != nil {
			return err
		}
	case objects.Conflict, objects.NotFound, objects.Unknown:
		k.metrics.conflicts.Inc(1)
		if stored, err = k.config.Platform.Get(ctx, routing.KindCapSeats, sh.name); err != nil {
			return err
		}
		// Plan again with the newer record after a delay.
		sh.requestCheck()
	default:
		return err
	}
	return sh.applyStored(stored)
}

func (k *Caps) putSeats(ctx context.Context, name string, version int64, value []byte) (objects.Object, error) {
	if version == 0 {
		return k.config.Platform.Create(ctx, routing.KindCapSeats, name, value)
	}
	return k.config.Platform.Update(ctx, routing.KindCapSeats, name, version, value)
}

// applyStored applies a record as the platform stores it.
func (s *share) applyStored(stored objects.Object) error {
	var seats routing.CapSeats
	if err := json.Unmarshal(stored.Value, &seats); err != nil {
		return errors.Wrapf(err, "capshare: CapSeats %s is not readable; delete it on the platform while no entry VM serves its cap", s.name)
	}
	seats.Version = stored.Version
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applySeats(time.Now(), &seats)
	return nil
}
