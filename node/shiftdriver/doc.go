// Package shiftdriver advances shifts: it feeds steering/shift what the
// receiving places report and writes the decisions to ShiftProgress objects.
//
// One entry VM drives a shift: the reader of the first receiving zone, by name,
// that has a live entry VM. Writes are conditional on the record that the
// decision was made from, so a second driver, or one that was paused, can repeat
// no step: one of the two writes fails.
//
// The platform is called only when a record changes, which pacing bounds to a
// few times per step of a shift.
//
// Limits: while the platform is out of reach no shift moves, in either
// direction; the share that was moved stays in force. Whether a cap is reached
// is judged by this entry VM's own refusals.
package shiftdriver
