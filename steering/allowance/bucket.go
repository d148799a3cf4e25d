package allowance

import (
	"math"
	"time"
)

// Limit is a rate limit.
type Limit struct {
	// Rate is in requests per second.
	Rate float64
	// Burst is the number of requests that may run at once beyond the rate.
	Burst float64
	// Strict means that a VM admits no request without a credit, neither before it has reported the
	// request nor while the owner does not reply. The limit of a target is strict: one uncredited
	// request on each VM may be more than the target takes in a minute.
	Strict bool
}

// scaled returns the given fraction of a limit, with a burst of at least one request.
func (l Limit) scaled(fraction float64) Limit {
	return Limit{Rate: l.Rate * fraction, Burst: math.Max(l.Burst*fraction, 1), Strict: l.Strict}
}

const (
	// targetBurst is the time of which a target that names a limit may get the requests at once, and
	// minTargetBurst the smallest number. A bucket of one token loses what accrues until the next VM
	// asks.
	targetBurst    = 250 * time.Millisecond
	minTargetBurst = 2
)

// TargetLimit returns the limit for a target that takes rate requests per second from all VMs
// together.
func TargetLimit(rate float64) Limit {
	return Limit{Rate: rate, Burst: math.Max(minTargetBurst, rate*targetBurst.Seconds()), Strict: true}
}

// Slack is how far the requests of a workspace may exceed its limit in any Window, as agreed with
// the operators.
type Slack struct {
	Window time.Duration
	// Share is a fraction of what the limit allows in a window. Requests is an absolute number
	// that is added to it.
	Share    float64
	Requests float64
}

const (
	// enforcedSlackShare is the fraction of the slack that the bucket grants to callers, and
	// newBucketSlackShare the fraction with which a new bucket starts. The rest covers the
	// requests that VMs admit before they know that a bucket is low.
	enforcedSlackShare  = 0.5
	newBucketSlackShare = 0.25
	// enforcedBurstShare is the fraction of the burst that may run at once. At least
	// minEnforcedBurst requests may, if the burst is that large.
	enforcedBurstShare = 1.0 / 3
	minEnforcedBurst   = 10
)

// enforced returns the limit of the bucket that enforces l: it allows as many requests in any
// window as l does, plus a part of the slack. A bucket with just the rate of l would refuse a
// workspace that spreads the requests of its burst evenly over each window.
func (s Slack) enforced(l Limit) Limit {
	if s.Window <= 0 {
		return l
	}
	allowed := (l.Rate*s.Window.Seconds()+l.Burst)*(1+enforcedSlackShare*s.Share) + enforcedSlackShare*s.Requests
	burst := math.Min(l.Burst, math.Max(enforcedBurstShare*l.Burst, minEnforcedBurst))
	return Limit{Rate: (allowed - burst) / s.Window.Seconds(), Burst: burst}
}

// initialTokens returns the tokens of a new bucket. It is small because the bucket of the
// previous owner may just have been emptied.
func (s Slack) initialTokens(l Limit) float64 {
	allowed := l.Rate*s.Window.Seconds() + l.Burst
	return math.Min(l.Burst, math.Max(1, newBucketSlackShare*(s.Share*allowed+s.Requests)))
}

// bucket is a token bucket whose tokens may be negative.
type bucket struct {
	limit     Limit
	tokens    float64
	updatedAt time.Time
}

// refill adds the tokens that have accrued since the last refill.
func (b *bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.updatedAt); elapsed > 0 {
		b.tokens = math.Min(b.limit.Burst, b.tokens+elapsed.Seconds()*b.limit.Rate)
		b.updatedAt = now
	}
}

// setLimit applies a limit. Tokens above a lower burst are lost.
func (b *bucket) setLimit(now time.Time, l Limit) {
	b.refill(now)
	b.limit = l
	b.tokens = math.Min(b.tokens, l.Burst)
}
