package drain

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/uber-go/tally/v4"

	"heatherlock/node/seam"
	"heatherlock/steering/chart"
	"heatherlock/steering/drain"
	"heatherlock/steering/routing"
)

const (
	// lookEvery is how often stops are looked at.
	lookEvery = time.Second
	// warnBefore is how long before a deadline with work left the warning comes.
	warnBefore = time.Minute
)

// Config holds what a Watch needs.
type Config struct {
	Configs seam.Configs
	// IsZoneReader says whether this entry VM is its zone's reader now.
	IsZoneReader func() bool
	// Remaining returns what is known of the work that a stop waits for.
	Remaining func(stop string) (drain.Remaining, bool)
	Scope     tally.Scope
	Log       log.Logger
}

// Watch follows planned stops.
type Watch struct {
	config   Config
	stops    map[string]*followed
	inFlight tally.Gauge
	started  tally.Counter
	drained  tally.Counter
	overdue  tally.Counter
	warned   tally.Counter
}

// followed is one stop as last seen.
type followed struct {
	life    *drain.PlannedStop
	version int64
	warned  bool
}

// New returns a Watch.
func New(c Config) (*Watch, error) {
	if c.Configs == nil || c.IsZoneReader == nil || c.Remaining == nil {
		return nil, errors.New("drain: Config.Configs, Leading and Remaining must be set")
	}
	if c.Scope == nil {
		c.Scope = tally.NoopScope
	}
	if c.Log == nil {
		c.Log = log.NewNopLogger()
	}
	scope := c.Scope.SubScope("stop")
	return &Watch{
		config: c, stops: map[string]*followed{},
		inFlight: scope.Gauge("in_flight"),
		started:  scope.Counter("started"),
		drained:  scope.Counter("drained"),
		overdue:  scope.Counter("overdue"),
		warned:   scope.Counter("deadline_near"),
	}, nil
}

// Run follows stops until ctx ends.
func (w *Watch) Run(ctx context.Context) error {
	ticker := time.NewTicker(lookEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			w.look(now)
		}
	}
}

func (w *Watch) look(now time.Time) {
	s := w.config.Configs.Snapshot()
	if s == nil || !w.config.IsZoneReader() {
		clear(w.stops) // the next reader starts from what it sees
		return
	}
	left := 0
	for name, stop := range s.Stops {
		remaining, _ := w.config.Remaining(name)
		left += remaining.InFlight
		w.follow(now, stop, remaining)
	}
	w.inFlight.Update(float64(left))
	for name := range w.stops {
		if s.Stops[name] == nil {
			delete(w.stops, name)
		}
	}
}

func (w *Watch) follow(now time.Time, stop *routing.Stop, r drain.Remaining) {
	f := w.stops[stop.Name]
	if f == nil || f.version != stop.Version {
		f = &followed{life: drain.NewPlannedStop(), version: stop.Version}
		w.stops[stop.Name] = f
	}
	if f.life.Update(now, stop, r) {
		w.tell(stop, f.life.State(), r)
	}
	w.warn(now, stop, f, r)
}

func (w *Watch) tell(stop *routing.Stop, state chart.State, r drain.Remaining) {
	switch state {
	case drain.Draining:
		w.started.Inc(1)
	case drain.Drained:
		w.drained.Inc(1)
	case drain.Overdue:
		w.overdue.Inc(1)
	}
	level.Info(w.config.Log).Log("part", "drain", "msg", "planned stop", "stop", stop.Name, "state", state,
		"inFlight", r.InFlight, "allReported", r.AllReported)
}

// warn tells once, before anything is cut, that a deadline is near with work
// left.
func (w *Watch) warn(now time.Time, stop *routing.Stop, f *followed, r drain.Remaining) {
	if f.warned || f.life.State() != drain.Draining || stop.Deadline.IsZero() || now.Before(stop.Deadline.Add(-warnBefore)) {
		return
	}
	f.warned = true
	w.warned.Inc(1)
	level.Warn(w.config.Log).Log("part", "drain", "msg", "deadline of a planned stop is near with work left", "stop", stop.Name,
		"deadline", stop.Deadline.Format(time.RFC3339), "inFlight", r.InFlight, "cuts", stop.AbortAtDeadline)
}
