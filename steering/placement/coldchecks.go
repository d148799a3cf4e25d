package placement

import (
	"math"
	"time"
)

const (
	// ColdKnownFor is how old what is known of the store may be before a VM asks targets themselves whether they have
	// become cold. It is nearly twice the interval between reads.
	ColdKnownFor = 2 * time.Second
	// The rate of requests to a target is averaged over coldRateWindow, as in a large fleet each VM sends a target a
	// request every few seconds, or over burstWindow if that is more and at least minBurst requests.
	coldRateWindow = 4 * time.Second
	burstWindow    = time.Second
	minBurst       = 3
	// coldLeakShare is the share of a cold target's rate that all VMs together may send it between two checks.
	coldLeakShare = 0.25
	// A check holds at least for minColdCheck, which is about a round trip within a region, and at most for
	// maxColdCheck.
	minColdCheck = 30 * time.Millisecond
	maxColdCheck = 250 * time.Millisecond
)

// coldChecks is what a VM learns from a target itself of whether it is cold.
type coldChecks struct {
	// sent and burst are how many requests were placed on the target, decayed over coldRateWindow and burstWindow up
	// to countedAt.
	sent, burst float64
	countedAt   time.Time
	checkedAt   time.Time
	// until is when the target will be warm, as it said.
	until time.Time
}

// decay brings the counts up to a time.
func (c *coldChecks) decay(now time.Time) {
	passed := now.Sub(c.countedAt).Seconds()
	c.sent *= math.Exp(-passed / coldRateWindow.Seconds())
	c.burst *= math.Exp(-passed / burstWindow.Seconds())
	c.countedAt = now
}

func (c *coldChecks) countPlaced(now time.Time) {
	c.decay(now)
	c.sent++
	c.burst++
}

// rate returns how many requests per second this VM sends the target.
func (c *coldChecks) rate(now time.Time) float64 {
	c.decay(now)
	rate := c.sent / coldRateWindow.Seconds()
	if c.burst >= minBurst {
		rate = math.Max(rate, c.burst/burstWindow.Seconds())
	}
	return rate
}

// StoreAway reports whether what is known of the store, as it was at readAt, is older than ColdKnownFor, so that a target
// may have become cold without its entry saying so here. Nothing is known with a zero readAt.
func StoreAway(now, readAt time.Time) bool {
	return readAt.IsZero() || now.Sub(readAt) > ColdKnownFor
}

// SetStoreRead sets as of when the store is known.
func (b *Balancer) SetStoreRead(at time.Time) { b.storeReadAt = at }

// ColdCheckDue reports whether a target is to be asked whether it is cold before a request is sent to it: the store
// does not tell, and all VMs together send so much that a cold target would get too much, or may do so.
func (b *Balancer) ColdCheckDue(now time.Time, t Target) bool {
	s := b.stateOf(t)
	if !StoreAway(now, b.storeReadAt) || s == nil || s.ColdRate <= 0 || s.cold(now) {
		return false
	}
	rate := s.coldChecks.rate(now) * b.sendersTo(now, s)
	if rate <= s.ColdRate && s.Region == b.region {
		return false // what the VMs of another region send to their targets is not known here
	}
	holds := time.Duration(coldLeakShare * s.ColdRate / math.Max(rate, s.ColdRate) * float64(time.Second))
	return now.Sub(s.coldChecks.checkedAt) > min(max(holds, minColdCheck), maxColdCheck)
}

// SetLeavingPeers sets how many VMs of this region leave. Their callers keep connections to them for a while, so that they
// send requests although no caller is directed to them any more.
func (b *Balancer) SetLeavingPeers(n int) { b.leavingPeers = n }

// sendersTo returns how many VMs send requests to a target, if all of them get as many from their callers.
func (b *Balancer) sendersTo(now time.Time, s *targetState) float64 {
	if b.owned != nil && s.service.hasOwners(now) {
		return 1
	}
	return 1 + float64(len(b.peers[s.Region])+b.leavingPeers)
}

// ColdChecked records the result of a check: for how much longer the target is cold, 0 if it is not. A target that did
// not say, as its queue is long, may be cold, and counts as cold until the next check. It reports whether the target
// counts as cold now.
func (b *Balancer) ColdChecked(now time.Time, t Target, left time.Duration, said bool) bool {
	s := b.stateOf(t)
	if s == nil {
		return false
	}
	s.coldChecks.checkedAt = now
	if !said {
		left = maxColdCheck
	}
	if left > 0 {
		s.coldChecks.until = now.Add(left)
	}
	return s.cold(now)
}

// TurnedCold reports whether a target has become cold since a request was placed on it as on a warm one.
func (b *Balancer) TurnedCold(now time.Time, p Pick) bool {
	s := b.stateOf(p.Target)
	return s != nil && !p.Cold && now.Before(s.coldChecks.until)
}
