// Package request holds the life of one request: which try may be sent next and
// what may be said of its execution.
//
// The rules stand in a state chart, request.json, that the data path asks before
// each try. A non-idempotent request has no way from "unknown" to another try,
// whatever the code around it decides: running a purchase twice would need a
// fault in the chart, which is a page long, and not just anywhere in the code.
//
// Limits: tries that race each other (hedges of idempotent requests) count as
// one; the sender folds their ends into the least certain of them.
package request

import (
	_ "embed"

	"heatherlock/steering"
	"heatherlock/steering/chart"
)

// States of a request.
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

// Events of a request.
const (
	Send         chart.Event = "send"
	ProvedNotRun chart.Event = "notRun"
	MayHaveRun   chart.Event = "mayHaveRun"
	Answer       chart.Event = "answer"
	Whole        chart.Event = "whole"
	CutShort     chart.Event = "cut"
	Refuse       chart.Event = "refuse"
)

//go:embed request.json
var source []byte

var life = chart.MustLoad("request/request.json", source, chart.Bindings[*Life]{
	States: []chart.State{Received, Sent, NotRun, Unknown, SentAgain, Answering, Done, Cut, Refused, Lost},
	Events: []chart.Event{Send, ProvedNotRun, MayHaveRun, Answer, Whole, CutShort, Refuse},
	Guards: map[string]func(*Life) bool{
		"idempotent": func(l *Life) bool { return l.Idempotent },
	},
})

// Chart returns the life of a request, for documentation.
func Chart() *chart.Chart[*Life] { return life }

// Life is the life of one request. The zero value is a non-idempotent request
// of which nothing was sent.
type Life struct {
	// Idempotent says that the request may be run more than once.
	Idempotent bool
	state      chart.State
}

// State returns the present state.
func (l *Life) State() chart.State {
	if l.state == "" {
		return life.Initial()
	}
	return l.state
}

// Fire takes the transition of an event. The error is a
// *chart.NotPermittedError, and the state stays as it was.
func (l *Life) Fire(event chart.Event) error {
	next, err := life.Fire(l, l.State(), event)
	l.state = next
	return err
}

// Ran returns what may be said of the request's execution now.
func (l *Life) Ran() steering.Ran {
	switch l.State() {
	case Received, NotRun, Refused:
		return steering.RanNo
	case Done:
		return steering.RanYes
	}
	return steering.RanUnknown
}
