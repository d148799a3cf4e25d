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
	advance chart.Event = "advance"
	hold    chart.Event = "hold"
	arrive  chart.Event = "arrive"
	retreat chart.Event = "retreat"
	clearEv chart.Event = "clear"
)

//go:embed shift.json
var source []byte

var life = chart.MustLoad("shift.json", source, chart.Bindings[*Decision]{
	States: []chart.State{Waiting, Moving, Held, Moved, Returning, Cleared},
	Events: []chart.Event{advance, hold, arrive, retreat, clearEv},
	Actions: map[string]func(*Decision){
		"stepForward": func(d *Decision) { d.Moved = min(d.Moved+d.step, d.aim) },
		"stepBack":    func(d *Decision) { d.Moved = max(d.Moved-d.step, d.aim) },
	},
})

const (
	// holdBusy and resumeBusy are the busy shares of a receiver's slots from
	// which a shift is held, and below which it goes on; the gap keeps it from
	// flapping.
	holdBusy   = 0.85
	resumeBusy = 0.75
	// holdQueued is the mean number of queued requests from which it is held.
	holdQueued = 1.0
)

// Receiver is what a receiving place reported of one service, smoothed since
// the last step.
type Receiver struct {
	Place   steering.Place
	Service steering.Service
	// Known is false when the place has not reported lately.
	Known bool
	// Busy is the share of its slots in use, Queued its queue.
	Busy, Queued float64
}

// Other is another shift into one of the same places.
type Other struct {
	Name  string
	Place steering.Place // that both move work to
	// Forward is set when its last change was a step forward.
	Forward bool
	// Since is when it last changed as recorded, Age how long ago on the own
	// clock.
	Since time.Time
	Age   time.Duration
	// Wants is set when it has a step forward to make that nothing but its turn
	// holds.
	Wants bool
}

// Input is what a driver knows when it looks at a shift.
type Input struct {
	Now time.Time
	// Shift is the shift in force (see InForce); nil when nothing is declared
	// or moved.
	Shift *routing.Shift
	// Progress is the record so far; nil when there is none.
	Progress *routing.ShiftProgress
	// Age is how long ago the moved share last changed, on the own clock.
	Age time.Duration
	// TTL is how long clients keep look-up answers.
	TTL       time.Duration
	Receivers []Receiver
	Others    []Other
	// FullCaps are the caps on this shift that refused work lately.
	FullCaps []string
	// Stopped are the receiving places under a planned stop.
	Stopped []steering.Place
}

// Decision is what the driver should record. Nothing is to be recorded when
// Same is set.
type Decision struct {
	Same   bool
	Delete bool
	State  chart.State
	Moved  int
	// HeldBy says what holds the shift back; empty when nothing does.
	HeldBy string
	// WaitsForTurn is set when what holds it is another shift's step.
	WaitsForTurn bool
	Remaining    time.Duration

	step, aim int
}

// Decide looks at a shift once.
func Decide(in Input) (Decision, error) {
	d := Decision{State: life.Initial()}
	if in.Progress != nil {
		d.State, d.Moved = chart.State(in.Progress.State), in.Progress.Moved
		if d.State == Cleared || d.State == "" {
			d.State = life.Initial()
		}
	}
	if in.Shift != nil {
		d.step, d.aim = max(in.Shift.Step, 1), in.Shift.Percent
	}
	event, due := d.event(in)
	if due {
		state, err := life.Fire(&d, d.State, event)
		if err != nil {
			return d, err
		}
		d.State = state
	}
	d.Delete = d.State == Cleared
	d.Remaining = d.remaining(in)
	d.Same = !d.Delete && in.Progress != nil && in.Progress.Moved == d.Moved &&
		chart.State(in.Progress.State) == d.State && in.Progress.HeldBy == d.HeldBy && in.Progress.WaitsForTurn == d.WaitsForTurn
	return d, nil
}

// event chooses what to fire, and whether now.
func (d *Decision) event(in Input) (event chart.Event, due bool) {
	stepDue := in.Progress == nil || in.Progress.Since.IsZero() || in.Age >= interval(in)
	switch {
	case in.Shift == nil && d.Moved == 0:
		// The record stays while clients may still hold answers of the last
		// step: a shift declared again under this name must wait for them.
		return clearEv, in.Progress != nil && stepDue
	case d.Moved > d.aim:
		return retreat, stepDue
	case d.Moved == d.aim:
		return arrive, true
	}
	if d.HeldBy = heldBy(in, d.State == Held); d.HeldBy != "" {
		return hold, true
	}
	if d.HeldBy = sharedRamp(in); d.HeldBy != "" {
		d.WaitsForTurn = true
		return hold, true
	}
	return advance, stepDue
}

// interval is the time between steps.
func interval(in Input) time.Duration {
	if in.Shift == nil {
		return in.TTL
	}
	return max(in.Shift.Every, in.TTL)
}

// heldBy names the first thing that holds the next step forward.
func heldBy(in Input, held bool) string {
	for _, place := range in.Shift.To {
		if slices.Contains(in.Stopped, place) {
			return fmt.Sprintf("place %s is under a planned stop", place)
		}
	}
	busy := holdBusy
	if held {
		busy = resumeBusy
	}
	for _, r := range in.Receivers {
		switch {
		case !r.Known:
			return fmt.Sprintf("place %s has not reported its %s slots", r.Place, r.Service)
		case r.Queued >= holdQueued:
			return fmt.Sprintf("requests for %s queue at place %s", r.Service, r.Place)
		case r.Busy >= busy:
			return fmt.Sprintf("the %s slots of place %s are busy", r.Service, r.Place)
		}
	}
	if len(in.FullCaps) > 0 {
		return fmt.Sprintf("cap %s is reached", in.FullCaps[0])
	}
	return ""
}

// sharedRamp lets one of several shifts into a place step at a time: the one
// that waited longest, by the recorded times, so that their drivers agree.
func sharedRamp(in Input) string {
	var since time.Time
	if in.Progress != nil {
		since = in.Progress.Since
	}
	for _, o := range in.Others {
		recent := o.Forward && o.Age < interval(in)
		before := o.Since.Before(since) || o.Since.Equal(since) && o.Name < in.Shift.Name
		if recent || o.Wants && before {
			return fmt.Sprintf("place %s takes a step of shift %s first", o.Place, o.Name)
		}
	}
	return ""
}

// remaining estimates the time until the aim is reached if nothing holds it.
func (d *Decision) remaining(in Input) time.Duration {
	if in.Shift == nil {
		return 0
	}
	distance := d.aim - d.Moved
	if distance < 0 {
		distance = -distance
	}
	steps := (distance + d.step - 1) / d.step
	return time.Duration(steps) * interval(in)
}

// Chart renders the shift's state chart for the documentation.
func Chart() string { return life.Markdown() }
