// Package shift decides how a traffic shift advances. A shift moves callers in steps, each only
// when the receiving places have capacity for it. It moves them back in steps when its percentage
// is lowered, its route is changed or it is deleted. One entry VM at a time, the driver of the
// shift, calls [Decide] periodically and stores the result as a [routing.ShiftProgress].
//
// Clients cache look-up answers, so a step takes full effect only after the time to live of the
// answers. A shift therefore makes at most one step per declared interval or time to live,
// whichever is longer, and evaluates the load that the receivers report afterwards. Shifts into the
// same place take turns: only one of them steps forward in each such period.
//
// Steps back have the same pace but are never held: an operator may reverse a shift because the
// receivers are overloaded.
//
// Limits: a decision is based on the load that the receivers last reported. If requests that are
// already on their way overload a receiver, the receiver refuses them itself, and a cap applies
// independently of the steps.
package shift
