package lookup

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"heatherlock/steering"
	"heatherlock/steering/routing"
)

// DefaultTTL is the default time for which a client may cache an answer.
const DefaultTTL = 5 * time.Second

const (
	// buckets is the number of groups into which callers are hashed when they are spread over
	// several places.
	buckets = 64
	// shareUnits is the resolution of the share of callers that a shift moves.
	shareUnits = 10000
	// unitsPerPercent is the number of shareUnits in one percent.
	unitsPerPercent = shareUnits / 100
)

// MemberState is the health of a member as far as answers depend on it.
type MemberState uint8

// Member states. NewPlan is not given members that are leaving or have failed.
const (
	// Live members are listed first.
	Live MemberState = iota
	// Suspect members have missed heartbeats. They are listed only where a zone has no usable
	// member: if every member of a zone seems to have failed, the failure detection itself is
	// suspect.
	Suspect
)

// Member is an entry VM that answers may list.
type Member struct {
	VM          steering.VM
	Zone        steering.Zone
	Region      steering.Region
	Address     string               // host:port of the listener for callers
	Incarnation steering.Incarnation // empty before the first heartbeat
	State       MemberState
}

// PlanInput holds the data that a plan is built from.
type PlanInput struct {
	Snapshot *routing.Snapshot
	Members  []Member
	// Zone and Region are those of the entry VM that builds the plan. Clients with an unknown home
	// are sent to places near it.
	Zone   steering.Zone
	Region steering.Region
	Now    time.Time
	TTL    time.Duration // zero means DefaultTTL
}

// Entry is an entry VM listed in an answer.
type Entry struct {
	VM          steering.VM
	Address     string
	Incarnation steering.Incarnation
}

// Answer lists the entry VMs to use for a service at a place, in order of preference.
type Answer struct {
	Service steering.Service
	Place   steering.Place
	Entries []Entry
	TTL     time.Duration
	Version int64
}

// Plan holds the precomputed answers for one snapshot and one list of members. It is immutable and
// safe for concurrent use.
type Plan struct {
	blocks    homeFinder
	version   int64
	services  map[steering.Service]*servicePlan
	answers   []Answer
	nextStart time.Time
}

// homeFinder returns the index of a client's home place.
type homeFinder interface {
	find(netip.Addr) (uint16, bool)
}

// servicePlan holds the answers for one service, indexed by the number of the caller's home place.
type servicePlan struct {
	// singleAnswer holds the answer of each home whose callers all get the same one, and
	// noSingleAnswer for every other home. With it most look-ups don't read a homePlan, which is
	// rarely in the CPU cache.
	singleAnswer []int32
	homes        []*homePlan
	// unknownHome applies to callers whose address is in no block.
	unknownHome *homePlan
	refusal     steering.Reason // set if there is no place to return
}

// noSingleAnswer marks a home in servicePlan.singleAnswer whose callers get different answers.
const noSingleAnswer = -1

// homePlan holds the answers for callers of one home. The first rule that selects a caller applies;
// unshifted applies to callers that no rule selects.
type homePlan struct {
	rules     []rule
	unshifted *distribution
}

// rule is a shift as it applies to callers of one home for one service.
type rule struct {
	seed      uint64 // hash of the shift's name
	threshold uint64 // share of callers that is moved, in shareUnits
	to        *distribution
}

// singleAnswer returns the answer that all callers of the home get, or noSingleAnswer.
func (h *homePlan) singleAnswer() int32 {
	if len(h.rules) > 0 {
		return noSingleAnswer
	}
	for _, answer := range h.unshifted.answers {
		if answer != h.unshifted.answers[0] {
			return noSingleAnswer
		}
	}
	return h.unshifted.answers[0]
}

// distribution maps each bucket of callers to an answer.
type distribution struct{ answers [buckets]int32 }

// Answers returns all answers of the plan. Choose returns indexes into this slice, which must not
// be modified.
func (p *Plan) Answers() []Answer { return p.answers }

// NextStopStart returns the time at which the next planned stop starts, or the zero time if none is
// scheduled. The plan is out of date from that time on and must be rebuilt.
func (p *Plan) NextStopStart() time.Time { return p.nextStart }

// Choose returns the index of the answer for a client and a service. It allocates only when it
// returns an error, which is a *steering.Refusal.
func (p *Plan) Choose(client netip.Addr, service steering.Service) (int, error) {
	choices, ok := p.services[service]
	if !ok {
		return 0, steering.Refuse(steering.ReasonNoService, 0, "service "+string(service))
	}
	if choices.refusal != "" {
		return 0, steering.Refuse(choices.refusal, retryAfterRefusal, "service "+string(service))
	}
	number, ok := p.blocks.find(client)
	if !ok {
		return int(choices.unknownHome.choose(client)), nil
	}
	if answer := choices.singleAnswer[number]; answer != noSingleAnswer {
		return int(answer), nil
	}
	return int(choices.homes[number].choose(client)), nil
}

// retryAfterRefusal is the retry delay sent to clients while no place can serve.
const retryAfterRefusal = 5 * time.Second

func (h *homePlan) choose(client netip.Addr) int32 {
	bytes := client.As16()
	for i := range h.rules {
		r := &h.rules[i]
		if hash := clientHash(&bytes, r.seed); hash%shareUnits < r.threshold {
			return r.to.answers[bucketOf(hash)]
		}
	}
	return h.unshifted.answers[bucketOf(clientHash(&bytes, 0))]
}

// clientHash decides which clients a shift moves. It must be the same on all entry VMs and in all
// versions, otherwise two VMs would answer the same client differently.
func clientHash(client *[16]byte, seed uint64) uint64 {
	var b [24]byte
	copy(b[:], client[:])
	binary.LittleEndian.PutUint64(b[16:], seed)
	return xxhash.Sum64(b[:])
}

func bucketOf(hash uint64) uint64 { return (hash >> 32) % buckets }
