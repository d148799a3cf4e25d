package fleet

import "time"

const (
	// disagreementTimeout is the time after which this VM asks others for their members if no other
	// VM has reported the same set of live VMs. When a VM starts or stops, the VMs that have detected
	// it agree with each other, and so do those that have not, so no VM asks.
	disagreementTimeout = 1500 * time.Millisecond
	// minQueryInterval and maxQueryInterval bound the time between two queries. It doubles while
	// the replies introduce no new member: during a network partition that affects only some VMs
	// queries can't help, and each reply introduces the whole fleet.
	minQueryInterval = time.Second
	maxQueryInterval = time.Minute
)

// queryBackoff decides when to ask a peer which VMs it considers live. The zero value is ready to
// use.
type queryBackoff struct {
	lastAgreed, lastQuery time.Time
	interval              time.Duration
}

// noteBeat records whether the sender of a heartbeat considers the same VMs live as this VM, and
// reports whether to query it.
func (q *queryBackoff) noteBeat(now time.Time, same bool) (ask bool) {
	if same || q.lastAgreed.IsZero() {
		q.lastAgreed = now
	}
	if same || now.Sub(q.lastAgreed) < disagreementTimeout || now.Sub(q.lastQuery) < q.interval {
		return false
	}
	q.lastQuery = now
	q.interval = min(max(2*q.interval, minQueryInterval), maxQueryInterval)
	return true
}

// reset resets the interval to allow a query at once. It is called when a new member was
// introduced.
func (q *queryBackoff) reset() { q.interval = 0 }
