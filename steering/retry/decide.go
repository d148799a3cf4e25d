package retry

import (
	"time"

	"heatherlock/steering"
)

// MinRemaining is the least time that must remain for another try to be worth
// sending.
const MinRemaining = 5 * time.Millisecond

// Request is what the rules need to know of a request.
type Request struct {
	Pool       Pool
	Idempotent bool
	// FromCaller says that this entry VM got the request from its caller.
	FromCaller bool
	// Replayable says that the whole body is at hand for another try.
	Replayable bool
	Deadline   time.Time
}

// Tries lists what was sent so far for one request.
type Tries struct {
	Targets []steering.Target
	// Extra says that a retry or a hedge was sent.
	Extra bool
}

// Had reports whether the target had the request.
func (t *Tries) Had(target steering.Target) bool {
	for _, had := range t.Targets {
		if had == target {
			return true
		}
	}
	return false
}

// Denial says why there is no further try. Each has a counter.
type Denial string

// Denials.
const (
	Allowed       Denial = ""
	DenyHop       Denial = "not_first_entry_vm"
	DenyExtra     Denial = "already_tried_again"
	DenyMayRun    Denial = "may_have_run"
	DenyBody      Denial = "body_not_replayable"
	DenyDeadline  Denial = "no_time_left"
	DenyBudget    Denial = "budget_spent"
	DenyNotHedged Denial = "not_idempotent"
)

// Denials lists every denial.
var Denials = []Denial{DenyHop, DenyExtra, DenyMayRun, DenyBody, DenyDeadline, DenyBudget, DenyNotHedged}

// Retry decides whether a request whose last try failed is tried again, and
// pays for it. ran says what is known about the execution of that try.
func (b *Budgets) Retry(now time.Time, r Request, t Tries, ran steering.Ran) Denial {
	if ran != steering.RanNo && !r.Idempotent {
		return DenyMayRun
	}
	if d := extra(now, r, t, MinRemaining); d != Allowed {
		return d
	}
	if !b.TakeRetry(r.Pool) {
		return DenyBudget
	}
	return Allowed
}

// HedgeDelay returns how long to wait for the first try before MayHedge is
// asked; zero means that the request is not hedged.
func HedgeDelay(now time.Time, r Request, after time.Duration) time.Duration {
	if after <= 0 || !r.Idempotent || extra(now, r, Tries{}, after+MinRemaining) != Allowed {
		return 0
	}
	return after
}

// Hedge decides whether a second try is sent while the first one runs, and pays
// for it. The caller cancels the loser when one answers.
func (b *Budgets) Hedge(now time.Time, r Request, t Tries) Denial {
	if !r.Idempotent {
		return DenyNotHedged
	}
	if d := extra(now, r, t, MinRemaining); d != Allowed {
		return d
	}
	if !b.TakeHedge(r.Pool) {
		return DenyBudget
	}
	return Allowed
}

// extra holds the rules that retries and hedges share.
func extra(now time.Time, r Request, t Tries, need time.Duration) Denial {
	switch {
	case !r.FromCaller:
		return DenyHop
	case t.Extra:
		return DenyExtra
	case !r.Replayable:
		return DenyBody
	case r.Deadline.Sub(now) < need:
		return DenyDeadline
	}
	return Allowed
}

// Margins by which a deadline shrinks per hop, so that the sender can still
// answer its caller in time when the receiver uses all it was given.
const (
	hopMarginShare = 50 // 1/50 of what remains
	hopMarginMin   = 2 * time.Millisecond
	hopMarginMax   = 50 * time.Millisecond
)

// Onward returns how long the next hop may take; not above zero means that the
// deadline has passed in effect.
func Onward(now, deadline time.Time) time.Duration {
	remaining := deadline.Sub(now)
	margin := min(max(remaining/hopMarginShare, hopMarginMin), hopMarginMax)
	return remaining - margin
}
