package dynamic

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"heatherlock/objects"
	"heatherlock/steering"
	"heatherlock/steering/config"
	"heatherlock/steering/ownership"
)

const (
	// leaseTimeout limits one platform call for the lease.
	leaseTimeout = 2 * time.Second
	// leaseCandidates is how many members of a zone, besides the holder, poll
	// the lease and try to acquire it.
	leaseCandidates = 2
	// leasePrefix precedes the zone in the name of its lease object.
	leasePrefix = "zone-reader."
)

// LeaseName returns the name of the object that holds a zone's reader lease.
func LeaseName(zone steering.Zone) string { return leasePrefix + string(zone) }

// guardedLease protects a lease with a mutex and signals its updates.
type guardedLease struct {
	mu      sync.Mutex
	lease   *config.Lease
	changed chan struct{} // closed by the next update; nil if no goroutine waits
}

func (h *guardedLease) update(f func(*config.Lease)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f(h.lease)
	if h.changed != nil {
		close(h.changed)
		h.changed = nil
	}
}

func (h *guardedLease) holding(now time.Time) (int64, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lease.Holding(now)
}

func (h *guardedLease) holder() steering.VM {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lease.Holder()
}

func (h *guardedLease) changes() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.changed == nil {
		h.changed = make(chan struct{})
	}
	return h.changed
}

// waitForChange waits until the lease is updated or maxWait has passed. It returns
// an error only if ctx ends first.
func (h *guardedLease) waitForChange(ctx context.Context, maxWait time.Duration) error {
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-h.changes():
	case <-timer.C:
	}
	return nil
}

// whileHeld returns a context that ends when the lease is lost or expires, or nil
// if the lease is not held.
func (h *guardedLease) whileHeld(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, held := h.holding(time.Now()); !held {
		return nil, nil
	}
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		defer cancel()
		for {
			if _, held := h.holding(time.Now()); !held {
				return
			}
			if h.waitForChange(ctx, time.Second) != nil {
				return
			}
		}
	}()
	return ctx, cancel
}

// leaseLoop acquires and renews the zone's reader lease until ctx ends, then
// releases it.
func (s *Syncer) leaseLoop(ctx context.Context) error {
	defer s.releaseLease(context.WithoutCancel(ctx))
	for {
		var action config.Action
		candidate := s.isCandidate()
		s.lease.update(func(l *config.Lease) { action = l.Next(time.Now(), candidate) })
		switch action.Step {
		case config.Read:
			s.readLease(ctx)
		case config.Write:
			s.writeLease(ctx, action)
		case config.Wait:
			if err := sleep(ctx, jittered(max(time.Until(action.At), 0))); err != nil {
				return err
			}
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// isCandidate reports whether this entry VM is among the first leaseCandidates
// members of its zone, not counting the holder. Every entry VM decides from its
// own view of the members. If two views differ, a few more reads are made, and
// the conditional write lets only one candidate acquire the lease.
func (s *Syncer) isCandidate() bool {
	holder := s.lease.holder()
	vms := []steering.VM{s.self.VM}
	for _, m := range s.config.Members.InZone(s.self.Zone) {
		if m.VM != holder {
			vms = append(vms, m.VM)
		}
	}
	for _, vm := range ownership.First("", steering.Service(LeaseName(s.self.Zone)), vms, leaseCandidates) {
		if vm == s.self.VM {
			return true
		}
	}
	return false
}

func (s *Syncer) readLease(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	stored, err := s.config.Platform.Get(callCtx, KindLease, LeaseName(s.self.Zone))
	if err != nil && objects.KindOf(err) != objects.NotFound {
		s.leaseFailed("read", err)
		return
	}
	var record config.Record
	if err == nil {
		if decodeErr := json.Unmarshal(stored.Value, &record); decodeErr != nil {
			s.leaseFailed("decode", decodeErr)
		}
	}
	s.lease.update(func(l *config.Lease) { l.ObserveRecord(time.Now(), record, stored.Version) })
}

func (s *Syncer) writeLease(ctx context.Context, action config.Action) {
	callCtx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	value, err := json.Marshal(action.Record)
	if err != nil {
		s.leaseFailed("encode", err)
		return
	}
	var stored objects.Object
	if action.Version == 0 {
		stored, err = s.config.Platform.Create(callCtx, KindLease, LeaseName(s.self.Zone), value)
	} else {
		stored, err = s.config.Platform.Update(callCtx, KindLease, LeaseName(s.self.Zone), action.Version, value)
	}
	if err != nil {
		s.leaseFailed("write", err)
	}
	previousEpoch, wasHolder := s.Leader()
	s.lease.update(func(l *config.Lease) { l.ObserveWrite(time.Now(), writeResult(err), stored.Version) })
	if epoch, isHolder := s.Leader(); isHolder && (!wasHolder || epoch != previousEpoch) {
		s.scope.Counter("lease_taken").Inc(1)
		level.Info(s.log).Log("msg", "acquired the zone's reader lease", "epoch", epoch)
	}
}

func (s *Syncer) leaseFailed(step string, err error) {
	s.scope.Tagged(map[string]string{"step": step, "reason": string(objects.KindOf(err))}).Counter("lease_failures").Inc(1)
	level.Debug(s.log).Log("msg", "lease", "step", step, "err", err)
}

// writeResult returns the outcome of a write that ended with err. After an error
// of an unknown kind, the write may have taken effect.
func writeResult(err error) config.WriteResult {
	if err == nil {
		return config.WriteOK
	}
	switch objects.KindOf(err) {
	case objects.Conflict, objects.NotFound:
		return config.WriteConflict
	case objects.Unavailable, objects.Throttled, objects.Invalid, objects.TooLarge:
		return config.WriteRefused
	}
	return config.WriteUnknown
}

// releaseLease releases the lease if it is held, so that the next reader can start
// at once instead of after the lease has expired.
func (s *Syncer) releaseLease(ctx context.Context) {
	var action config.Action
	var held bool
	s.lease.update(func(l *config.Lease) { action, held = l.Release(time.Now()) })
	if held {
		s.writeLease(ctx, action)
	}
}
