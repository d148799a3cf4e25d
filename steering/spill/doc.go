// Package spill orders the places outside the local zone to which a request may be handed over,
// based on hints about their free capacity.
//
// The receiving place decides whether it admits a request; a hint only saves round trips that end
// in a refusal. Each hint has an age and decays to a neutral value, so that an outdated figure
// neither attracts nor repels requests. Requests are spread over places at equal distance in
// proportion to their free capacity rather than all sent to the best place: many senders with the
// same outdated figures would overload that place until it refuses, and then the next one. Each
// sender subtracts the requests it has sent since the hint from the hint.
//
// Limits: the hints of different senders are not coordinated, so together they may send more than a
// place can run. The place then refuses, and each refused sender backs off for the time given in
// the refusal, within the bounds of [Params].
package spill
