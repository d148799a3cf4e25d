package fleet

import "time"

const (
	// askAfter is how long nobody may hear the same VMs as this one until it asks
	// whom the others hear. When a VM comes or goes, those that noticed agree with
	// each other, and so do those that did not, so nobody asks.
	askAfter = 1500 * time.Millisecond
	// firstAskPause and lastAskPause bound the time between two questions. It
	// doubles while the answers tell of nobody new: during a cut that only some
	// feel, asking cannot help, and an answer introduces the whole fleet.
	firstAskPause = time.Second
	lastAskPause  = time.Minute
)

// inquiry decides when to ask a peer whom it hears. The zero value is ready.
type inquiry struct {
	agreed, asked time.Time
	pause         time.Duration
}

// heard notes whether a peer hears the same VMs as this one, and reports whether
// to ask it.
func (q *inquiry) heard(now time.Time, same bool) (ask bool) {
	if same || q.agreed.IsZero() {
		q.agreed = now
	}
	if same || now.Sub(q.agreed) < askAfter || now.Sub(q.asked) < q.pause {
		return false
	}
	q.asked = now
	q.pause = min(max(2*q.pause, firstAskPause), lastAskPause)
	return true
}

// learned notes that somebody new was heard of.
func (q *inquiry) learned() { q.pause = 0 }
