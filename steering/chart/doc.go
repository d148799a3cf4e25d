// Package chart interprets state charts that are defined in JSON files.
//
// A chart lists states, events and transitions. The code that uses it lists the
// states and events that it knows and binds guards and actions by name. [Load]
// compares the two, so that a chart and its code cannot get out of step: a name that
// only one of them has makes Load fail with the file, the path inside it and the
// remedy. Transitions are run by github.com/qmuntal/stateless.
//
// A chart is loaded once and shared, because it holds no state of an instance. The
// caller keeps the state of each instance, passes it to [Chart.Fire] and stores the
// state that Fire returns. Fire may be called concurrently if the bound guards and
// actions may.
//
// Limits: there are no nested or parallel states and no timers (the passing of time is
// an event). A state has at most two transitions for one event, with a guard and its
// negation, so that exactly one of them applies.
package chart
