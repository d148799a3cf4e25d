// Package shift decides how a shift of traffic advances: in steps, each only
// when the receiving places can take more, and back in steps when its percent
// is lowered, its route changes or it is deleted.
//
// Clients keep look-up answers for a time to live, so a step shows its whole
// effect only after that time. A shift therefore makes at most one step per
// declared interval or time to live, whichever is longer, and judges the
// receivers by what they report after it. Shifts into one place share its ramp:
// only one of them steps forward in such a time.
//
// Steps back are paced too, but nothing holds them: an operator who takes a
// shift back may do so because the receivers are in trouble.
//
// Limits: a decision rests on what the receivers reported last. Overload by
// what is already on its way is refused by the receivers themselves, and a cap
// binds whatever the steps do.
package shift
