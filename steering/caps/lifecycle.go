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
var loanSource []byte

var loanLife = chart.MustLoad("caploan.json", loanSource, chart.Bindings[*loan]{
	States: []chart.State{loanAsked, loanOpen, loanClosing, loanOver, loanLost},
	Events: []chart.Event{eventGranted, eventSpent, eventReplaced, eventTermOver, eventReturned},
	Guards: map[string]func(*loan) bool{"held": func(l *loan) bool { return l.held > 0 }},
	Actions: map[string]func(*loan){"drop": func(l *loan) {
		l.free = 0
		l.used = queue{}
	}},
})

// fire moves a loan on; an event that its state does not know changes nothing.
func (l *loan) fire(event chart.Event) {
	if next, err := loanLife.Fire(l, l.state, event); err == nil {
		l.state = next
	}
}

// LoanChart renders the loan's state chart for the documentation.
func LoanChart() string { return loanLife.Markdown() }
