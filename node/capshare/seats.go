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
	// perSeat spreads the writes of all holders after a change that concerns
	// them all, for a write made on an outdated record costs a call and fails.
	perSeat = 20 * time.Millisecond
	// writeTimeout bounds a call to the platform.
	writeTimeout = 5 * time.Second
	// retryFirst and retryMax bound the pause after a failed write.
	retryFirst = 100 * time.Millisecond
	retryMax   = 10 * time.Second
)

// seatLoop keeps this entry VM's seat of one cap until ctx ends.
func (k *Caps) seatLoop(ctx context.Context, sh *share) {
	backoff := objects.NewBackoff(retryFirst, retryMax, k.config.Random)
	wait := k.spread(sh)
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		select { // what woke the loop up is looked at now
		case <-sh.changed:
		default:
		}
		if err := k.step(ctx, sh); err != nil {
			level.Debug(k.config.Log).Log("part", "capshare", "msg", "seats", "cap", sh.name, "err", err)
			wait = backoff.Next()
			continue
		}
		backoff.Reset()
		wait = k.waitForChange(ctx, sh)
	}
}

// waitForChange returns when the seats should be looked at again, with the
// pause to make before that.
func (k *Caps) waitForChange(ctx context.Context, sh *share) time.Duration {
	timer := time.NewTimer(stepEvery)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
		return 0
	case <-sh.changed:
	}
	return k.spread(sh)
}

// spread is a random pause that grows with the number of seats.
func (k *Caps) spread(sh *share) time.Duration {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	seats := 1
	if sh.seats != nil {
		seats += len(sh.seats.Seats)
	}
	return time.Duration(k.config.Random() * float64(seats) * float64(perSeat))
}

// step decides on the seats and writes what was decided.
func (k *Caps) step(ctx context.Context, sh *share) error {
	gone := k.goneVMs(ctx, sh)
	sh.mu.Lock()
	change, ok := k.plan(sh, gone)
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

// plan decides and makes the holder stop using what it is to give up; sh.mu is
// held.
func (k *Caps) plan(sh *share, gone func(routing.CapSeat) bool) (caps.Change, bool) {
	s := sh.snapshot
	if s.Caps[sh.name] != nil && s.Shifts[s.Caps[sh.name].Shift] == nil {
		// A cap whose shift is missing: the two may arrive one after the other,
		// and seats are not given up for that.
		return caps.Change{}, false
	}
	view := sh.view(nil, k.config.IsZoneReader())
	view.Claimants = k.claimants(s, sh.name)
	view.Gone = gone
	change := caps.Plan(view)
	sh.holder.Shrink(time.Now(), change.Keep)
	return change, true
}

// claimants lists the entry VMs that should hold a seat.
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

// write stores the seats on condition of the record they were made from, and
// acts on what the platform then shows. After an error that leaves the outcome
// open the record is read back: the holder goes by the lower of the two numbers
// until it sees a newer record.
func (k *Caps) write(ctx context.Context, sh *share, seats *routing.CapSeats) error {
	value, err := json.Marshal(seats)
	if err != nil {
		return errors.Wrap(err, "capshare: encode seats")
	}
	k.metrics.writes.Inc(1)
	stored, err := k.store(ctx, sh.name, seats.Version, value)
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
		// Decide again on the newer record after a pause.
		sh.wake()
	default:
		return err
	}
	return sh.learn(stored)
}

func (k *Caps) store(ctx context.Context, name string, version int64, value []byte) (objects.Object, error) {
	if version == 0 {
		return k.config.Platform.Create(ctx, routing.KindCapSeats, name, value)
	}
	return k.config.Platform.Update(ctx, routing.KindCapSeats, name, version, value)
}

// learn acts on a stored record.
func (s *share) learn(stored objects.Object) error {
	var seats routing.CapSeats
	if err := json.Unmarshal(stored.Value, &seats); err != nil {
		return errors.Wrapf(err, "capshare: CapSeats %s is not readable; delete it on the platform while no entry VM serves its cap", s.name)
	}
	seats.Version = stored.Version
	s.mu.Lock()
	defer s.mu.Unlock()
	s.adopt(time.Now(), &seats)
	return nil
}
