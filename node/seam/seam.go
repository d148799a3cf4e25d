// Package seam defines the interfaces between the components of an entry VM. The
// data path in package forward depends only on these interfaces, and each control
// component implements one of them, so that a test can replace any component by a
// small fake.
package seam

import (
	"context"
	"net/netip"
	"time"

	"heatherlock/steering"
	"heatherlock/steering/routing"
)

// Configs publishes complete, immutable configuration snapshots.
type Configs interface {
	// Snapshot returns the newest snapshot, or nil if there is none yet.
	Snapshot() *routing.Snapshot
	// Subscribe registers f to be called with every later snapshot, in order of
	// version.
	Subscribe(f func(*routing.Snapshot))
}

// MemberState is the membership state of an entry VM.
type MemberState uint8

// Membership states of an entry VM, as seen by this entry VM.
const (
	MemberLive MemberState = iota
	MemberSuspect
	MemberLeaving
	MemberGone
)

// Member is an entry VM in the membership view of this one.
type Member struct {
	VM              steering.VM
	Incarnation     steering.Incarnation // empty until the first heartbeat
	Zone            steering.Zone
	Region          steering.Region
	CallerAddress   string // host:port
	PeerAddress     string
	OperatorAddress string
	State           MemberState
	// LastReceived is the time at which the last heartbeat of the member, direct or
	// relayed, or report of its zone arrived.
	LastReceived time.Time
	// ConfigVersion is the highest configuration version known to be in force at
	// the member.
	ConfigVersion int64
	// InFlight is the number of in-flight requests that the member last reported.
	InFlight int
}

// Members is the membership view of this entry VM.
type Members interface {
	// Self returns this entry VM.
	Self() Member
	// All returns the current view; the slice must not be changed.
	All() []Member
	// InZone returns the members of a zone that may receive new requests.
	InZone(zone steering.Zone) []Member
	// ByIncarnation returns the member with an incarnation, as it appears in the
	// keys that the member issued.
	ByIncarnation(steering.Incarnation) (Member, bool)
	// RecordReachability records whether a call from this entry VM to a member
	// showed that the member is reachable.
	RecordReachability(vm steering.VM, reachable bool)
}

// AdmitRequest is a request for a slot on a target.
type AdmitRequest struct {
	ID       steering.RequestID
	Service  steering.Service
	Place    steering.Place // place of the pool
	Deadline time.Time
	// Home is the place that the caller belongs to; empty if unknown.
	Home steering.Place
	// CrossZone is set for a request from another zone.
	CrossZone bool
	// Avoid lists the targets to which this request was already sent.
	Avoid []steering.Target
	// NoAlternative is set for a request that no other place accepts. It may wait
	// longer in the queue.
	NoAlternative bool
}

// Outcome reports to the pool how a granted request ended.
type Outcome struct {
	Kind    OutcomeKind
	Latency time.Duration
	// ReportedInFlight and ReportedSlots are the figures that the target reported
	// in its reply, or -1 if it reported none.
	ReportedInFlight int
	ReportedSlots    int
	// Rest is how long the target that shed the request wants no further one; 0 if it did not say.
	Rest time.Duration
}

// OutcomeKind classifies how a granted request ended.
type OutcomeKind uint8

// Kinds of outcome.
const (
	OutcomeOK          OutcomeKind = iota // complete response
	OutcomeShed                           // typed refusal by the target, request not run
	OutcomeUnreachable                    // no byte was sent
	OutcomeFailed                         // 5xx response
	OutcomeBroken                         // connection broke after the request was sent
	OutcomeTimeout                        // deadline passed after the request was sent
	OutcomeCancelled                      // caller cancelled after the request was sent
	OutcomeUnused                         // not sent, for a reason unrelated to the target
)

// Grant is the right to send one request to one target.
type Grant interface {
	Target() routing.Target
	// Done releases the slot. It must be called exactly once.
	Done(Outcome)
}

// Admitter grants target slots inside this entry VM's zone.
type Admitter interface {
	// Acquire waits in the pool's queue until a slot is granted, the pool
	// refuses, or ctx ends. The error is a *steering.Refusal with RanNo.
	Acquire(ctx context.Context, r AdmitRequest) (Grant, error)
	// Headroom returns the last known number of free slots for a service at a
	// place of this zone, and the age of that figure.
	Headroom(place steering.Place, service steering.Service) (free int, age time.Duration)
	// Owner returns the entry VM that currently owns a pool of this zone, and
	// whether there is one.
	Owner(place steering.Place, service steering.Service) (Member, bool)
}

// CapLimiter enforces the caps of shifts on the requests that the shifts move here.
type CapLimiter interface {
	// Admit takes a permit of every cap that applies to requests of service from
	// home to place. A cap limits the number of requests started in a window.
	// Admit is therefore called for each attempt, after the target's slot was
	// granted and right before the request is sent: a wait between Admit and the
	// start would make starts bunch up. The error is a *steering.Refusal with
	// ReasonCapReached.
	Admit(ctx context.Context, service steering.Service, home, place steering.Place) (CapPermit, error)
}

// CapPermit is the permission to start one request under the caps that apply to
// it.
type CapPermit interface {
	// Done must be called exactly once, as soon as the attempt was sent or given
	// up. If it was sent, the permit is used for one window that begins with this
	// call. If it was not sent (no byte left for the target), the permit is free
	// again as if it had never been taken. Without a call of Done, the permit stays
	// in use.
	Done(sent bool)
}

// RemoteZones keeps hints about the headroom of other zones. Hints avoid round
// trips that would end in a refusal; they never admit a request.
type RemoteZones interface {
	// Candidates returns places outside this zone that may serve a request of
	// service whose caller belongs to home, best first.
	Candidates(service steering.Service, home steering.Place) []steering.Place
	// Hint records the headroom that a reply from a place carried.
	Hint(place steering.Place, service steering.Service, free int)
	// RecordRefusal records that a place refused a request or could not be reached.
	RecordRefusal(place steering.Place, service steering.Service, refusal *steering.Refusal)
}

// LookupResolver answers look-ups from in-memory state.
type LookupResolver interface {
	// Lookup returns the entry VMs that a client should use for a service.
	Lookup(client netip.Addr, service steering.Service) (LookupAnswer, error)
	// Home returns the home place of a client, and whether it has one.
	Home(client netip.Addr) (steering.Place, bool)
}

// LookupAnswer is a list of entry VMs, in order of preference, with its time to
// live.
type LookupAnswer struct {
	Place   steering.Place
	EntryVM []LookupEntry
	TTL     time.Duration
	Version int64 // configuration version that the answer is based on
}

// LookupEntry is one entry VM in a look-up answer.
type LookupEntry struct {
	VM        steering.VM
	Address   string
	KeyPrefix steering.KeyPrefix // from once.PrefixAt; empty until the first heartbeat
}

// Leaver reports whether this entry VM is leaving the fleet.
type Leaver interface {
	Leaving() bool
}
