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
	blocks   routing.BlockTable
	version  int64
	services map[steering.Service]*servicePlan
	answers  []Answer
	next     time.Time
}

// servicePlan holds the choices for one service by the caller's home; the
// empty home stands for callers of unknown home.
type servicePlan struct {
	homes  map[steering.Place]*homePlan
	refuse steering.Reason // set when no place can be answered
}

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

// spread divides callers over answers.
type spread struct{ answers [buckets]int32 }

// Answers returns every answer; Choose returns indexes into it. The slice must
// not be changed.
func (p *Plan) Answers() []Answer { return p.answers }

// NextChange returns when a planned stop next begins, or the zero time. The
// plan must be made anew then.
func (p *Plan) NextChange() time.Time { return p.next }

// Home returns the home place of a client.
func (p *Plan) Home(client netip.Addr) (steering.Place, bool) { return p.blocks.Lookup(client) }

// Choose returns the index of the answer for a client and a service. It
// allocates nothing unless it refuses; the error is a *steering.Refusal.
func (p *Plan) Choose(client netip.Addr, service steering.Service) (int, error) {
	services, ok := p.services[service]
	if !ok {
		return 0, steering.Refuse(steering.ReasonNoService, 0, "service "+string(service))
	}
	if services.refuse != "" {
		return 0, steering.Refuse(services.refuse, retryAfterRefusal, "service "+string(service))
	}
	place, _ := p.blocks.Lookup(client)
	home, ok := services.homes[place]
	if !ok {
		home = services.homes[""]
	}
	return int(home.choose(client)), nil
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
