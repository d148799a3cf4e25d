package pool

import (
	"time"

	"heatherlock/steering"
	"heatherlock/steering/routing"
)

// Request asks for one slot.
type Request struct {
	Class routing.Criticality
	// Foreign marks work that came from another zone. It waits behind the
	// zone's own work of the same class.
	Foreign bool
	// Patient marks a request that no other place takes. Its wait is bounded
	// by MaxWait alone, unless the queue has been standing.
	Patient  bool
	Deadline time.Time
	// Avoid lists targets that must not be chosen. The pool keeps the slice
	// while the request waits; it must not change.
	Avoid []steering.Target
}

// GrantID names one granted slot. It is never zero and never used twice.
type GrantID uint64

// Ticket names one waiting request. It is never zero and never used twice.
type Ticket uint64

// Verdict is the kind of a Decision.
type Verdict uint8

// Verdicts.
const (
	Refused Verdict = iota
	Granted
	Queued
)

// Decision answers Acquire.
type Decision struct {
	Verdict Verdict
	// Grant and Target are set when granted.
	Grant  GrantID
	Target routing.Target
	// Ticket is set when queued. The request is answered by a Grant or an
	// Expired entry of a later call, unless it is cancelled first.
	Ticket Ticket
	// Reason and RetryAfter are set when refused.
	Reason     steering.Reason
	RetryAfter time.Duration
}

// Served is a waiting request that now has a slot.
type Served struct {
	Ticket Ticket
	Grant  GrantID
	Target routing.Target
}

// Dropped is a waiting request that is refused.
type Dropped struct {
	Ticket     Ticket
	Reason     steering.Reason
	RetryAfter time.Duration
}

// Effects lists what a call changed for waiting requests. The slices are
// valid until the next call on the same pool.
type Effects struct {
	Served  []Served
	Dropped []Dropped
	// pending holds drops decided by a call that returns no effects.
	pending []Dropped
}

// End says how a granted request ended.
type End uint8

// Ways a granted request ends.
const (
	// EndDone is a whole answer.
	EndDone End = iota
	// EndFailed is an answer that says that the request failed.
	EndFailed
	// EndShed is the target's typed refusal.
	EndShed
	// EndUnreachable means that no byte was sent.
	EndUnreachable
	// EndUncertain means that the target may still run the request: the
	// connection broke, the deadline passed or the caller went away.
	EndUncertain
	// EndOrphaned means that the holder died with the request in its hands.
	EndOrphaned
)

// NoReport stands for a figure that the target did not give.
const NoReport = -1

// Outcome tells the pool how a granted request ended.
type Outcome struct {
	End End
	// ReportedInFlight and ReportedSlots are the target's own figures, taken
	// when the request had left it; NoReport when it gave none.
	ReportedInFlight int
	ReportedSlots    int
}

// Stats is a pool's state at a glance.
type Stats struct {
	Slots    int // working slots of open targets, after learned limits
	Declared int // declared slots of targets that are not stopped
	Free     int // slots that a request could get now
	InFlight int // granted and not released
	Queued   int
	Lowered  int // targets whose learned limit is below the declared slots
}

// Draining is a target that gets nothing new and still runs something.
type Draining struct {
	Target   steering.Target
	InFlight int
}
