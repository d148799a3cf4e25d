// Package spill orders the places outside the own zone that a request may be
// handed over to, by hints about their headroom.
//
// The receiver decides; a hint only saves refused round trips. Each hint has
// an age and fades to neutral, so that an old figure neither attracts nor
// repels. Work is spread over equally near places in proportion to headroom
// rather than sent to the best one: with many senders and the same stale
// figures, "the best" would be flooded, refuse, and the next one would follow.
// Each sender counts what it has sent since the hint against it.
//
// Limits: hints of different senders are not coordinated, so that together
// they may send more than fits; the receiver then refuses, and its refusal
// holds the sender back for the time given.
package spill
