package shiftdriver

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/uber-go/tally/v4"

	"heatherlock/node/seam"
	"heatherlock/objects"
	"heatherlock/steering"
	"heatherlock/steering/routing"
	"heatherlock/steering/shift"
)

const (
	// evaluateInterval is the time between two evaluations of each shift.
	evaluateInterval = 500 * time.Millisecond
	// writeTimeout is the timeout of a platform call.
	writeTimeout = 5 * time.Second
	// initialBackoff and maxBackoff are the shortest and longest delay after a failed write.
	initialBackoff = 500 * time.Millisecond
	maxBackoff     = 10 * time.Second
)

// Pool is the load that a place reported for one service.
type Pool struct {
	Place   steering.Place
	Service steering.Service
	Slots   int
	InUse   int
	Queued  int
	Age     time.Duration
}

// Config configures a Driver.
type Config struct {
	Configs  seam.Configs
	Members  seam.Members
	Platform objects.API
	// Leader reports whether this entry VM is currently its zone's reader, and its epoch.
	Leader func() (epoch int64, leading bool)
	// Pools returns the most recent report on each pool.
	Pools func() []Pool
	// CapRefusals returns the number of requests that a cap has refused on this entry VM.
	CapRefusals func(name string) int64
	// TTL is how long clients cache lookup responses. It must be positive.
	TTL    time.Duration
	Random func() float64
	Scope  tally.Scope
	Log    log.Logger
}

// Driver advances the shifts that this entry VM drives.
type Driver struct {
	config        Config
	self          seam.Member
	states        map[string]*shiftState
	noWriteBefore time.Time // earliest time of the next write, after a failed one
	backoff       *objects.Backoff
	writes        tally.Counter
	steps         tally.Counter
	failed        tally.Counter
}

// New returns a Driver. It returns an error if a required field of the Config is missing.
func New(c Config) (*Driver, error) {
	switch {
	case c.Configs == nil || c.Members == nil || c.Platform == nil:
		return nil, errors.New("shiftdriver: Config.Configs, Members and Platform must be set")
	case c.Leader == nil || c.Pools == nil || c.CapRefusals == nil:
		return nil, errors.New("shiftdriver: Config.Leader, Pools and CapRefusals must be set")
	case c.TTL <= 0:
		return nil, errors.New("shiftdriver: Config.TTL must be positive")
	}
	if c.Scope == nil {
		c.Scope = tally.NoopScope
	}
	if c.Log == nil {
		c.Log = log.NewNopLogger()
	}
	scope := c.Scope.SubScope("shift")
	return &Driver{
		config: c, self: c.Members.Self(), states: map[string]*shiftState{},
		backoff: objects.NewBackoff(initialBackoff, maxBackoff, c.Random),
		writes:  scope.Counter("progress_writes"), steps: scope.Counter("steps"), failed: scope.Counter("progress_failed"),
	}, nil
}

// Run evaluates the shifts at a fixed interval until ctx is canceled.
func (d *Driver) Run(ctx context.Context) error {
	ticker := time.NewTicker(evaluateInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		if s := d.config.Configs.Snapshot(); s != nil {
			d.evaluateAll(ctx, s, time.Now())
		}
	}
}

// evaluateAll updates the state of every shift and evaluates it. It includes deleted shifts
// that still have a progress record.
func (d *Driver) evaluateAll(ctx context.Context, s *routing.Snapshot, now time.Time) {
	names := shiftNames(s)
	pools := d.config.Pools()
	for _, name := range names {
		t := d.shiftState(name)
		t.observeProgress(now, s.Progress[name])
		t.observeLoad(s, s.Shifts[name], pools)
		t.observeRefusals(now, d.capRefusals(s, name))
	}
	for name := range d.states {
		if !slices.Contains(names, name) {
			delete(d.states, name)
		}
	}
	for _, name := range names {
		if now.Before(d.noWriteBefore) {
			return
		}
		if err := d.evaluate(ctx, s, name, now); err != nil {
			d.failed.Inc(1)
			d.noWriteBefore = now.Add(d.backoff.Next())
			level.Warn(d.config.Log).Log("part", "shiftdriver", "msg", "failed to write shift progress", "shift", name, "err", err)
			return
		}
	}
}

// shiftNames returns the sorted names of the shifts that are in force or have a progress record.
func shiftNames(s *routing.Snapshot) []string {
	var names []string
	for name := range s.Shifts {
		names = append(names, name)
	}
	for name := range s.Progress {
		if s.Shifts[name] == nil {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func (d *Driver) shiftState(name string) *shiftState {
	if d.states[name] == nil {
		d.states[name] = &shiftState{samples: map[poolKey]*smoothedLoad{}, capFull: map[string]time.Time{}, refused: map[string]int64{}}
	}
	return d.states[name]
}

// capRefusals returns the number of refusals so far of each cap on a shift.
func (d *Driver) capRefusals(s *routing.Snapshot, name string) map[string]int64 {
	counts := map[string]int64{}
	for _, c := range s.Caps {
		if c.Shift == name {
			counts[c.Name] = d.config.CapRefusals(c.Name)
		}
	}
	return counts
}

// evaluate decides on one shift, if this entry VM drives it, and writes the decision.
func (d *Driver) evaluate(ctx context.Context, s *routing.Snapshot, name string, now time.Time) error {
	epoch, leading := d.config.Leader()
	t := d.states[name]
	if !leading || !d.isDriver(s, name) || t.awaitsOwnWrite(s.Progress[name]) {
		return nil
	}
	decision, err := shift.Decide(d.input(s, name, now))
	if err != nil || decision.Unchanged {
		return err
	}
	if s.Shifts[name] == nil && !decision.Delete {
		return nil
	}
	return d.record(ctx, s, name, decision, epoch, now)
}

// isDriver reports whether this entry VM's zone is the first receiving zone that has a live
// entry VM.
func (d *Driver) isDriver(s *routing.Snapshot, name string) bool {
	var zones []steering.Zone
	for _, to := range receivingPlaces(s, name) {
		if place := s.Places[to]; place != nil {
			zones = append(zones, place.Zone)
		}
	}
	slices.Sort(zones)
	for _, zone := range zones {
		if zone == d.self.Zone {
			return true
		}
		if len(d.config.Members.InZone(zone)) > 0 {
			return false
		}
	}
	return false
}

// receivingPlaces returns the places that a shift moves requests to. For a deleted shift it
// uses the route in the progress record, and if those places no longer exist, it returns all
// places.
func receivingPlaces(s *routing.Snapshot, name string) []steering.Place {
	if inForce := s.Shifts[name]; inForce != nil {
		return inForce.To
	}
	if to := routing.ResolvePlaces(s.Places, s.Progress[name].Route.To); len(to) > 0 {
		return to
	}
	return slices.Collect(maps.Keys(s.Places))
}

// record writes a decision. The write is conditional on the record on which the decision is
// based.
func (d *Driver) record(ctx context.Context, s *routing.Snapshot, name string, decision shift.Decision, epoch int64, now time.Time) error {
	ctx, stop := context.WithTimeout(ctx, writeTimeout)
	defer stop()
	d.writes.Inc(1)
	before := s.Progress[name]
	if decision.Delete {
		_, err := d.config.Platform.Delete(ctx, routing.KindShiftProgress, name, before.Version)
		d.states[name].noWriteBefore = now.Add(initialBackoff)
		return d.handleWriteResult(name, 0, err)
	}
	next := d.progress(s.Shifts[name], before, decision, epoch, now)
	value, err := json.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "shiftdriver: encode progress")
	}
	var stored objects.Object
	if before == nil {
		stored, err = d.config.Platform.Create(ctx, routing.KindShiftProgress, name, value)
	} else {
		stored, err = d.config.Platform.Update(ctx, routing.KindShiftProgress, name, before.Version, value)
	}
	if err == nil && (before == nil || before.Moved != next.Moved) {
		d.steps.Inc(1)
		level.Info(d.config.Log).Log("part", "shiftdriver", "msg", "step", "shift", name, "moved", next.Moved, "state", next.State)
	}
	return d.handleWriteResult(name, stored.Version, err)
}

func (d *Driver) progress(s *routing.Shift, before *routing.ShiftProgress, decision shift.Decision, epoch int64, now time.Time) routing.ShiftProgress {
	next := routing.ShiftProgress{
		ShiftVersion: s.Version, Service: s.Service, Route: s.Route, Step: s.Step, EverySeconds: int64(s.Every / time.Second),
		Moved: decision.Moved, State: string(decision.State), HeldBy: decision.HeldBy, WaitsForTurn: decision.WaitsForTurn,
		RemainingSeconds: int64((decision.Remaining + time.Second - 1) / time.Second),
		Driver:           d.self.VM, Epoch: epoch,
	}
	moved := 0
	if before != nil {
		moved, next.Since, next.Forward = before.Moved, before.Since, before.Forward
	}
	if decision.Moved != moved {
		next.Since, next.Forward = now.UTC(), decision.Moved > moved
	}
	return next
}

// handleWriteResult records a successful write, so that the shift isn't evaluated again before a
// snapshot contains it. A conflict means that another driver wrote first, and the next snapshot
// has its record. An unknown outcome is treated like a conflict: whether or not the write took
// effect, a repeated write is conditional on the same record.
func (d *Driver) handleWriteResult(name string, version int64, err error) error {
	switch objects.KindOf(err) {
	case objects.Conflict, objects.NotFound, objects.Unknown:
		d.states[name].noWriteBefore = time.Now().Add(initialBackoff)
		return nil
	}
	if err == nil {
		d.backoff.Reset()
		d.states[name].ownVersion, d.states[name].ownWriteAt = version, time.Now()
	}
	return err
}
