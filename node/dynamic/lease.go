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
	// leaseTimeout bounds a call on the lease.
	leaseTimeout = 2 * time.Second
	// candidates is how many members of a zone, besides the holder, look
	// after the lease.
	candidates = 2
	// leasePrefix names the lease object of a zone.
	leasePrefix = "zone-reader."
)

// LeaseName returns the name of a zone's reader lease.
func LeaseName(zone steering.Zone) string { return leasePrefix + string(zone) }

// leaseHolder guards a lease and tells when holding it starts and ends.
type leaseHolder struct {
	mu      sync.Mutex
	lease   *config.Lease
	changed chan struct{} // closed when holding may have changed
}

func (h *leaseHolder) do(f func(*config.Lease)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f(h.lease)
	if h.changed != nil {
		close(h.changed)
		h.changed = nil
	}
}

func (h *leaseHolder) holding(now time.Time) (int64, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lease.Holding(now)
}

func (h *leaseHolder) holder() steering.VM {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lease.Holder()
}

func (h *leaseHolder) changes() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.changed == nil {
		h.changed = make(chan struct{})
	}
	return h.changed
}

// waitForChange waits until something happened to the lease, or for a time.
func (h *leaseHolder) waitForChange(ctx context.Context, most time.Duration) error {
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-h.changes():
	case <-timer.C:
	}
	return nil
}

// whileHeld returns a context that ends when the lease does, or nil when it is
// not held now.
func (h *leaseHolder) whileHeld(ctx context.Context) (context.Context, context.CancelFunc) {
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

// leaseLoop takes part in the zone's reader lease.
func (s *Spread) leaseLoop(ctx context.Context) error {
	defer s.releaseLease(context.WithoutCancel(ctx))
	for {
		var action config.Action
		candidate := s.isCandidate()
		s.lease.do(func(l *config.Lease) { action = l.Next(time.Now(), candidate) })
		switch action.Step {
		case config.Read:
			s.readLease(ctx)
		case config.Write:
			s.writeLease(ctx, action)
		case config.Wait:
			if err := pause(ctx, jittered(max(time.Until(action.At), 0))); err != nil {
				return err
			}
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// isCandidate says whether this entry VM is among the first of its zone, the
// holder left aside. Every node judges by its own view; two views that differ
// cost a few readings, and the conditional write lets one through.
func (s *Spread) isCandidate() bool {
	holder := s.lease.holder()
	vms := []steering.VM{s.self.VM}
	for _, m := range s.config.Members.InZone(s.self.Zone) {
		if m.VM != holder {
			vms = append(vms, m.VM)
		}
	}
	for _, vm := range ownership.First("", steering.Service(LeaseName(s.self.Zone)), vms, candidates) {
		if vm == s.self.VM {
			return true
		}
	}
	return false
}

func (s *Spread) readLease(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	stored, err := s.config.Platform.Get(limited, KindLease, LeaseName(s.self.Zone))
	if err != nil && objects.KindOf(err) != objects.NotFound {
		s.leaseFailed("read", err)
		return
	}
	var record config.Record
	if err == nil {
		if bad := json.Unmarshal(stored.Value, &record); bad != nil {
			s.leaseFailed("decode", bad)
		}
	}
	s.lease.do(func(l *config.Lease) { l.Observed(time.Now(), record, stored.Version) })
}

func (s *Spread) writeLease(ctx context.Context, action config.Action) {
	limited, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	value, err := json.Marshal(action.Record)
	if err != nil {
		s.leaseFailed("encode", err)
		return
	}
	var stored objects.Object
	if action.Version == 0 {
		stored, err = s.config.Platform.Create(limited, KindLease, LeaseName(s.self.Zone), value)
	} else {
		stored, err = s.config.Platform.Update(limited, KindLease, LeaseName(s.self.Zone), action.Version, value)
	}
	if err != nil {
		s.leaseFailed("write", err)
	}
	before, had := s.Leader()
	s.lease.do(func(l *config.Lease) { l.Written(time.Now(), writeResult(err), stored.Version) })
	if epoch, has := s.Leader(); has && (!had || epoch != before) {
		s.scope.Counter("lease_taken").Inc(1)
		level.Info(s.log).Log("msg", "reading the platform for the zone", "epoch", epoch)
	}
}

func (s *Spread) leaseFailed(step string, err error) {
	s.scope.Tagged(map[string]string{"step": step, "reason": string(objects.KindOf(err))}).Counter("lease_failures").Inc(1)
	level.Debug(s.log).Log("msg", "lease", "step", step, "err", err)
}

// writeResult maps an error to what it says about the write. An error of no
// known kind may have come after the effect.
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

// releaseLease lets the next reader start at once instead of after the term.
func (s *Spread) releaseLease(ctx context.Context) {
	var action config.Action
	var held bool
	s.lease.do(func(l *config.Lease) { action, held = l.Release(time.Now()) })
	if held {
		s.writeLease(ctx, action)
	}
}
