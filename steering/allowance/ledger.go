package allowance

import (
	"math"
	"time"

	"heatherlock/steering"
)

const (
	// creditIdleTimeout is how long a VM keeps credits that it does not use.
	creditIdleTimeout = time.Second
	// demandTTL is how long the demand of a VM's last report counts.
	demandTTL = 2 * time.Second
	// creditHorizon is the time for which a VM receives credits in advance: two report intervals.
	creditHorizon = 2 * ReportInterval
	// ReportInterval is the time between two reports of a VM on a workspace in use.
	ReportInterval = 250 * time.Millisecond
	// lowBucketShare is the fraction of the burst below which a bucket is low.
	lowBucketShare = 0.25
	// maxGrantShare is the largest fraction of the tokens in a well filled bucket that one VM
	// receives in advance.
	maxGrantShare = 0.25
	// maxWait bounds how long a VM without credits has to wait before it asks again.
	maxWait = time.Second
	// LowBucketTTL is how long a notice of a low bucket stays in effect.
	LowBucketTTL = 1500 * time.Millisecond
	// idleRetention is how long the state of a workspace, or of a VM's loan, is kept without a
	// report.
	idleRetention = 30 * time.Second
)

// Ledger holds the buckets of the workspaces that an entry VM owns. It is not safe for concurrent
// use.
type Ledger struct {
	slack      Slack
	fleetShare float64
	buckets    map[ID]*ownedBucket
}

// ownedBucket is a bucket and the credits that were lent from it.
type ownedBucket struct {
	bucket
	configured   Limit
	loans        map[steering.VM]*loan
	overloaded   bool
	lastReportAt time.Time
}

// loan is what one VM holds and has used.
type loan struct {
	incarnation uint32
	lastNumber  uint32 // number of its last report
	credits     float64
	used        int64 // as last reported
	demand      float64
	reportedAt  time.Time
	grantedAt   time.Time // when it last received credits
	awaitedAt   time.Time // when it was told to ask again; zero if it has received credits since
}

// NewLedger returns a ledger without workspaces.
func NewLedger(slack Slack) *Ledger {
	return &Ledger{slack: slack, fleetShare: 1, buckets: make(map[ID]*ownedBucket)}
}

// SetFleetShare sets the fraction of the fleet that this VM can reach, from 0 to 1. The buckets
// enforce that fraction of each limit. When the fraction grows, each bucket of a limit that is not
// strict also gains the added fraction of the tokens that a new bucket starts with.
func (l *Ledger) SetFleetShare(now time.Time, fleetShare float64) {
	if fleetShare == l.fleetShare {
		return
	}
	added := fleetShare - l.fleetShare
	l.fleetShare = fleetShare
	for _, o := range l.buckets {
		o.setLimit(now, l.slack.enforced(o.configured).scaled(fleetShare))
		if added > 0 && !o.configured.Strict {
			o.tokens = math.Min(o.limit.Burst, o.tokens+added*l.slack.initialTokens(o.configured))
		}
	}
}

// Report applies a VM's report on a workspace with the given limit and returns the reply. ok is
// false for an out-of-date report, which is not applied. becameLow is true if the bucket has just
// become low while the demand exceeds the rate: all VMs have to be notified then, not only those
// that report.
//
// The tokens in the bucket, the held credits and the requests that ran always add up to what has
// accrued, whichever reports and replies are lost: what the VM still holds shows whether the last
// reply arrived.
func (l *Ledger) Report(now time.Time, vm steering.VM, incarnation uint32, limit Limit, r Report) (reply Reply, becameLow, ok bool) {
	o := l.bucketFor(now, r.Workspace, limit)
	o.refill(now)
	o.lastReportAt = now
	b := o.loanFor(vm, incarnation, r)
	if r.Number <= b.lastNumber {
		return Reply{}, false, false
	}
	held := math.Max(0, float64(r.Held))
	o.tokens = math.Min(o.limit.Burst, o.tokens+b.credits-held-float64(r.Used-b.used))
	b.lastNumber, b.used, b.demand, b.reportedAt = r.Number, r.Used, float64(r.Demand), now
	demand := o.demand(now)
	share := b.demand / math.Max(demand, math.SmallestNonzeroFloat64)
	reply = Reply{Workspace: r.Workspace, Number: r.Number, Used: r.Used, Share: float32(share)}
	reply.Credits = float32(o.grant(b, held, r.Waiting, share))
	o.tokens -= float64(reply.Credits)
	b.credits = held + float64(reply.Credits)
	if reply.Credits > 0 {
		b.grantedAt, b.awaitedAt = now, time.Time{}
	}
	if r.Waiting > 0 && b.credits < 1 {
		reply.WaitMs = uint32(o.waitForCredit(now, b, demand, share).Milliseconds()) + 1
	}
	reply.Tight = o.low()
	wasOverloaded := o.overloaded
	o.overloaded = reply.Tight && demand > o.limit.Rate
	return reply, o.overloaded && !wasOverloaded, true
}

// low reports whether VMs have to ask the owner before they admit a request.
func (o *ownedBucket) low() bool { return o.tokens < lowBucketShare*o.limit.Burst }

func (l *Ledger) bucketFor(now time.Time, id ID, limit Limit) *ownedBucket {
	o := l.buckets[id]
	if o == nil {
		scaled := l.slack.enforced(limit).scaled(l.fleetShare)
		o = &ownedBucket{bucket: bucket{limit: scaled, tokens: l.slack.initialTokens(scaled), updatedAt: now}, configured: limit, loans: make(map[steering.VM]*loan)}
		l.buckets[id] = o
	}
	if o.configured != limit {
		o.cancelLoans()
		o.configured = limit
		o.setLimit(now, l.slack.enforced(limit).scaled(l.fleetShare))
	}
	return o
}

// cancelLoans drops the credits that were lent under a replaced limit. The VMs discard them as
// well; what they use of them before that is charged to the bucket.
func (o *ownedBucket) cancelLoans() {
	for _, b := range o.loans {
		b.credits = 0
	}
}

// loanFor returns the loan of a VM. For a VM that is new here or has restarted, the report
// charges the bucket with the credits that the VM holds and with its usage that no owner has
// confirmed. The credits that the previous process of a restarted VM held count as used, because
// it may have used them shortly before it ended.
func (o *ownedBucket) loanFor(vm steering.VM, incarnation uint32, r Report) *loan {
	b := o.loans[vm]
	if b == nil || b.incarnation != incarnation {
		b = &loan{incarnation: incarnation, used: r.Known}
		o.loans[vm] = b
	}
	return b
}

// dropStaleLoans drops the loans of VMs that have not reported for idleRetention. The credits
// that they hold count as used.
func (o *ownedBucket) dropStaleLoans(now time.Time) {
	for vm, b := range o.loans {
		if now.Sub(b.reportedAt) > idleRetention {
			delete(o.loans, vm)
		}
	}
}

// demand returns the demand over all VMs in requests per second.
func (o *ownedBucket) demand(now time.Time) float64 {
	sum := 0.0
	for _, b := range o.loans {
		if now.Sub(b.reportedAt) <= demandTTL {
			sum += b.demand
		}
	}
	return sum
}

// grant returns the credits that a VM receives in addition to those it holds: enough for its
// waiting requests and for the expected demand until it has reported twice. Unless the bucket is
// well filled, a VM receives no more in advance than its share of what accrues.
func (o *ownedBucket) grant(b *loan, held float64, waiting int, share float64) float64 {
	if o.tokens < 1 {
		return 0
	}
	maxGrant := share * o.limit.Rate * creditHorizon.Seconds()
	if o.tokens >= o.limit.Burst/2 {
		maxGrant = math.Max(maxGrant, maxGrantShare*o.tokens)
	}
	wanted := math.Min(b.demand*creditHorizon.Seconds()+float64(waiting), maxGrant)
	if waiting > 0 {
		wanted = math.Max(wanted, 1)
	}
	if wanted < 1 {
		return 0 // a fraction of a credit admits no request
	}
	return math.Max(0, math.Min(wanted-held, o.tokens))
}

// waitForCredit returns the approximate time until a credit accrues for a VM with the given share of the
// demand that got none now: that for the next credit which no other waiting VM was told to come for. While
// the demand exceeds the rate, it is at least the time in which the VM's share accrues.
//
// VMs that are refused together are so told different times. If they all came back together, the bucket
// would have lost most of what accrues for them meanwhile.
func (o *ownedBucket) waitForCredit(now time.Time, b *loan, demand, share float64) time.Duration {
	interval := time.Duration(math.Min(1/o.limit.Rate, maxWait.Seconds()) * float64(time.Second))
	wait := time.Duration((1 - o.tokens) * float64(interval))
	if demand > o.limit.Rate {
		accrual := time.Duration(math.Min(float64(interval)/share, float64(maxWait)))
		wait = max(wait, b.grantedAt.Add(accrual).Sub(now))
	}
	taken := make(map[int64]bool)
	for _, other := range o.loans {
		if other != b && now.Before(other.awaitedAt) {
			taken[int64(other.awaitedAt.Sub(now)/interval)] = true
		}
	}
	for wait < maxWait && taken[int64(wait/interval)] {
		wait += interval
	}
	wait = min(wait, maxWait)
	b.awaitedAt = now.Add(wait)
	return wait
}

// DropStale drops the state of workspaces, targets and VMs without recent reports.
func (l *Ledger) DropStale(now time.Time) {
	for id, o := range l.buckets {
		o.dropStaleLoans(now)
		if now.Sub(o.lastReportAt) > idleRetention {
			delete(l.buckets, id)
		}
	}
}

// Overloaded returns the workspaces whose buckets are low while their demand exceeds the rate. It
// also drops the state of workspaces and VMs without recent reports.
func (l *Ledger) Overloaded(now time.Time) []ID {
	l.DropStale(now)
	var all []ID
	for id, o := range l.buckets {
		o.refill(now)
		if o.low() && o.demand(now) > o.limit.Rate {
			all = append(all, id)
		}
	}
	return all
}

// Usage is the owner's view of a workspace.
type Usage struct {
	Workspace ID
	// Limit is the part of the limit that this owner enforces. Left is the number of tokens in
	// the bucket, negative if more requests ran than it held. Lent is the number of credits that
	// VMs hold.
	Limit Limit
	Left  float64
	Lent  float64
	// Demand is the demand over all VMs in requests per second. VMs is the number of VMs that
	// reported recently.
	Demand float64
	VMs    int
	Tight  bool
}

// Usage returns the owner's view of each workspace in the ledger.
func (l *Ledger) Usage(now time.Time) []Usage {
	var all []Usage
	for id, o := range l.buckets {
		o.refill(now)
		u := Usage{Workspace: id, Limit: o.limit, Left: o.tokens, Demand: o.demand(now), Tight: o.low()}
		for _, b := range o.loans {
			u.Lent += b.credits
			if now.Sub(b.reportedAt) <= demandTTL {
				u.VMs++
			}
		}
		all = append(all, u)
	}
	return all
}
