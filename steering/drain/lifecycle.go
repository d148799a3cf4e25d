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
	eventStop           chart.Event = "stop"
	eventAnswersExpired chart.Event = "forgotten"
	eventEmpty          chart.Event = "empty"
	eventStart          chart.Event = "start"
	eventBusy           chart.Event = "busy"
	eventDeadline       chart.Event = "deadline"
)

//go:embed entryvm.json
var entryVMSource []byte

//go:embed plannedstop.json
var plannedStopSource []byte

var entryVMChart = chart.MustLoad("entryvm.json", entryVMSource, chart.Bindings[*EntryVM]{
	States: []chart.State{Serving, Leaving, Finishing, Left},
	Events: []chart.Event{eventStop, eventAnswersExpired, eventEmpty},
})

var plannedStopChart = chart.MustLoad("plannedstop.json", plannedStopSource, chart.Bindings[*PlannedStop]{
	States: []chart.State{Announced, Draining, Overdue, Drained},
	Events: []chart.Event{eventStart, eventBusy, eventEmpty, eventDeadline},
})

// EntryVM tracks the shutdown of an entry VM. It is not safe for concurrent use.
type EntryVM struct {
	state           chart.State
	answersExpireAt time.Time // when the last cached look-up answer that names the VM expires
}

// NewEntryVM returns an entry VM in state Serving.
func NewEntryVM() *EntryVM { return &EntryVM{state: entryVMChart.Initial()} }

// State returns the state after the last call of Stop or Update.
func (e *EntryVM) State() chart.State { return e.state }

// Stop starts the shutdown of the entry VM; a repeated call has no effect. Callers may
// use look-up answers that name the VM until ttl from now, so ttl must also cover the
// time until look-ups no longer name it.
func (e *EntryVM) Stop(now time.Time, ttl time.Duration) {
	if e.fire(eventStop) {
		e.answersExpireAt = now.Add(ttl)
	}
}

// Update updates the state for the time and the number of requests in flight, and
// returns it.
func (e *EntryVM) Update(now time.Time, inFlight int) chart.State {
	if e.state == Leaving && !now.Before(e.answersExpireAt) {
		e.fire(eventAnswersExpired)
	}
	if e.state == Finishing && inFlight == 0 {
		e.fire(eventEmpty)
	}
	return e.state
}

func (e *EntryVM) fire(event chart.Event) bool {
	next, err := entryVMChart.Fire(e, e.state, event)
	if err != nil {
		return false
	}
	e.state = next
	return true
}

// Remaining is the known number of requests that a stop waits for.
type Remaining struct {
	InFlight int
	// AllReported is set if all VMs that may have such requests in flight have
	// reported.
	AllReported bool
}

// PlannedStop tracks the state of a planned stop. It is not safe for concurrent use.
type PlannedStop struct {
	state chart.State
}

// NewPlannedStop returns a stop in state Announced.
func NewPlannedStop() *PlannedStop { return &PlannedStop{state: plannedStopChart.Initial()} }

// State returns the state after the last call of Update.
func (p *PlannedStop) State() chart.State { return p.state }

// Update updates the state for the time and the remaining requests, and reports whether
// it changed.
func (p *PlannedStop) Update(now time.Time, stop *routing.Stop, r Remaining) (changed bool) {
	before := p.state
	if !stop.At.After(now) {
		p.fire(eventStart)
	}
	if r.AllReported && r.InFlight == 0 {
		p.fire(eventEmpty)
	} else {
		p.fire(eventBusy)
	}
	if !stop.Deadline.IsZero() && !now.Before(stop.Deadline) {
		p.fire(eventDeadline)
	}
	return p.state != before
}

// fire takes the transition for an event if the state has one. Update fires an event
// for every condition that holds, and most states ignore some of them.
func (p *PlannedStop) fire(event chart.Event) {
	if next, err := plannedStopChart.Fire(p, p.state, event); err == nil {
		p.state = next
	}
}

// EntryVMChart returns the state chart of entry VMs as Markdown, for the documentation.
func EntryVMChart() string { return entryVMChart.Markdown() }

// PlannedStopChart returns the state chart of planned stops as Markdown, for the
// documentation.
func PlannedStopChart() string { return plannedStopChart.Markdown() }
