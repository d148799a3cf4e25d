// Package chart interprets state charts that are kept as JSON files.
//
// A chart lists states, events and transitions. The code that uses it lists
// the states and events it knows and binds guards and actions by name. Load
// compares the two, so that a chart and its code cannot drift apart: a name
// that only one side knows fails at start with the file, the path inside it
// and the remedy. Transitions run through github.com/qmuntal/stateless.
//
// A chart is loaded once and shared: it holds no instance. The caller keeps
// the state of each instance, passes it to Fire and stores what Fire returns.
// Fire may be called from several goroutines as long as the bound guards and
// actions may.
//
// Limits: no nested or parallel states, no timers (time enters as an event),
// and at most two transitions for one event in one state, a guard and its
// negation, so that exactly one of them applies.
package chart
