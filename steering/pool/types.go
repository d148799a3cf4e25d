package pool

import (
	"time"

	"heatherlock/steering"
	"heatherlock/steering/routing"
)

// Request asks for one slot.
type Request struct {
	Class routing.Criticality
	// CrossZone marks a request that came from another zone. It waits behind the zone's own
	// requests of the same class.
	CrossZone bool
	// NoAlternative marks a request that no other place accepts. Only MaxWait bounds its wait,
	// unless the queue is a standing queue; see Config.StandingAfter.
	NoAlternative bool
	Deadline      time.Time
	// Avoid lists targets that must not be chosen. The pool keeps the slice while the request
	// waits, so the caller must not modify it.
	Avoid []steering.Target
}

// GrantID identifies one granted slot. It is never zero and never reused.
type GrantID uint64

// Ticket identifies one waiting request. It is never zero and never reused.
type Ticket uint64

// Verdict is the kind of a Decision.
type Verdict uint8

// Kinds of a Decision.
const (
	Refused Verdict = iota
	Granted
	Queued
)

// Decision is the result of Acquire.
type Decision struct {
	Verdict Verdict
	// Grant and Target are set if the request was granted a slot.
	Grant  GrantID
	Target routing.Target
	// Ticket is set if the request was queued. Its result is an entry in Effects.Served or
	// Effects.Dropped of a later call, unless it is canceled first.
	Ticket Ticket
	// Reason and RetryAfter are set if the request was refused.
	Reason     steering.Reason
	RetryAfter time.Duration
}

// Served is a waiting request that was granted a slot.
type Served struct {
	Ticket Ticket
	Grant  GrantID
	Target routing.Target
}

// Dropped is a waiting request that was refused.
type Dropped struct {
	Ticket     Ticket
	Reason     steering.Reason
	RetryAfter time.Duration
}

// Effects lists the waiting requests that a call served or dropped. The slices are valid until the
// next call on the same pool.
type Effects struct {
	Served  []Served
	Dropped []Dropped
	// pending holds the drops of calls that return no Effects, until the next call that does.
	pending []Dropped
}

// End is the way in which a granted request ended.
type End uint8

// Ways a granted request ends.
const (
	// EndSucceeded means that the target sent a complete answer.
	EndSucceeded End = iota
	// EndFailed means that the target answered that the request failed.
	EndFailed
	// EndShed means that the target refused the request without running it.
	EndShed
	// EndUnreachable means that no byte was sent to the target.
	EndUnreachable
	// EndUncertain means that the target may still run the request: the connection broke, the
	// deadline passed or the caller disconnected.
	EndUncertain
	// EndOrphaned means that the entry VM that held the grant is gone.
	EndOrphaned
)

// NoReport stands for a figure that the target did not report.
const NoReport = -1

// Outcome describes how a granted request ended.
type Outcome struct {
	End End
	// ReportedInFlight and ReportedSlots are the target's own figures, taken after the request
	// ended there; NoReport if it gave none.
	ReportedInFlight int
	ReportedSlots    int
	// Rest is how long the target that shed the request wants no further one; 0 if it did not say.
	Rest time.Duration
}

// Stats describes the current state of a pool.
type Stats struct {
	Slots    int // slots of the targets that accept requests, after learned limits and external load
	Declared int // declared slots of the targets that are not stopped
	Free     int // slots that a request could get now
	InFlight int // granted and not released
	Queued   int
	Lowered  int // targets whose learned limit is below their declared slots
}

// Draining is a target that gets no new requests and still runs some.
type Draining struct {
	Target   steering.Target
	InFlight int
}
