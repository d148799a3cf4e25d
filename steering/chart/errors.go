package chart

import (
	"fmt"
	"strings"
)

// Problem is an error in a chart file.
type Problem struct {
	Path    string // position in the file, for example transitions[3].to
	Message string
	Remedy  string
}

// LoadError lists all problems found in a chart file.
type LoadError struct {
	File     string
	Problems []Problem
}

// Error implements error with one line per problem, each naming its remedy.
func (e *LoadError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, fmt.Sprintf("chart: %s: %s: %s; %s", e.File, p.Path, p.Message, p.Remedy))
	}
	return strings.Join(lines, "\n")
}

// NotPermittedError reports that no transition applies to an event in a state.
type NotPermittedError struct {
	Chart string
	State State
	Event Event
	// Guarded is set if a transition exists but its guard returned false.
	Guarded bool
}

// Error implements error. The message ends with the remedy.
func (e *NotPermittedError) Error() string {
	if e.Guarded {
		return fmt.Sprintf("chart: %s: the guard of event %s does not hold in state %s; fire the event when the guard's condition holds", e.Chart, e.Event, e.State)
	}
	return fmt.Sprintf("chart: %s: state %s has no transition for event %s; add one to the chart or do not fire the event there", e.Chart, e.State, e.Event)
}
