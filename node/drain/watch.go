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
	// checkInterval is the time between two checks of the stops.
	checkInterval = time.Second
	// deadlineWarning is how long before a deadline the warning about requests in flight is logged.
	deadlineWarning = time.Minute
)

// Config configures a Watch.
type Config struct {
	Configs seam.Configs
	// IsZoneReader reports whether this entry VM is currently its zone's reader.
	IsZoneReader func() bool
	// Remaining returns the known requests that a stop waits for; false if nothing is known.
	Remaining func(stop string) (drain.Remaining, bool)
	Scope     tally.Scope
	Log       log.Logger
}

// Watch monitors planned stops.
type Watch struct {
	config   Config
	stops    map[string]*stopState
	inFlight tally.Gauge
	started  tally.Counter
	drained  tally.Counter
	overdue  tally.Counter
	warned   tally.Counter
}

// stopState is the state of one stop at the last check.
type stopState struct {
	lifecycle *drain.PlannedStop
	version   int64
	warned    bool
}

// New returns a Watch. It returns an error if Configs, IsZoneReader or Remaining is missing.
func New(c Config) (*Watch, error) {
	if c.Configs == nil || c.IsZoneReader == nil || c.Remaining == nil {
		return nil, errors.New("drain: Config.Configs, IsZoneReader and Remaining must be set")
	}
	if c.Scope == nil {
		c.Scope = tally.NoopScope
	}
	if c.Log == nil {
		c.Log = log.NewNopLogger()
	}
	scope := c.Scope.SubScope("stop")
	return &Watch{
		config: c, stops: map[string]*stopState{},
		inFlight: scope.Gauge("in_flight"),
		started:  scope.Counter("started"),
		drained:  scope.Counter("drained"),
		overdue:  scope.Counter("overdue"),
		warned:   scope.Counter("deadline_near"),
	}, nil
}

// Run checks the stops at a fixed interval until ctx is canceled.
func (w *Watch) Run(ctx context.Context) error {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			w.check(now)
		}
	}
}

func (w *Watch) check(now time.Time) {
	s := w.config.Configs.Snapshot()
	if s == nil || !w.config.IsZoneReader() {
		clear(w.stops) // the zone's next reader starts with the stops it finds
		return
	}
	left := 0
	for name, stop := range s.Stops {
		remaining, _ := w.config.Remaining(name)
		left += remaining.InFlight
		w.update(now, stop, remaining)
	}
	w.inFlight.Update(float64(left))
	for name := range w.stops {
		if s.Stops[name] == nil {
			delete(w.stops, name)
		}
	}
}

func (w *Watch) update(now time.Time, stop *routing.Stop, r drain.Remaining) {
	f := w.stops[stop.Name]
	if f == nil || f.version != stop.Version {
		f = &stopState{lifecycle: drain.NewPlannedStop(), version: stop.Version}
		w.stops[stop.Name] = f
	}
	if f.lifecycle.Update(now, stop, r) {
		w.report(stop, f.lifecycle.State(), r)
	}
	w.warnOfDeadline(now, stop, f, r)
}

func (w *Watch) report(stop *routing.Stop, state chart.State, r drain.Remaining) {
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

// warnOfDeadline warns once per version of a stop that its deadline is near and requests are
// still in flight. The warning comes before any of them is aborted.
func (w *Watch) warnOfDeadline(now time.Time, stop *routing.Stop, f *stopState, r drain.Remaining) {
	if f.warned || f.lifecycle.State() != drain.Draining || stop.Deadline.IsZero() || now.Before(stop.Deadline.Add(-deadlineWarning)) {
		return
	}
	f.warned = true
	w.warned.Inc(1)
	level.Warn(w.config.Log).Log("part", "drain", "msg", "deadline of a planned stop is near and requests are still in flight", "stop", stop.Name,
		"deadline", stop.Deadline.Format(time.RFC3339), "inFlight", r.InFlight, "cuts", stop.AbortAtDeadline)
}
