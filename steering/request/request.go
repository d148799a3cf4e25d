// Package request holds the state of one request: which try may be sent next, and what is known
// about its execution.
//
// The rules are a state chart, request.json, which the data path consults before each try. For a
// non-idempotent request the chart has no transition from "unknown" to another try, whatever the
// code around it decides. Running a purchase twice would take a fault in the chart, which fits on
// a page and is easy to review, and not just a fault anywhere in the code.
//
// Limitations: tries that run in parallel (hedges of idempotent requests) count as one. The
// sender combines their outcomes into the least certain of them.
package request

import (
	_ "embed"

	"heatherlock/steering"
	"heatherlock/steering/chart"
)

// States of a request, as documented in request.json.
const (
	Received  chart.State = "received"
	Sent      chart.State = "sent"
	NotRun    chart.State = "notRun"
	Unknown   chart.State = "unknown"
	SentAgain chart.State = "sentAgain"
	Answering chart.State = "answering"
	Done      chart.State = "done"
	Cut       chart.State = "cut"
	Refused   chart.State = "refused"
	Lost      chart.State = "lost"
)

// Events of a request, as documented in request.json.
const (
	Send         chart.Event = "send"
	ProvedNotRun chart.Event = "notRun"
	MayHaveRun   chart.Event = "mayHaveRun"
	Answer       chart.Event = "answer"
	Complete     chart.Event = "whole"
	CutShort     chart.Event = "cut"
	Refuse       chart.Event = "refuse"
)

//go:embed request.json
var source []byte

var lifecycle = chart.MustLoad("request/request.json", source, chart.Bindings[*Lifecycle]{
	States: []chart.State{Received, Sent, NotRun, Unknown, SentAgain, Answering, Done, Cut, Refused, Lost},
	Events: []chart.Event{Send, ProvedNotRun, MayHaveRun, Answer, Complete, CutShort, Refuse},
	Guards: map[string]func(*Lifecycle) bool{
		"idempotent": func(l *Lifecycle) bool { return l.Idempotent },
	},
})

// Chart returns the state chart of a request, for documentation.
func Chart() *chart.Chart[*Lifecycle] { return lifecycle }

// Lifecycle is the state of one request. The zero value is a non-idempotent request of which
// nothing was sent.
type Lifecycle struct {
	// Idempotent means that the request may be run more than once.
	Idempotent bool
	state      chart.State
}

// State returns the current state.
func (l *Lifecycle) State() chart.State {
	if l.state == "" {
		return lifecycle.Initial()
	}
	return l.state
}

// Fire applies an event. If the event is not permitted in the current state, Fire returns a
// *chart.NotPermittedError and the state does not change.
func (l *Lifecycle) Fire(event chart.Event) error {
	next, err := lifecycle.Fire(l, l.State(), event)
	l.state = next
	return err
}

// Ran returns what is known about the execution of the request.
func (l *Lifecycle) Ran() steering.Ran {
	switch l.State() {
	case Received, NotRun, Refused:
		return steering.RanNo
	case Done:
		return steering.RanYes
	}
	return steering.RanUnknown
}
