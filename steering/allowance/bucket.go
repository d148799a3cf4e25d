package allowance

import (
	"math"
	"time"
)

// Limit is what a workspace may have run.
type Limit struct {
	// Rate is in requests per second.
	Rate float64
	// Burst is how many more may run at once.
	Burst float64
}

// scaled returns a part of a limit, with room for one request.
func (l Limit) scaled(part float64) Limit {
	return Limit{Rate: l.Rate * part, Burst: math.Max(l.Burst*part, 1)}
}

// Slack is what may run beyond a limit, as agreed with the operators, in any Window.
type Slack struct {
	Window time.Duration
	// Share is a part of what the limit allows in a window, Requests a number beside it.
	Share    float64
	Requests float64
}

const (
	// usedSlack is the part of the slack that callers get, and freshSlack that with which a
	// new bucket begins. The rest covers what VMs let run before they hear that a bucket
	// is low.
	usedSlack  = 0.5
	freshSlack = 0.25
	// burstPart is the part of the burst that may run at once, and leastBurst how many
	// requests may in any case, if the burst has as many.
	burstPart  = 1.0 / 3
	leastBurst = 10
)

// enforced returns the bucket that holds a limit: in any window as much as the limit allows,
// and a part of the slack. A bucket of the plain rate would refuse a workspace that asks
// evenly for all that the burst allows it in each window.
func (s Slack) enforced(l Limit) Limit {
	if s.Window <= 0 {
		return l
	}
	allowed := (l.Rate*s.Window.Seconds()+l.Burst)*(1+usedSlack*s.Share) + usedSlack*s.Requests
	burst := math.Min(l.Burst, math.Max(burstPart*l.Burst, leastBurst))
	return Limit{Rate: (allowed - burst) / s.Window.Seconds(), Burst: burst}
}

// fresh returns the credits of a new bucket, whose predecessor may just have been emptied.
func (s Slack) fresh(l Limit) float64 {
	allowed := l.Rate*s.Window.Seconds() + l.Burst
	return math.Min(l.Burst, math.Max(1, freshSlack*(s.Share*allowed+s.Requests)))
}

// bucket is a token bucket that can be in debt.
type bucket struct {
	limit  Limit
	tokens float64
	at     time.Time
}

// settle adds what has accrued.
func (b *bucket) settle(now time.Time) {
	if passed := now.Sub(b.at); passed > 0 {
		b.tokens = math.Min(b.limit.Burst, b.tokens+passed.Seconds()*b.limit.Rate)
		b.at = now
	}
}

// set puts a limit in force. What was saved beyond a lower burst is lost.
func (b *bucket) set(now time.Time, l Limit) {
	b.settle(now)
	b.limit = l
	b.tokens = math.Min(b.tokens, l.Burst)
}
