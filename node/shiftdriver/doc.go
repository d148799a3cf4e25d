// Package shiftdriver advances shifts. It passes the load that the receiving places report to
// steering/shift and stores its decisions in ShiftProgress objects.
//
// One entry VM drives a shift: the zone reader of the first receiving zone, in order of name,
// that has a live entry VM. Writes are conditional on the record on which the decision is
// based, so a second driver, or one that was paused, can't repeat a step: one of the two writes
// fails.
//
// The platform is called only when a record changes. Pacing limits this to a few calls per step
// of a shift.
//
// Limits: while the platform is unreachable, no shift moves in either direction, and the share
// already moved stays in force. Whether a cap is reached is judged only by the requests that
// this entry VM itself refused.
package shiftdriver
