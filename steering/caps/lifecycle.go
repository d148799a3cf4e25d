package caps

import (
	_ "embed"

	"heatherlock/steering/chart"
)

// States of a loan.
const (
	loanAsked   chart.State = "asked"
	loanOpen    chart.State = "open"
	loanClosing chart.State = "closing"
	loanOver    chart.State = "over"
	loanLost    chart.State = "lost"
)

const (
	eventGranted  chart.Event = "granted"
	eventSpent    chart.Event = "spent"
	eventReplaced chart.Event = "replaced"
	eventTermOver chart.Event = "termOver"
	eventReturned chart.Event = "returned"
)

//go:embed caploan.json
var loanChartJSON []byte

var loanLifecycle = chart.MustLoad("caploan.json", loanChartJSON, chart.Bindings[*loan]{
	States: []chart.State{loanAsked, loanOpen, loanClosing, loanOver, loanLost},
	Events: []chart.Event{eventGranted, eventSpent, eventReplaced, eventTermOver, eventReturned},
	Guards: map[string]func(*loan) bool{"held": func(l *loan) bool { return l.held > 0 }},
	Actions: map[string]func(*loan){"drop": func(l *loan) {
		l.free = 0
		l.used = queue{}
	}},
})

// fire applies an event to a loan; an event without a transition from the loan's state has no
// effect.
func (l *loan) fire(event chart.Event) {
	if next, err := loanLifecycle.Fire(l, l.state, event); err == nil {
		l.state = next
	}
}

// LoanChart returns the state chart of a loan in Markdown, for the documentation.
func LoanChart() string { return loanLifecycle.Markdown() }
