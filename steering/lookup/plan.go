package lookup

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"heatherlock/steering"
	"heatherlock/steering/routing"
)

// DefaultTTL is how long a client may keep an answer.
const DefaultTTL = 5 * time.Second

const (
	// buckets is the number of groups that clients are divided into where one
	// place's callers are spread over several.
	buckets = 64
	// shareUnits is the resolution of a moved share.
	shareUnits = 10000
	// unitsPerPercent converts a shift's percent.
	unitsPerPercent = shareUnits / 100
)

// MemberState says how far an entry VM may be used in answers.
type MemberState uint8

// States of a member. Leaving and dead ones are not given to NewPlan.
const (
	// Usable members come first.
	Usable MemberState = iota
	// Doubtful members have not been heard from lately. They are named only
	// where a zone has no other: when all look dead, the signal is in doubt.
	Doubtful
)

// Member is an entry VM that answers may name.
type Member struct {
	VM          steering.VM
	Zone        steering.Zone
	Region      steering.Region
	Address     string               // caller listener, host:port
	Incarnation steering.Incarnation // empty when not heard from yet
	State       MemberState
}

// Input is what answers are made from.
type Input struct {
	Snapshot *routing.Snapshot
	Members  []Member
	// Zone and Region are those of the answering entry VM; clients of unknown
	// home are sent near it.
	Zone   steering.Zone
	Region steering.Region
	Now    time.Time
	TTL    time.Duration // zero means DefaultTTL
}

// Entry is one entry VM of an answer.
type Entry struct {
	VM          steering.VM
	Address     string
	Incarnation steering.Incarnation
}

// Answer names the entry VMs to use for one service at one place, in order.
type Answer struct {
	Service steering.Service
	Place   steering.Place
	Entries []Entry
	TTL     time.Duration
	Version int64
}

// Plan holds the answers for one snapshot and one view of the members. It is
// immutable and safe for concurrent use.
type Plan struct {
	blocks   numbered
	version  int64
	services map[steering.Service]*servicePlan
	answers  []Answer
	next     time.Time
}

// numbered finds the number of a client's home place.
type numbered interface {
	find(netip.Addr) (uint16, bool)
}

// servicePlan holds the choices for one service by the number of the caller's
// home place.
type servicePlan struct {
	// simple holds the answer where all callers of a home get the same one,
	// else notSimple. It spares most look-ups the reading of a homePlan, which
	// is seldom in the processor's cache.
	simple []int32
	homes  []*homePlan
	// nowhere is for callers of unknown home.
	nowhere *homePlan
	refuse  steering.Reason // set when no place can be answered
}

// notSimple stands in servicePlan.simple where callers' answers differ.
const notSimple = -1

// homePlan is the choice for callers of one home.
type homePlan struct {
	rules []rule
	own   *spread
}

// rule is a shift as it applies to one home and service.
type rule struct {
	seed  uint64 // of the shift's name
	below uint64 // moved share in shareUnits
	to    *spread
}

// simple returns the one answer of all callers, if there is one.
func (h *homePlan) simple() int32 {
	if len(h.rules) > 0 {
		return notSimple
	}
	for _, answer := range h.own.answers {
		if answer != h.own.answers[0] {
			return notSimple
		}
	}
	return h.own.answers[0]
}

// spread divides callers over answers.
type spread struct{ answers [buckets]int32 }

// Answers returns every answer; Choose returns indexes into it. The slice must
// not be changed.
func (p *Plan) Answers() []Answer { return p.answers }

// NextChange returns when a planned stop next begins, or the zero time. The
// plan must be made anew then.
func (p *Plan) NextChange() time.Time { return p.next }

// Choose returns the index of the answer for a client and a service. It
// allocates nothing unless it refuses; the error is a *steering.Refusal.
func (p *Plan) Choose(client netip.Addr, service steering.Service) (int, error) {
	choices, ok := p.services[service]
	if !ok {
		return 0, steering.Refuse(steering.ReasonNoService, 0, "service "+string(service))
	}
	if choices.refuse != "" {
		return 0, steering.Refuse(choices.refuse, retryAfterRefusal, "service "+string(service))
	}
	number, ok := p.blocks.find(client)
	if !ok {
		return int(choices.nowhere.choose(client)), nil
	}
	if answer := choices.simple[number]; answer != notSimple {
		return int(answer), nil
	}
	return int(choices.homes[number].choose(client)), nil
}

// retryAfterRefusal is when to ask again while nothing can serve.
const retryAfterRefusal = 5 * time.Second

func (h *homePlan) choose(client netip.Addr) int32 {
	bytes := client.As16()
	for i := range h.rules {
		r := &h.rules[i]
		if hash := clientHash(&bytes, r.seed); hash%shareUnits < r.below {
			return r.to.answers[bucketOf(hash)]
		}
	}
	return h.own.answers[bucketOf(clientHash(&bytes, 0))]
}

// clientHash is the same on every node and in every version: it alone decides
// which clients a share covers.
func clientHash(client *[16]byte, seed uint64) uint64 {
	var b [24]byte
	copy(b[:], client[:])
	binary.LittleEndian.PutUint64(b[16:], seed)
	return xxhash.Sum64(b[:])
}

func bucketOf(hash uint64) uint64 { return (hash >> 32) % buckets }
