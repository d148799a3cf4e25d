package balance

import (
	"math"
	"time"

	"heatherlock/steering"
)

const (
	// WeightTTL is the age above which weights rise back to 1.
	WeightTTL = 10 * time.Second
	// ageStep is the time in which weights older than WeightTTL rise by an eighth.
	ageStep = 5 * time.Second
)

// Candidate is a VM that may be the balancer of its region.
type Candidate struct {
	VM     steering.VM
	Region steering.Region
}

// BalancerOf returns the balancer of a region: the first live VM of the region, given the live VMs in
// the order in which VMs read the store.
func BalancerOf(region steering.Region, live []Candidate) (vm steering.VM, found bool) {
	for _, c := range live {
		if c.Region == region {
			return c.VM, true
		}
	}
	return "", false
}

// Term identifies the weights of a balancer: when it became the balancer, in milliseconds since 1970,
// and a number that grows with each change of the weights.
type Term struct {
	Start  int64
	Number uint32
}

// Before reports whether t is before o.
func (t Term) Before(o Term) bool {
	return t.Start < o.Start || t.Start == o.Start && t.Number < o.Number
}

// Message carries weights below 1 of a region. It is complete for the targets with a hash from First to
// Last: those without a weight have the weight 1.
type Message struct {
	Term        Term
	First, Last uint32
	Levels      map[uint32]float64 // by hash of the target
}

// Holder keeps the weights of one region that are in force on a VM. It is not safe for concurrent use.
type Holder struct {
	from   steering.VM
	term   Term
	at     time.Time // of the last message
	levels map[uint32]float64
	steps  int // by which the levels have risen since the last message
}

// NewHolder returns a Holder without weights.
func NewHolder() *Holder { return &Holder{levels: make(map[uint32]float64)} }

// Apply applies a message. It reports whether it did: messages of other VMs than the balancer, and those
// of an earlier term of it, are dropped. A balancer whose clock was set back is heard again once its
// earlier weights are outdated.
func (h *Holder) Apply(now time.Time, from, balancer steering.VM, m Message) bool {
	if from != balancer || from == h.from && m.Term.Before(h.term) && now.Sub(h.at) <= WeightTTL {
		return false
	}
	if h.steps > 0 {
		h.levels, h.steps = h.raised(), 0
	}
	for hash := range h.levels {
		if hash >= m.First && hash <= m.Last {
			delete(h.levels, hash)
		}
	}
	for hash, level := range m.Levels {
		if level < 1 {
			h.levels[hash] = clampWeight(level)
		}
	}
	h.from, h.term, h.at = from, m.Term, now
	return true
}

// Levels returns the weights below 1 that are in force, by the hash of the target. Those older than
// WeightTTL rise in steps.
func (h *Holder) Levels(now time.Time) map[uint32]float64 {
	if age := now.Sub(h.at); age > WeightTTL && len(h.levels) > 0 {
		h.steps = 1 + int((age-WeightTTL)/ageStep)
		levels := h.raised()
		if len(levels) == 0 {
			h.levels, h.steps = levels, 0
		}
		return levels
	}
	return h.levels
}

func (h *Holder) raised() map[uint32]float64 {
	raised := make(map[uint32]float64, len(h.levels))
	for hash, level := range h.levels {
		if level = math.Min(1, level+float64(h.steps)*MinWeight); level < 1 {
			raised[hash] = level
		}
	}
	return raised
}

// From returns the balancer whose weights are in force, their term, and their age.
func (h *Holder) From(now time.Time) (vm steering.VM, term Term, age time.Duration) {
	return h.from, h.term, now.Sub(h.at)
}

// Empty reports whether no weight is below 1.
func (h *Holder) Empty() bool { return len(h.levels) == 0 }
