package allowance

import (
	"math"
	"time"

	"heatherlock/steering"
)

const (
	// idleAfter is how long a VM keeps credits that nobody uses.
	idleAfter = time.Second
	// activeFor is how long a VM's last report tells its demand.
	activeFor = 2 * time.Second
	// horizon is for how long a VM gets credits in advance: two reports.
	horizon = 2 * ReportEvery
	// ReportEvery is the pause between two reports of a VM on a workspace in use.
	ReportEvery = 250 * time.Millisecond
	// lowTokens is the part of the burst below which a bucket is low.
	lowTokens = 0.25
	// readyPart is the part of what is in the bucket that one VM gets in advance at most.
	readyPart = 0.25
	// longestBlock bounds how long a VM without credits is told to wait before it asks
	// again.
	longestBlock = time.Second
	// TightFor is how long the news of a low bucket holds.
	TightFor = 1500 * time.Millisecond
	// forgetAfter is how long a workspace that nobody reports is kept.
	forgetAfter = 30 * time.Second
)

// Ledger holds the buckets of the workspaces that an entry VM owns. It is not safe for
// concurrent use.
type Ledger struct {
	slack    Slack
	part     float64
	accounts map[ID]*owned
}

// owned is a bucket and the credits lent from it.
type owned struct {
	bucket
	declared Limit
	loans    map[steering.VM]*loan
	flooded  bool
	usedAt   time.Time
}

// loan is what one VM has.
type loan struct {
	incarnation uint32
	number      uint32 // of its last report
	credits     float64
	used        int64 // as last reported
	demand      float64
	heard       time.Time
}

// NewLedger returns a ledger without workspaces.
func NewLedger(slack Slack) *Ledger {
	return &Ledger{slack: slack, part: 1, accounts: make(map[ID]*owned)}
}

// SetPart tells which part of the fleet this VM hears, from 0 to 1. Its buckets hold that
// part of each limit. A part that comes in addition brings what a new bucket holds.
func (l *Ledger) SetPart(now time.Time, part float64) {
	if part == l.part {
		return
	}
	more := part - l.part
	l.part = part
	for _, o := range l.accounts {
		o.set(now, l.slack.enforced(o.declared).scaled(part))
		if more > 0 {
			o.tokens = math.Min(o.limit.Burst, o.tokens+more*l.slack.fresh(o.declared))
		}
	}
}

// Report takes in a VM's report on a workspace with a limit, and returns the answer; ok is
// false for one that came late and counts for nothing. News tells that the bucket has just
// become low while callers ask more than the rate: all VMs are to hear of that, not only
// those that report.
//
// Credits in the bucket, credits held and requests that ran add up to what has accrued,
// whatever reports and answers are lost: an answer that did not arrive shows by what the
// VM still holds.
func (l *Ledger) Report(now time.Time, vm steering.VM, incarnation uint32, limit Limit, r Report) (reply Reply, news, ok bool) {
	o := l.account(now, r.Workspace, limit)
	o.settle(now)
	o.usedAt = now
	b := o.loanOf(vm, incarnation, r)
	if r.Number <= b.number {
		return Reply{}, false, false
	}
	held := math.Max(0, float64(r.Held))
	o.tokens = math.Min(o.limit.Burst, o.tokens+b.credits-held-float64(r.Used-b.used))
	b.number, b.used, b.demand, b.heard = r.Number, r.Used, float64(r.Demand), now
	demand := o.demand(now)
	share := b.demand / math.Max(demand, math.SmallestNonzeroFloat64)
	reply = Reply{Workspace: r.Workspace, Number: r.Number, Used: r.Used, Share: float32(share)}
	reply.Credits = float32(o.grant(b, held, r.Waiting, share))
	o.tokens -= float64(reply.Credits)
	b.credits = held + float64(reply.Credits)
	if r.Waiting > 0 && b.credits < 1 {
		reply.WaitMs = uint32(o.wait(demand, share).Milliseconds()) + 1
	}
	reply.Tight = o.low()
	before := o.flooded
	o.flooded = reply.Tight && demand > o.limit.Rate
	return reply, o.flooded && !before, true
}

// low reports whether VMs have to ask before a request runs.
func (o *owned) low() bool { return o.tokens < lowTokens*o.limit.Burst }

func (l *Ledger) account(now time.Time, id ID, limit Limit) *owned {
	o := l.accounts[id]
	if o == nil {
		scaled := l.slack.enforced(limit).scaled(l.part)
		o = &owned{bucket: bucket{limit: scaled, tokens: l.slack.fresh(scaled), at: now}, declared: limit, loans: make(map[steering.VM]*loan)}
		l.accounts[id] = o
	}
	if o.declared != limit {
		o.giveUpLoans()
		o.declared = limit
		o.set(now, l.slack.enforced(limit).scaled(l.part))
	}
	return o
}

// giveUpLoans drops the credits lent under a limit that is replaced: VMs give them up as
// well, and what they use of them until then counts as debt.
func (o *owned) giveUpLoans() {
	for _, b := range o.loans {
		b.credits = 0
	}
}

// loanOf returns what a VM has. Of a VM that is new here, or has started again, what it
// holds and what no owner has confirmed comes off the bucket. What its former process held
// counts as used: it may have been, shortly before the end.
func (o *owned) loanOf(vm steering.VM, incarnation uint32, r Report) *loan {
	b := o.loans[vm]
	if b == nil || b.incarnation != incarnation {
		b = &loan{incarnation: incarnation, used: r.Known}
		o.loans[vm] = b
	}
	return b
}

// forget drops the VMs that have not reported for long. What they hold counts as used.
func (o *owned) forget(now time.Time) {
	for vm, b := range o.loans {
		if now.Sub(b.heard) > forgetAfter {
			delete(o.loans, vm)
		}
	}
}

// demand returns what callers ask over all VMs, in requests per second.
func (o *owned) demand(now time.Time) float64 {
	sum := 0.0
	for _, b := range o.loans {
		if now.Sub(b.heard) <= activeFor {
			sum += b.demand
		}
	}
	return sum
}

// grant returns the credits that a VM gets beside those it holds: those that its waiting
// requests need, and what its callers are likely to ask until it has reported twice. A VM
// has no more in advance than its part of what accrues, unless the bucket is well filled.
func (o *owned) grant(b *loan, held float64, waiting int, share float64) float64 {
	if o.tokens < 1 {
		return 0
	}
	fair := share * o.limit.Rate * horizon.Seconds()
	if o.tokens >= o.limit.Burst/2 {
		fair = math.Max(fair, readyPart*o.tokens)
	}
	wanted := math.Min(b.demand*horizon.Seconds()+float64(waiting), fair)
	if waiting > 0 {
		wanted = math.Max(wanted, 1)
	}
	if wanted < 1 {
		return 0 // a part of a credit lets nothing run
	}
	return math.Max(0, math.Min(wanted-held, o.tokens))
}

// wait is until about when a credit accrues for a VM with a share of the demand: the next
// one, unless callers ask more than the rate.
func (o *owned) wait(demand, share float64) time.Duration {
	seconds := (1 - o.tokens) / o.limit.Rate
	if demand > o.limit.Rate {
		seconds = math.Max(seconds, 1/(o.limit.Rate*share))
	}
	return min(time.Duration(math.Min(seconds, longestBlock.Seconds())*float64(time.Second)), longestBlock)
}

// Flooded returns the workspaces whose buckets are low while their callers ask more than
// the rate.
func (l *Ledger) Flooded(now time.Time) []ID {
	var all []ID
	for name, o := range l.accounts {
		o.settle(now)
		o.forget(now)
		switch {
		case now.Sub(o.usedAt) > forgetAfter:
			delete(l.accounts, name)
		case o.low() && o.demand(now) > o.limit.Rate:
			all = append(all, name)
		}
	}
	return all
}

// Usage is what the owner knows of a workspace.
type Usage struct {
	Workspace ID
	// Limit is the part of the limit that the owner lends, Left what is in the bucket,
	// below 0 if more ran than it held, and Lent what VMs have of it.
	Limit Limit
	Left  float64
	Lent  float64
	// Demand is what callers ask over all VMs, in requests per second, and VMs how many
	// VMs they ask.
	Demand float64
	VMs    int
	Tight  bool
}

// Usage returns what the owner knows of its workspaces.
func (l *Ledger) Usage(now time.Time) []Usage {
	var all []Usage
	for name, o := range l.accounts {
		o.settle(now)
		u := Usage{Workspace: name, Limit: o.limit, Left: o.tokens, Demand: o.demand(now), Tight: o.low()}
		for _, b := range o.loans {
			u.Lent += b.credits
			if now.Sub(b.heard) <= activeFor {
				u.VMs++
			}
		}
		all = append(all, u)
	}
	return all
}
