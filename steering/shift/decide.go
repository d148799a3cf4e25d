package shift

import (
	_ "embed"
	"fmt"
	"slices"
	"time"

	"heatherlock/steering"
	"heatherlock/steering/chart"
	"heatherlock/steering/routing"
)

// States of a shift.
const (
	Waiting   chart.State = "waiting"
	Moving    chart.State = "moving"
	Held      chart.State = "held"
	Moved     chart.State = "moved"
	Returning chart.State = "returning"
	Cleared   chart.State = "cleared"
)

const (
	advance    chart.Event = "advance"
	hold       chart.Event = "hold"
	arrive     chart.Event = "arrive"
	retreat    chart.Event = "retreat"
	clearShift chart.Event = "clear"
)

//go:embed shift.json
var source []byte

var lifecycle = chart.MustLoad("shift.json", source, chart.Bindings[*Decision]{
	States: []chart.State{Waiting, Moving, Held, Moved, Returning, Cleared},
	Events: []chart.Event{advance, hold, arrive, retreat, clearShift},
	Actions: map[string]func(*Decision){
		"stepForward": func(d *Decision) { d.Moved = min(d.Moved+d.step, d.targetPercent) },
		"stepBack":    func(d *Decision) { d.Moved = max(d.Moved-d.step, d.targetPercent) },
	},
})

const (
	// holdUtilization is the utilization of a receiver's slots at which a shift is held, and
	// resumeUtilization the one below which it resumes. The gap between them prevents the shift
	// from alternating between the two states.
	holdUtilization   = 0.85
	resumeUtilization = 0.75
	// holdQueueLength is the mean number of queued requests at a receiver at which a shift is held.
	holdQueueLength = 1.0
)

// Receiver is the load that a receiving place reported for one service, smoothed over the reports.
type Receiver struct {
	Place   steering.Place
	Service steering.Service
	// Known is false if the place has not reported recently.
	Known bool
	// Utilization is the fraction of the place's slots that are in use, and Queued the number of
	// queued requests.
	Utilization, Queued float64
}

// CompetingShift is another shift with a destination place in common.
type CompetingShift struct {
	Name  string
	Place steering.Place // the destination in common
	// Forward is set if the last change of the other shift was a step forward.
	Forward bool
	// Since is the recorded time of that change, and Age the time since then by the local clock.
	Since time.Time
	Age   time.Duration
	// WantsStep is set if the other shift has a further step forward to make and is blocked by
	// nothing except other shifts.
	WantsStep bool
}

// Input is the state from which a driver decides on a shift.
type Input struct {
	Now time.Time
	// Shift is the result of InForce: nil if the shift is not declared and no callers are moved.
	Shift *routing.Shift
	// Progress is the stored progress; nil if there is none.
	Progress *routing.ShiftProgress
	// Age is the time since the moved share last changed, by the local clock.
	Age time.Duration
	// TTL is the time for which clients cache look-up answers.
	TTL       time.Duration
	Receivers []Receiver
	Competing []CompetingShift
	// FullCaps lists the caps on this shift that refused requests recently.
	FullCaps []string
	// Stopped lists the receiving places under a planned stop.
	Stopped []steering.Place
}

// Decision is the progress that the driver should store. If Unchanged is set, the stored progress
// is already up to date. If Delete is set, it should be deleted.
type Decision struct {
	Unchanged bool
	Delete    bool
	State     chart.State
	Moved     int
	// HeldBy describes what blocks the next step forward; empty if nothing does.
	HeldBy string
	// WaitsForTurn is set if the step waits for a step of another shift.
	WaitsForTurn bool
	Remaining    time.Duration

	step, targetPercent int
}

// Decide returns the next progress of a shift. The error means that the state chart has no
// transition for the event, for example because the stored state is unknown.
func Decide(in Input) (Decision, error) {
	d := Decision{State: lifecycle.Initial()}
	if in.Progress != nil {
		d.State, d.Moved = chart.State(in.Progress.State), in.Progress.Moved
		if d.State == Cleared || d.State == "" {
			d.State = lifecycle.Initial()
		}
	}
	if in.Shift != nil {
		d.step, d.targetPercent = max(in.Shift.Step, 1), in.Shift.Percent
	}
	event, due := d.event(in)
	if due {
		state, err := lifecycle.Fire(&d, d.State, event)
		if err != nil {
			return d, err
		}
		d.State = state
	}
	d.Delete = d.State == Cleared
	d.Remaining = d.remaining(in)
	d.Unchanged = !d.Delete && in.Progress != nil && in.Progress.Moved == d.Moved &&
		chart.State(in.Progress.State) == d.State && in.Progress.HeldBy == d.HeldBy && in.Progress.WaitsForTurn == d.WaitsForTurn
	return d, nil
}

// event selects the event to fire, and reports whether to fire it now.
func (d *Decision) event(in Input) (event chart.Event, due bool) {
	stepDue := in.Progress == nil || in.Progress.Since.IsZero() || in.Age >= interval(in)
	switch {
	case in.Shift == nil && d.Moved == 0:
		// Clients may still have cached answers from the last step. The record is kept until these
		// expire, so that a shift declared again under the same name waits for them.
		return clearShift, in.Progress != nil && stepDue
	case d.Moved > d.targetPercent:
		return retreat, stepDue
	case d.Moved == d.targetPercent:
		return arrive, true
	}
	if d.HeldBy = heldBy(in, d.State == Held); d.HeldBy != "" {
		return hold, true
	}
	if d.HeldBy = blockedByOther(in); d.HeldBy != "" {
		d.WaitsForTurn = true
		return hold, true
	}
	return advance, stepDue
}

// interval is the minimum time between two steps.
func interval(in Input) time.Duration {
	if in.Shift == nil {
		return in.TTL
	}
	return max(in.Shift.Every, in.TTL)
}

// heldBy returns the first condition that blocks a step forward, or "". held is set if the shift is
// held already; the lower resumeUtilization then applies.
func heldBy(in Input, held bool) string {
	for _, place := range in.Shift.To {
		if slices.Contains(in.Stopped, place) {
			return fmt.Sprintf("place %s is under a planned stop", place)
		}
	}
	busy := holdUtilization
	if held {
		busy = resumeUtilization
	}
	for _, r := range in.Receivers {
		switch {
		case !r.Known:
			return fmt.Sprintf("place %s has not reported its %s slots", r.Place, r.Service)
		case r.Queued >= holdQueueLength:
			return fmt.Sprintf("requests for %s queue at place %s", r.Service, r.Place)
		case r.Utilization >= busy:
			return fmt.Sprintf("the %s slots of place %s are busy", r.Service, r.Place)
		}
	}
	if len(in.FullCaps) > 0 {
		return fmt.Sprintf("cap %s is reached", in.FullCaps[0])
	}
	return ""
}

// blockedByOther makes shifts into the same place take turns: only one of them steps at a time, the
// one that has waited longest by the recorded times, so that all drivers come to the same decision.
// It returns a description of the shift that steps first, or "".
func blockedByOther(in Input) string {
	var since time.Time
	if in.Progress != nil {
		since = in.Progress.Since
	}
	for _, o := range in.Competing {
		recent := o.Forward && o.Age < interval(in)
		before := o.Since.Before(since) || o.Since.Equal(since) && o.Name < in.Shift.Name
		if recent || o.WantsStep && before {
			return fmt.Sprintf("place %s takes a step of shift %s first", o.Place, o.Name)
		}
	}
	return ""
}

// remaining estimates the time until the target percentage is reached if no step is held.
func (d *Decision) remaining(in Input) time.Duration {
	if in.Shift == nil {
		return 0
	}
	distance := d.targetPercent - d.Moved
	if distance < 0 {
		distance = -distance
	}
	steps := (distance + d.step - 1) / d.step
	return time.Duration(steps) * interval(in)
}

// Chart returns the state chart of a shift as Markdown for the documentation.
func Chart() string { return lifecycle.Markdown() }
