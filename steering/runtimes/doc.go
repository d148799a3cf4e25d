// Package runtimes predicts how long a run takes at a target, from its service and route, whether its
// key is warm there, the target's own speed, and the slowdown that the target reports for its machine.
//
// It answers the load of services on which routes of different length share targets, and of targets
// that share machines: there, one mean per service is wrong for every route, and the tail of the run
// times decides when a second run still helps.
//
// A distribution of run times is kept for each class (service and route) and warmth. The times in it
// are divided by the speed factor of the target and by the slowdown, and a prediction multiplies by
// those of the target in question. All state is bounded, and old samples lose weight.
//
// A Model is not safe for concurrent use.
package runtimes
