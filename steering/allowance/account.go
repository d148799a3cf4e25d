package allowance

import (
	"math"
	"time"
)

const (
	// OwnerTimeout is how long a request waits for the owner's reply while the round trip to the owner
	// is short or unknown; see ReplyTimeout.
	OwnerTimeout = 150 * time.Millisecond
	// maxReplyTimeout bounds ReplyTimeout: a request that waits longer is better refused.
	maxReplyTimeout = 600 * time.Millisecond
	// roundTripMargin is added to two round trips, because replies and timers are late on a busy VM.
	roundTripMargin = 20 * time.Millisecond
	// ReportRetryInterval is how long a VM waits for the reply of an owner in its region before it sends
	// another report. It waits OwnerTimeout for an owner in another region: the replies to all reports but the
	// last are ignored.
	ReportRetryInterval = 60 * time.Millisecond
	// demandTimeConstant is the time constant of the exponential average of the demand.
	demandTimeConstant = time.Second
	// unreportedBurstShare is the fraction of a VM's equal share of the burst that the VM may
	// admit before it has reported it.
	unreportedBurstShare = 0.25
	// minRetryAfter and maxRetryAfter bound the Retry-After delay, before its jitter.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// Verdict is the decision on a request.
type Verdict uint8

// Possible verdicts.
const (
	// Admitted means that the request may run.
	Admitted Verdict = iota
	// AskOwner means that the VM has to ask the owner for a credit first.
	AskOwner
	// Refused means that the workspace has exceeded its allowance.
	Refused
)

// Account is an entry VM's state for one workspace. It is not safe for concurrent use. One that replaces
// another of the same VM reports as another incarnation.
type Account struct {
	limit   Limit
	members int

	credits      float64
	used         int64
	confirmed    int64     // part of used that an owner has confirmed
	unreported   float64   // requests admitted without a credit since the last reply
	lastUsedAt   time.Time // when the last request was admitted
	lentAt       time.Time // when the last credits were received
	reportNumber uint32    // number of the last report
	// unconfirmed is set while the owner may not know the current values of used and credits.
	unconfirmed bool

	demand          float64 // requests per second
	demandUpdatedAt time.Time

	lowUntil     time.Time // until then the bucket is assumed to be low
	blockedUntil time.Time // until then requests are refused without asking
	nextRetryAt  time.Time // earliest retry for the next refused request
	demandShare  float64   // this VM's fraction of the demand, from the last reply

	unansweredSince time.Time // time of the first unanswered report; zero if there is none
	lastReportAt    time.Time
	distantOwner    bool
	roundTrip       time.Duration // of the last report that the owner answered; 0 if it answered none
	unanswered      int           // reports since the last reply
	waiting         int           // requests that wait for a reply

	localBucket bucket // see AdmitWithoutOwner
}

// NewAccount returns the account of a workspace with the given limit, in a fleet of the given
// number of entry VMs.
func NewAccount(now time.Time, limit Limit, members int) *Account {
	a := &Account{demandUpdatedAt: now}
	a.Configure(now, limit, members)
	return a
}

// Configure applies a limit and a fleet size. A changed limit discards the credits that were lent
// under the previous one.
func (a *Account) Configure(now time.Time, limit Limit, members int) {
	a.members = max(members, 1)
	if limit == a.limit {
		return
	}
	if limit.Rate > a.limit.Rate {
		a.blockedUntil, a.nextRetryAt = time.Time{}, time.Time{}
	}
	a.limit = limit
	a.credits = 0
}

// Limit returns the limit in force.
func (a *Account) Limit() Limit { return a.limit }

// RecordArrival records the arrival of a request in the demand.
func (a *Account) RecordArrival(now time.Time) {
	a.decayDemand(now)
	a.demand += 1 / demandTimeConstant.Seconds()
}

func (a *Account) decayDemand(now time.Time) {
	if elapsed := now.Sub(a.demandUpdatedAt); elapsed > 0 {
		a.demand *= math.Exp(-elapsed.Seconds() / demandTimeConstant.Seconds())
		a.demandUpdatedAt = now
	}
}

// Admit decides on a request whose arrival was recorded, and counts it as used if it may run.
func (a *Account) Admit(now time.Time) Verdict {
	switch {
	case now.Before(a.blockedUntil):
		return Refused
	case a.credits >= 1:
		a.credits--
		a.recordUse(now)
		return Admitted
	case !a.limit.Strict && !now.Before(a.lowUntil) && a.unreported+1 <= a.maxUnreported() && !a.OwnerUnresponsive(now):
		a.unreported++
		a.recordUse(now)
		return Admitted
	}
	return AskOwner
}

func (a *Account) recordUse(now time.Time) {
	a.used++
	a.lastUsedAt, a.unconfirmed = now, true
}

// maxUnreported returns how many requests the VM may admit without a credit before the owner
// replies to the report on them.
func (a *Account) maxUnreported() float64 {
	return math.Max(1, unreportedBurstShare*a.limit.Burst/float64(a.members))
}

// AdmitWithoutOwner decides on a request without the owner, which does not reply. It admits
// requests at this VM's share of the rate, and none under a strict limit.
func (a *Account) AdmitWithoutOwner(now time.Time) bool {
	if a.limit.Strict {
		return false
	}
	demandShare := math.Max(a.demandShare, 1/float64(a.members))
	if a.localBucket.updatedAt.IsZero() {
		a.localBucket.updatedAt, a.localBucket.tokens = now, 1
	}
	a.localBucket.setLimit(now, a.limit.scaled(demandShare))
	if a.localBucket.tokens < 1 {
		return false
	}
	a.localBucket.tokens--
	a.recordUse(now)
	return true
}

// ReplyTimeout is how long a request waits for the owner's reply. A request that comes while a report is on
// its way has to wait for that reply and for the reply to the next report, which asks for it as well.
func (a *Account) ReplyTimeout() time.Duration {
	return min(max(OwnerTimeout, 2*a.roundTrip+roundTripMargin), maxReplyTimeout)
}

// OwnerUnresponsive reports whether the owner has left reports unanswered for so long that this VM
// decides without it.
func (a *Account) OwnerUnresponsive(now time.Time) bool {
	return !a.unansweredSince.IsZero() && now.Sub(a.unansweredSince) > 2*a.ReplyTimeout()
}

// OwnerChanged resets the wait for a reply when another VM becomes the owner of the workspace. distant says
// whether that VM is in another region.
func (a *Account) OwnerChanged(distant bool) {
	a.unansweredSince, a.distantOwner = time.Time{}, distant
	a.roundTrip, a.unanswered = 0, 0
}

// maxIntervalDoublings bounds how often the time between two reports doubles while the owner has never
// replied.
const maxIntervalDoublings = 2

// retryInterval is how long to wait for a reply before the next report. Only the reply to the last report
// counts, so the interval must exceed the round trip. While that is unknown, the interval grows until a
// reply arrives.
func (a *Account) retryInterval() time.Duration {
	if !a.distantOwner {
		return ReportRetryInterval
	}
	if a.roundTrip == 0 {
		return OwnerTimeout << min(max(a.unanswered-1, 0), maxIntervalDoublings)
	}
	return max(OwnerTimeout, a.roundTrip+roundTripMargin)
}

// ReturnCredit takes back the credit of an admitted request that did not run.
func (a *Account) ReturnCredit() {
	a.used--
	a.credits++
	a.unconfirmed = true
}

// RecordExtraRun counts one more execution of a request that was admitted.
func (a *Account) RecordExtraRun() {
	a.used++
	a.credits = math.Max(0, a.credits-1)
	a.unconfirmed = true
}

// AddWaiting and RemoveWaiting add and remove a request that waits for the owner's reply.
func (a *Account) AddWaiting()    { a.waiting++ }
func (a *Account) RemoveWaiting() { a.waiting-- }

// ReportDue reports whether a report to the owner is due.
func (a *Account) ReportDue(now time.Time) bool {
	sinceReport := now.Sub(a.lastReportAt)
	switch {
	case !a.unansweredSince.IsZero() && sinceReport < a.retryInterval():
		return false // the reply may still arrive
	case a.waiting > 0 && a.credits < 1:
		return !now.Before(a.blockedUntil)
	case a.unconfirmed && a.unreported > 0:
		return true
	case a.unconfirmed, a.hasIdleCredits(now):
		return sinceReport >= ReportInterval
	}
	return false
}

// hasIdleCredits reports whether the account holds credits that were not used for
// creditIdleTimeout.
func (a *Account) hasIdleCredits(now time.Time) bool {
	return a.credits > 0 && now.Sub(a.lastUsedAt) > creditIdleTimeout && now.Sub(a.lentAt) > creditIdleTimeout
}

// Report returns the next report to the owner; the caller sets its Workspace. It gives idle
// credits back to the owner.
func (a *Account) Report(now time.Time) Report {
	a.decayDemand(now)
	if a.unansweredSince.IsZero() {
		a.unansweredSince = now
	}
	if a.hasIdleCredits(now) {
		a.credits = 0
	}
	a.reportNumber++
	a.unanswered++
	a.lastReportAt, a.unconfirmed = now, true
	return Report{Number: a.reportNumber, Used: a.used, Known: a.confirmed, Held: float32(a.credits), Waiting: a.waiting, Demand: float32(a.demand)}
}

// ApplyReply applies the owner's reply to the last report. It ignores replies to earlier reports:
// the owner took their credits back when it received a later one.
func (a *Account) ApplyReply(now time.Time, r Reply) {
	if r.Number != a.reportNumber || a.unansweredSince.IsZero() {
		return
	}
	a.unansweredSince = time.Time{}
	a.roundTrip, a.unanswered = now.Sub(a.lastReportAt), 0
	a.confirmed = r.Used
	if r.Credits > 0 {
		a.lentAt = now
	}
	a.credits += float64(r.Credits)
	a.unconfirmed = a.used != r.Used
	a.unreported = 0
	a.demandShare = float64(r.Share)
	if r.Tight {
		a.lowUntil = now.Add(LowBucketTTL)
	} else {
		a.lowUntil = time.Time{}
	}
	if r.WaitMs > 0 {
		a.blockedUntil = now.Add(milliseconds(r.WaitMs))
	}
}

// MarkLow records that the bucket is low until the given time, as another VM than the owner
// reported.
func (a *Account) MarkLow(until time.Time) {
	if until.After(a.lowUntil) {
		a.lowUntil = until
	}
}

// UntilNextAsk returns how long no request needs to ask the owner, because it has no credit.
func (a *Account) UntilNextAsk(now time.Time) time.Duration {
	return max(a.blockedUntil.Sub(now), minRetryAfter)
}

// Idle reports whether the account has nothing to report or to wait for and has had no request
// for idleRetention.
func (a *Account) Idle(now time.Time) bool {
	return a.waiting == 0 && !a.unconfirmed && a.credits == 0 && now.Sub(a.demandUpdatedAt) > idleRetention
}

// RetryAfter returns the delay after which a refused request should be retried: the time until a
// credit accrues for it, counted after those for the requests that were refused before it, so
// that callers do not retry all at once. spread is a number from 0 to 1 that the caller derives
// from the request; it sets the jitter.
func (a *Account) RetryAfter(now time.Time, spread float64) time.Duration {
	rate := a.limit.Rate * math.Max(a.demandShare, 1/float64(a.members))
	next := now.Add(minRetryAfter)
	if a.blockedUntil.After(next) {
		next = a.blockedUntil
	}
	if a.nextRetryAt.After(next) {
		next = a.nextRetryAt
	}
	latest := now.Add(maxRetryAfter)
	if next.After(latest) {
		next = latest
	}
	a.nextRetryAt = next.Add(time.Duration(math.Min(1/rate, maxRetryAfter.Seconds()) * float64(time.Second)))
	return time.Duration(float64(next.Sub(now)) * (0.75 + 0.5*spread))
}
