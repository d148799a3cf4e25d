package losses

import (
	"time"

	"heatherlock/steering"
)

// Kind is what requests are counted by. Operators tell kinds of requests apart by their
// service, by what may be repeated and by their aim.
type Kind struct {
	Service steering.Service `json:"service"`
	// Repeats is the route's kind, which says what may be repeated.
	Repeats string `json:"kind"`
	AimMs   int64  `json:"aim_ms"`
}

// Sum is what became of the requests of a kind.
type Sum struct {
	Kind
	Asked int `json:"asked"`
	// Again counts those whose caller had asked before.
	Again int `json:"again,omitempty"`
	InAim int `json:"in_aim,omitempty"`
	// Late, Refused and Failed count by cause.
	Late    map[Cause]int `json:"late,omitempty"`
	Refused map[Cause]int `json:"refused,omitempty"`
	Failed  map[Cause]int `json:"failed,omitempty"`
}

// Add counts a request.
func (s *Sum) Add(o Outcome, cause Cause, n int) {
	s.Asked += n
	switch o {
	case InAim:
		s.InAim += n
	case Late:
		s.Late = counted(s.Late, cause, n)
	case Refused:
		s.Refused = counted(s.Refused, cause, n)
	case Failed:
		s.Failed = counted(s.Failed, cause, n)
	}
}

// Merge adds another sum of the kind.
func (s *Sum) Merge(o Sum) {
	s.Again += o.Again
	s.Add(InAim, "", o.InAim)
	for cause, n := range o.Late {
		s.Add(Late, cause, n)
	}
	for cause, n := range o.Refused {
		s.Add(Refused, cause, n)
	}
	for cause, n := range o.Failed {
		s.Add(Failed, cause, n)
	}
}

func counted(by map[Cause]int, cause Cause, n int) map[Cause]int {
	if by == nil {
		by = make(map[Cause]int)
	}
	by[cause] += n
	return by
}

// mostKinds bounds the kinds of a tally; the rest are counted as one. A deployment has a
// few, and one with hundreds of services would fill the log with its sums.
const mostKinds = 24

// Tally counts requests until they are taken. It is not safe for concurrent use.
type Tally struct {
	sums map[Kind]*Sum
	// longest is the longest time that callers of a kind allow, which those have left
	// that make their first attempt.
	longest map[Kind]time.Duration
}

// NewTally returns an empty tally.
func NewTally() *Tally {
	return &Tally{sums: make(map[Kind]*Sum), longest: make(map[Kind]time.Duration)}
}

// patienceSpread is the part of the longest time that callers of a kind allow which each
// of them allows at least at its first attempt: their deadlines differ by a sixth.
const patienceSpread = 0.82

// Used returns how much of its time a caller has surely used before it came here, as told
// by the deadline that is left: a caller that comes back allows less than any at first.
func (t *Tally) Used(k Kind, deadline time.Duration) time.Duration {
	if deadline <= 0 {
		return 0
	}
	if len(t.longest) < mostKinds || t.longest[k] > 0 {
		t.longest[k] = max(t.longest[k], deadline)
	}
	return max(time.Duration(patienceSpread*float64(t.longest[k]))-deadline, 0)
}

// Add counts a request; again tells that its caller had asked before.
func (t *Tally) Add(k Kind, o Outcome, cause Cause, again bool) {
	s := t.sums[k]
	if s == nil {
		if len(t.sums) >= mostKinds {
			k = Kind{}
		}
		if s = t.sums[k]; s == nil {
			s = &Sum{Kind: k}
			t.sums[k] = s
		}
	}
	s.Add(o, cause, 1)
	if again {
		s.Again++
	}
}

// Take returns what was counted since the last call, in no order.
func (t *Tally) Take() []Sum {
	all := make([]Sum, 0, len(t.sums))
	for _, s := range t.sums {
		all = append(all, *s)
	}
	clear(t.sums)
	return all
}
