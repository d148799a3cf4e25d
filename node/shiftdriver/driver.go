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
	// lookEvery is how often each shift is looked at.
	lookEvery = 500 * time.Millisecond
	// writeTimeout bounds a call to the platform.
	writeTimeout = 5 * time.Second
	// retryFirst and retryMax bound the pause after a failed write.
	retryFirst = 500 * time.Millisecond
	retryMax   = 10 * time.Second
)

// Pool is what a place reported of one service.
type Pool struct {
	Place   steering.Place
	Service steering.Service
	Slots   int
	InUse   int
	Queued  int
	Age     time.Duration
}

// Config holds what a Driver needs.
type Config struct {
	Configs  seam.Configs
	Members  seam.Members
	Platform objects.API
	// Leader says whether this entry VM is its zone's reader now, and its epoch.
	Leader func() (epoch int64, leading bool)
	// Pools returns the newest word on each pool.
	Pools func() []Pool
	// CapRefusals returns how many requests a cap refused here so far.
	CapRefusals func(name string) int64
	// TTL is how long clients keep look-up answers.
	TTL    time.Duration
	Random func() float64
	Scope  tally.Scope
	Log    log.Logger
}

// Driver advances the shifts that this entry VM drives.
type Driver struct {
	config  Config
	self    seam.Member
	tracks  map[string]*track
	retry   time.Time // no write before
	backoff *objects.Backoff
	writes  tally.Counter
	steps   tally.Counter
	failed  tally.Counter
}

// New returns a Driver.
func New(c Config) (*Driver, error) {
	switch {
	case c.Configs == nil || c.Members == nil || c.Platform == nil:
		return nil, errors.New("shiftdriver: configuration, members or platform missing; set Config.Configs, Members and Platform")
	case c.Leader == nil || c.Pools == nil || c.CapRefusals == nil:
		return nil, errors.New("shiftdriver: Config.Leader, Pools and CapRefusals must be set")
	case c.TTL <= 0:
		return nil, errors.New("shiftdriver: no time to live of look-ups given; set Config.TTL")
	}
	if c.Scope == nil {
		c.Scope = tally.NoopScope
	}
	if c.Log == nil {
		c.Log = log.NewNopLogger()
	}
	scope := c.Scope.SubScope("shift")
	return &Driver{
		config: c, self: c.Members.Self(), tracks: map[string]*track{},
		backoff: objects.NewBackoff(retryFirst, retryMax, c.Random),
		writes:  scope.Counter("progress_writes"), steps: scope.Counter("steps"), failed: scope.Counter("progress_failed"),
	}, nil
}

// Run drives until ctx ends.
func (d *Driver) Run(ctx context.Context) error {
	ticker := time.NewTicker(lookEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		if s := d.config.Configs.Snapshot(); s != nil {
			d.lookAll(ctx, s, time.Now())
		}
	}
}

// lookAll looks at every shift of a snapshot, those that are only remembered
// by their progress included.
func (d *Driver) lookAll(ctx context.Context, s *routing.Snapshot, now time.Time) {
	names := shiftNames(s)
	pools := d.config.Pools()
	for _, name := range names {
		t := d.track(name)
		t.follow(now, s.Progress[name])
		t.sample(s, s.Shifts[name], pools)
		t.refusals(now, d.refused(s, name))
	}
	for name := range d.tracks {
		if !slices.Contains(names, name) {
			delete(d.tracks, name)
		}
	}
	for _, name := range names {
		if now.Before(d.retry) {
			return
		}
		if err := d.look(ctx, s, name, now); err != nil {
			d.failed.Inc(1)
			d.retry = now.Add(d.backoff.Next())
			level.Warn(d.config.Log).Log("part", "shiftdriver", "msg", "progress not written", "shift", name, "err", err)
			return
		}
	}
}

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

func (d *Driver) track(name string) *track {
	if d.tracks[name] == nil {
		d.tracks[name] = &track{samples: map[poolKey]*smooth{}, capFull: map[string]time.Time{}, refused: map[string]int64{}}
	}
	return d.tracks[name]
}

// refused returns the refusals so far of each cap on a shift.
func (d *Driver) refused(s *routing.Snapshot, name string) map[string]int64 {
	counts := map[string]int64{}
	for _, c := range s.Caps {
		if c.Shift == name {
			counts[c.Name] = d.config.CapRefusals(c.Name)
		}
	}
	return counts
}

// look decides on one shift and records the decision.
func (d *Driver) look(ctx context.Context, s *routing.Snapshot, name string, now time.Time) error {
	epoch, leading := d.config.Leader()
	t := d.tracks[name]
	if !leading || !d.drives(s, name) || t.unseen(s.Progress[name]) {
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

// drives says whether this entry VM's zone is the first receiving zone with a
// live entry VM.
func (d *Driver) drives(s *routing.Snapshot, name string) bool {
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

// receivingPlaces lists the places a shift moves work to, or did when only its
// record is left; every place when those are gone too.
func receivingPlaces(s *routing.Snapshot, name string) []steering.Place {
	if inForce := s.Shifts[name]; inForce != nil {
		return inForce.To
	}
	if to := routing.ResolvePlaces(s.Places, s.Progress[name].Route.To); len(to) > 0 {
		return to
	}
	return slices.Collect(maps.Keys(s.Places))
}

// record writes a decision on condition of the record it was made from.
func (d *Driver) record(ctx context.Context, s *routing.Snapshot, name string, decision shift.Decision, epoch int64, now time.Time) error {
	ctx, stop := context.WithTimeout(ctx, writeTimeout)
	defer stop()
	d.writes.Inc(1)
	before := s.Progress[name]
	if decision.Delete {
		_, err := d.config.Platform.Delete(ctx, routing.KindShiftProgress, name, before.Version)
		d.tracks[name].pause = now.Add(retryFirst)
		return d.settle(name, 0, err)
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
	return d.settle(name, stored.Version, err)
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

// settle remembers what was written, so that the shift is not decided on again
// before a snapshot shows it. A conflict means that another driver was faster:
// the next snapshot tells. A write whose outcome is unknown is like a conflict:
// whatever became of it, a repeat is conditional on the same record.
func (d *Driver) settle(name string, version int64, err error) error {
	switch objects.KindOf(err) {
	case objects.Conflict, objects.NotFound, objects.Unknown:
		d.tracks[name].pause = time.Now().Add(retryFirst)
		return nil
	}
	if err == nil {
		d.backoff.Reset()
		d.tracks[name].written, d.tracks[name].wroteAt = version, time.Now()
	}
	return err
}
