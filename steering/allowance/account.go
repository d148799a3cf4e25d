package allowance

import (
	"math"
	"time"
)

const (
	// AskFor is how long a request waits for the owner's answer: a few ways over the
	// longest link.
	AskFor = 150 * time.Millisecond
	// AskAgain is when an answer that has not come is asked for once more.
	AskAgain = 60 * time.Millisecond
	// silentAfter is how long an owner may leave reports unanswered until a VM goes on
	// alone.
	silentAfter = 2 * AskFor
	// demandTime is over which time demand is averaged.
	demandTime = time.Second
	// debtShare is the part of its equal share of the burst that a VM lets run before it
	// has reported it.
	debtShare = 0.25
	// shortestReturn and longestReturn bound Retry-After.
	shortestReturn = 100 * time.Millisecond
	longestReturn  = 2 * time.Second
)

// Verdict is what becomes of a request.
type Verdict uint8

// Verdicts.
const (
	// Admitted: it may run.
	Admitted Verdict = iota
	// Ask: the owner is to be asked first.
	Ask
	// Refused: the workspace is beyond its allowance.
	Refused
)

// Account is an entry VM's side of one workspace. It is not safe for concurrent use.
type Account struct {
	limit   Limit
	members int

	credits float64
	used    int64
	known   int64 // as confirmed by an owner
	debt    float64
	usedAt  time.Time // when a credit was used last
	number  uint32    // of the last report
	// unconfirmed is set while an owner does not know what is used and held here.
	unconfirmed bool

	demand   float64 // requests per second
	demandAt time.Time

	tightUntil   time.Time
	blockedUntil time.Time
	nextReturn   time.Time
	share        float64

	askedAt    time.Time // of the first report without an answer; zero without one
	reportedAt time.Time
	waiting    int

	alone bucket
}

// NewAccount returns the account of a workspace with a limit, in a fleet of so many VMs.
func NewAccount(now time.Time, limit Limit, members int) *Account {
	a := &Account{demandAt: now}
	a.Configure(now, limit, members)
	return a
}

// Configure puts a limit in force. Credits lent under another one are given up.
func (a *Account) Configure(now time.Time, limit Limit, members int) {
	a.members = max(members, 1)
	if limit == a.limit {
		return
	}
	if limit.Rate > a.limit.Rate {
		a.blockedUntil, a.nextReturn = time.Time{}, time.Time{}
	}
	a.limit = limit
	a.credits = 0
}

// Limit returns the limit in force here.
func (a *Account) Limit() Limit { return a.limit }

// Arrived counts a request that asks to run.
func (a *Account) Arrived(now time.Time) {
	a.fade(now)
	a.demand += 1 / demandTime.Seconds()
}

func (a *Account) fade(now time.Time) {
	if passed := now.Sub(a.demandAt); passed > 0 {
		a.demand *= math.Exp(-passed.Seconds() / demandTime.Seconds())
		a.demandAt = now
	}
}

// Admit decides on a request that has arrived, and counts it if it may run.
func (a *Account) Admit(now time.Time) Verdict {
	switch {
	case now.Before(a.blockedUntil):
		return Refused
	case a.credits >= 1:
		a.credits--
		a.use(now)
		return Admitted
	case !now.Before(a.tightUntil) && a.debt+1 <= a.mostDebt() && !a.Silent(now):
		a.debt++
		a.use(now)
		return Admitted
	}
	return Ask
}

func (a *Account) use(now time.Time) {
	a.used++
	a.usedAt, a.unconfirmed = now, true
}

// mostDebt is how many requests may run here before their report is answered.
func (a *Account) mostDebt() float64 {
	return math.Max(1, debtShare*a.limit.Burst/float64(a.members))
}

// Alone decides on a request whose owner does not answer: it may run by this VM's part of
// the rate.
func (a *Account) Alone(now time.Time) bool {
	share := math.Max(a.share, 1/float64(a.members))
	if a.alone.at.IsZero() {
		a.alone.at, a.alone.tokens = now, 1
	}
	a.alone.set(now, a.limit.scaled(share))
	if a.alone.tokens < 1 {
		return false
	}
	a.alone.tokens--
	a.use(now)
	return true
}

// Silent reports whether the owner has left reports unanswered for long.
func (a *Account) Silent(now time.Time) bool {
	return !a.askedAt.IsZero() && now.Sub(a.askedAt) > silentAfter
}

// NewOwner tells that another VM owns the workspace.
func (a *Account) NewOwner() { a.askedAt = time.Time{} }

// Return gives back the credit of a request that did not run.
func (a *Account) Return() {
	a.used--
	a.credits++
	a.unconfirmed = true
}

// Ran counts one more run of a request that was admitted.
func (a *Account) Ran() {
	a.used++
	a.credits = math.Max(0, a.credits-1)
	a.unconfirmed = true
}

// Wait and Waited count the requests that wait for the owner's answer.
func (a *Account) Wait()   { a.waiting++ }
func (a *Account) Waited() { a.waiting-- }

// Due reports whether the owner is to be told now.
func (a *Account) Due(now time.Time) bool {
	sinceReport := now.Sub(a.reportedAt)
	switch {
	case !a.askedAt.IsZero() && sinceReport < AskAgain:
		return false // the answer may be under way
	case a.waiting > 0:
		return !now.Before(a.blockedUntil)
	case a.unconfirmed && a.debt > 0:
		return true
	case a.unconfirmed, a.spare(now):
		return sinceReport >= ReportEvery
	}
	return false
}

// spare reports whether credits lie here that nobody uses.
func (a *Account) spare(now time.Time) bool {
	return a.credits > 0 && now.Sub(a.usedAt) > idleAfter
}

// Report returns what to tell the owner. Credits that nobody uses are given back.
func (a *Account) Report(now time.Time) Report {
	a.fade(now)
	if a.askedAt.IsZero() {
		a.askedAt = now
	}
	if a.spare(now) {
		a.credits = 0
	}
	a.number++
	a.reportedAt, a.unconfirmed = now, true
	return Report{Number: a.number, Used: a.used, Known: a.known, Held: float32(a.credits), Waiting: a.waiting, Demand: float32(a.demand)}
}

// Replied takes in the owner's answer, unless it is to another report than the last: the
// owner has taken the credits of earlier answers back.
func (a *Account) Replied(now time.Time, r Reply) {
	if r.Number != a.number || a.askedAt.IsZero() {
		return
	}
	a.askedAt = time.Time{}
	a.known = r.Used
	a.credits += float64(r.Credits)
	a.unconfirmed = a.used != r.Used
	a.debt = 0
	a.share = float64(r.Share)
	if r.Tight {
		a.tightUntil = now.Add(TightFor)
	} else {
		a.tightUntil = time.Time{}
	}
	if r.WaitMs > 0 {
		a.blockedUntil = now.Add(milliseconds(r.WaitMs))
	}
}

// Tight tells that the bucket is low, as heard from another VM than the owner.
func (a *Account) Tight(until time.Time) {
	if until.After(a.tightUntil) {
		a.tightUntil = until
	}
}

// Idle reports whether nothing is left to report or to wait for.
func (a *Account) Idle(now time.Time) bool {
	return a.waiting == 0 && !a.unconfirmed && a.credits == 0 && now.Sub(a.demandAt) > forgetAfter
}

// RetryAfter returns when a refused request may come back: when a credit accrues for it
// behind those that were refused before it, so that callers do not return together. spread
// is a number from 0 to 1 of the request.
func (a *Account) RetryAfter(now time.Time, spread float64) time.Duration {
	rate := a.limit.Rate * math.Max(a.share, 1/float64(a.members))
	next := now.Add(shortestReturn)
	if a.blockedUntil.After(next) {
		next = a.blockedUntil
	}
	if a.nextReturn.After(next) {
		next = a.nextReturn
	}
	latest := now.Add(longestReturn)
	if next.After(latest) {
		next = latest
	}
	a.nextReturn = next.Add(time.Duration(math.Min(1/rate, longestReturn.Seconds()) * float64(time.Second)))
	return time.Duration(float64(next.Sub(now)) * (0.75 + 0.5*spread))
}
