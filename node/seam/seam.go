// Package seam holds the small interfaces at which the parts of an entry VM
// meet: the data path in package forward is written against them, and each
// control part implements one. Keeping them here lets a test replace any part
// with a small fake.
package seam

import (
	"context"
	"net/netip"
	"time"

	"heatherlock/steering"
	"heatherlock/steering/routing"
)

// Configs publishes whole immutable snapshots of configuration.
type Configs interface {
	// Snapshot returns the newest snapshot, or nil before the first.
	Snapshot() *routing.Snapshot
	// Subscribe calls f with every later snapshot, in order of version.
	Subscribe(f func(*routing.Snapshot))
}

// MemberState says how an entry VM takes part.
type MemberState uint8

// States of an entry VM as seen by this one.
const (
	MemberLive MemberState = iota
	MemberSuspect
	MemberLeaving
	MemberGone
)

// Member is one entry VM as this one sees it.
type Member struct {
	VM              steering.VM
	Incarnation     steering.Incarnation // empty until heard from
	Zone            steering.Zone
	Region          steering.Region
	CallerAddress   string // host:port
	PeerAddress     string
	OperatorAddress string
	State           MemberState
	// Heard is when first-hand or relayed evidence last arrived.
	Heard time.Time
	// ConfigVersion is the highest version known to be in force there.
	ConfigVersion int64
	// InFlight is what it last said to carry.
	InFlight int
}

// Members gives this entry VM's view of the others.
type Members interface {
	// Self returns this entry VM.
	Self() Member
	// All returns the current view; the slice must not be changed.
	All() []Member
	// InZone returns the members of a zone that may be given work.
	InZone(zone steering.Zone) []Member
	// ByIncarnation finds the member that issued a key.
	ByIncarnation(steering.Incarnation) (Member, bool)
	// Evidence records what forwarding to a member showed at first hand.
	Evidence(vm steering.VM, reachable bool)
}

// AdmitRequest asks for a slot on a target.
type AdmitRequest struct {
	ID       steering.RequestID
	Service  steering.Service
	Place    steering.Place // pool to admit to
	Deadline time.Time
	// Home is the place the caller belongs to; empty when unknown.
	Home steering.Place
	// Foreign marks work that came from another zone.
	Foreign bool
	// Avoid lists targets that already had this request.
	Avoid []steering.Target
	// Patient marks a request that no other place takes: it may wait longer.
	Patient bool
}

// Outcome tells the pool how a granted request ended.
type Outcome struct {
	Kind    OutcomeKind
	Latency time.Duration
	// ReportedInFlight and ReportedSlots are the target's own figures from its
	// reply; -1 when it gave none.
	ReportedInFlight int
	ReportedSlots    int
}

// OutcomeKind classifies how a granted request ended.
type OutcomeKind uint8

// Kinds of outcome.
const (
	OutcomeOK          OutcomeKind = iota // whole answer
	OutcomeShed                           // target's typed refusal, not run
	OutcomeUnreachable                    // no byte was sent
	OutcomeFailed                         // 5xx answer
	OutcomeBroken                         // connection broke with the request in the target's hands
	OutcomeTimeout                        // deadline passed with the request in the target's hands
	OutcomeCancelled                      // caller went away with the request in the target's hands
	OutcomeUnused                         // not sent, for a reason that is not the target's
)

// Grant is the right to send one request to one target.
type Grant interface {
	Target() routing.Target
	// Done gives the slot back. It must be called exactly once.
	Done(Outcome)
}

// Admitter grants target slots inside this entry VM's zone.
type Admitter interface {
	// Acquire waits in the pool's queue until a slot is granted, the pool
	// refuses, or ctx ends. The error is a *steering.Refusal with RanNo.
	Acquire(ctx context.Context, r AdmitRequest) (Grant, error)
	// Headroom returns the free slots this zone has for a service, as far as
	// this entry VM knows, and the age of that knowledge.
	Headroom(place steering.Place, service steering.Service) (free int, age time.Duration)
	// Owner returns the entry VM that owns a pool of this zone now.
	Owner(place steering.Place, service steering.Service) (Member, bool)
}

// CapGate admits work against the caps of the shifts that bring it here.
type CapGate interface {
	// Admit takes a permit of every cap that binds work of service from home
	// into place. A cap bounds what starts in a window, so Admit is called for
	// each try, with the target's slot in hand, right before the request is
	// sent: a wait between Admit and the start would bunch starts up. The error
	// is a *steering.Refusal with ReasonCapReached.
	Admit(ctx context.Context, service steering.Service, home, place steering.Place) (CapPermit, error)
}

// CapPermit is the right to start one request under the caps that bind it.
type CapPermit interface {
	// Done must be called exactly once, as soon as the try was sent or given
	// up. A sent permit's window counts from this call; one that was not sent
	// (no byte left for the target) is free again as if never taken. A permit
	// that is never done stays taken.
	Done(sent bool)
}

// Remote gives hints about other zones; hints save refused round trips and
// never admit anything.
type Remote interface {
	// Candidates returns places outside this zone that may serve a request of
	// service whose caller belongs to home, best first.
	Candidates(service steering.Service, home steering.Place) []steering.Place
	// Hint records the headroom that a reply from a place carried.
	Hint(place steering.Place, service steering.Service, free int)
	// Refused records that a place refused work, or could not be reached.
	Refused(place steering.Place, service steering.Service, refusal *steering.Refusal)
}

// Looker answers look-ups from memory.
type Looker interface {
	// Lookup returns the entry VMs that a client should use for a service.
	Lookup(client netip.Addr, service steering.Service) (LookupAnswer, error)
	// Home returns the home place of a client.
	Home(client netip.Addr) (steering.Place, bool)
}

// LookupAnswer is an ordered list of entry VMs with its time to live.
type LookupAnswer struct {
	Place   steering.Place
	EntryVM []LookupEntry
	TTL     time.Duration
	Version int64 // configuration version it was made from
}

// LookupEntry is one entry VM in a look-up answer.
type LookupEntry struct {
	VM        steering.VM
	Address   string
	KeyPrefix steering.KeyPrefix // once.PrefixAt; empty when not heard from yet
}

// Leaver tells whether this entry VM is leaving.
type Leaver interface {
	Leaving() bool
}
