package retry

import (
	"time"

	"heatherlock/steering"
)

// MinRemaining is the shortest time before the deadline at which an extra try is still worth
// sending.
const MinRemaining = 5 * time.Millisecond

// Request holds the properties of a request that the retry rules depend on.
type Request struct {
	Pool       Pool
	Idempotent bool
	// FromCaller means that this entry VM received the request from its caller and not from
	// another entry VM.
	FromCaller bool
	// Replayable means that the whole body is available for another try.
	Replayable bool
	Deadline   time.Time
}

// Tries lists the tries that were sent so far for one request.
type Tries struct {
	Targets []steering.Target
	// ExtraSent means that a retry or a hedge was sent.
	ExtraSent bool
}

// Contains reports whether the request was sent to the target.
func (t *Tries) Contains(target steering.Target) bool {
	for _, tried := range t.Targets {
		if tried == target {
			return true
		}
	}
	return false
}

// Denial is the reason why no further try is sent. Each reason has a counter.
type Denial string

// Denial reasons, and Allowed for none.
const (
	Allowed            Denial = ""
	DenyNotFirstVM     Denial = "not_first_entry_vm"
	DenyAlreadyRetried Denial = "already_tried_again"
	DenyMayHaveRun     Denial = "may_have_run"
	DenyNotReplayable  Denial = "body_not_replayable"
	DenyDeadline       Denial = "no_time_left"
	DenyBudget         Denial = "budget_spent"
	DenyNotIdempotent  Denial = "not_idempotent"
)

// Denials lists every denial reason.
var Denials = []Denial{DenyNotFirstVM, DenyAlreadyRetried, DenyMayHaveRun, DenyNotReplayable, DenyDeadline, DenyBudget, DenyNotIdempotent}

// Retry decides whether a request whose last try failed is retried, and charges the retry to the
// budget of the pool. ran says whether the failed try may have been executed.
func (b *Budgets) Retry(now time.Time, r Request, t Tries, ran steering.Ran) Denial {
	if ran != steering.RanNo && !r.Idempotent {
		return DenyMayHaveRun
	}
	if d := checkExtraTry(now, r, t, MinRemaining); d != Allowed {
		return d
	}
	if !b.TakeRetry(r.Pool) {
		return DenyBudget
	}
	return Allowed
}

// HedgeDelay returns how long to wait for the first try before calling Hedge. Zero means that the
// request is not hedged.
func HedgeDelay(now time.Time, r Request, delay time.Duration) time.Duration {
	if delay <= 0 || !r.Idempotent || checkExtraTry(now, r, Tries{}, delay+MinRemaining) != Allowed {
		return 0
	}
	return delay
}

// Hedge decides whether a second try is sent while the first one runs, and charges it to the
// budgets of the pool. When one try is answered, the calling code cancels the other.
func (b *Budgets) Hedge(now time.Time, r Request, t Tries) Denial {
	if !r.Idempotent {
		return DenyNotIdempotent
	}
	if d := checkExtraTry(now, r, t, MinRemaining); d != Allowed {
		return d
	}
	if !b.TakeHedge(r.Pool) {
		return DenyBudget
	}
	return Allowed
}

// checkExtraTry applies the rules that retries and hedges have in common.
func checkExtraTry(now time.Time, r Request, t Tries, need time.Duration) Denial {
	switch {
	case !r.FromCaller:
		return DenyNotFirstVM
	case t.ExtraSent:
		return DenyAlreadyRetried
	case !r.Replayable:
		return DenyNotReplayable
	case r.Deadline.Sub(now) < need:
		return DenyDeadline
	}
	return Allowed
}

// Margins by which the timeout of the next hop is shorter than the remaining time. They leave the
// sender time to answer its caller when the next hop uses its whole timeout.
const (
	hopMarginDivisor = 50 // 1/50 of the remaining time
	minHopMargin     = 2 * time.Millisecond
	maxHopMargin     = 50 * time.Millisecond
)

// NextHopTimeout returns the timeout for the next hop. A result of zero or less means that too
// little time is left for another hop.
func NextHopTimeout(now, deadline time.Time) time.Duration {
	remaining := deadline.Sub(now)
	margin := min(max(remaining/hopMarginDivisor, minHopMargin), maxHopMargin)
	return remaining - margin
}
