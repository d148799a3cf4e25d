package drain

import (
	_ "embed"
	"time"

	"heatherlock/steering/chart"
	"heatherlock/steering/routing"
)

// States of an entry VM.
const (
	Serving   chart.State = "serving"
	Leaving   chart.State = "leaving"
	Finishing chart.State = "finishing"
	Left      chart.State = "left"
)

// States of a planned stop.
const (
	Announced chart.State = "announced"
	Draining  chart.State = "draining"
	Overdue   chart.State = "overdue"
	Drained   chart.State = "drained"
)

const (
	eventStop      chart.Event = "stop"
	eventForgotten chart.Event = "forgotten"
	eventEmpty     chart.Event = "empty"
	eventStart     chart.Event = "start"
	eventBusy      chart.Event = "busy"
	eventDeadline  chart.Event = "deadline"
)

//go:embed entryvm.json
var entryVMSource []byte

//go:embed plannedstop.json
var plannedStopSource []byte

var entryVMLife = chart.MustLoad("entryvm.json", entryVMSource, chart.Bindings[*EntryVM]{
	States: []chart.State{Serving, Leaving, Finishing, Left},
	Events: []chart.Event{eventStop, eventForgotten, eventEmpty},
})

var plannedStopLife = chart.MustLoad("plannedstop.json", plannedStopSource, chart.Bindings[*PlannedStop]{
	States: []chart.State{Announced, Draining, Overdue, Drained},
	Events: []chart.Event{eventStart, eventBusy, eventEmpty, eventDeadline},
})

// EntryVM is how far an entry VM has come with leaving.
type EntryVM struct {
	state     chart.State
	forgotten time.Time // when no caller holds an answer that names it any more
}

// NewEntryVM returns an entry VM that serves.
func NewEntryVM() *EntryVM { return &EntryVM{state: entryVMLife.Initial()} }

// State returns the state as of the last call.
func (e *EntryVM) State() chart.State { return e.state }

// Stop makes the entry VM leave. Answers that name it are kept for ttl from
// now on, which must cover the time until look-ups stop naming it.
func (e *EntryVM) Stop(now time.Time, ttl time.Duration) {
	if e.fire(eventStop) {
		e.forgotten = now.Add(ttl)
	}
}

// Look moves on by the time and the number of requests carried.
func (e *EntryVM) Look(now time.Time, inFlight int) chart.State {
	if e.state == Leaving && !now.Before(e.forgotten) {
		e.fire(eventForgotten)
	}
	if e.state == Finishing && inFlight == 0 {
		e.fire(eventEmpty)
	}
	return e.state
}

func (e *EntryVM) fire(event chart.Event) bool {
	next, err := entryVMLife.Fire(e, e.state, event)
	if err != nil {
		return false
	}
	e.state = next
	return true
}

// Remaining is what is known of the work that a stop waits for.
type Remaining struct {
	InFlight int
	// Complete is set when all who may carry some have reported.
	Complete bool
}

// PlannedStop is how far a planned stop has come.
type PlannedStop struct {
	state chart.State
}

// NewPlannedStop returns a stop whose time has not come.
func NewPlannedStop() *PlannedStop { return &PlannedStop{state: plannedStopLife.Initial()} }

// State returns the state as of the last call.
func (p *PlannedStop) State() chart.State { return p.state }

// Look moves on by the time and what remains, and reports whether the state
// changed.
func (p *PlannedStop) Look(now time.Time, stop *routing.Stop, r Remaining) (changed bool) {
	before := p.state
	if !stop.At.After(now) {
		p.fire(eventStart)
	}
	if r.Complete && r.InFlight == 0 {
		p.fire(eventEmpty)
	} else {
		p.fire(eventBusy)
	}
	if !stop.Deadline.IsZero() && !now.Before(stop.Deadline) {
		p.fire(eventDeadline)
	}
	return p.state != before
}

// fire takes the transition of an event if the state has one: events here are
// observations, and most states ignore some.
func (p *PlannedStop) fire(event chart.Event) {
	if next, err := plannedStopLife.Fire(p, p.state, event); err == nil {
		p.state = next
	}
}

// EntryVMChart renders the chart of entry VMs for the documentation.
func EntryVMChart() string { return entryVMLife.Markdown() }

// PlannedStopChart renders the chart of planned stops for the documentation.
func PlannedStopChart() string { return plannedStopLife.Markdown() }
