package losses

import (
	"time"

	"heatherlock/steering"
)

// Kind is the key by which requests are counted. It holds the properties by which
// operators distinguish requests: service, which requests may be repeated, and latency
// objective. The zero Kind stands for requests without a route, and for all kinds beyond
// the number that a Tally counts separately.
type Kind struct {
	Service steering.Service `json:"service"`
	// Repeats is the kind of the route, which determines which requests may be repeated.
	Repeats string `json:"kind"`
	AimMs   int64  `json:"aim_ms"`
}

// Sum holds the counts of the requests of one kind.
type Sum struct {
	Kind
	// Asked is the number of all requests.
	Asked int `json:"asked"`
	// Again is the number of requests that a caller repeated.
	Again int `json:"again,omitempty"`
	InAim int `json:"in_aim,omitempty"`
	// Late, Refused and Failed hold counts by cause.
	Late    map[Cause]int `json:"late,omitempty"`
	Refused map[Cause]int `json:"refused,omitempty"`
	Failed  map[Cause]int `json:"failed,omitempty"`
}

// Add counts n requests with the same outcome and cause. The cause of requests answered
// within their latency objective is ignored.
func (s *Sum) Add(o Outcome, cause Cause, n int) {
	s.Asked += n
	switch o {
	case InAim:
		s.InAim += n
	case Late:
		s.Late = addCount(s.Late, cause, n)
	case Refused:
		s.Refused = addCount(s.Refused, cause, n)
	case Failed:
		s.Failed = addCount(s.Failed, cause, n)
	}
}

// Merge adds the counts of o to s. It leaves the kind of s as it is.
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

func addCount(by map[Cause]int, cause Cause, n int) map[Cause]int {
	if by == nil {
		by = make(map[Cause]int)
	}
	by[cause] += n
	return by
}

// maxKinds is the number of kinds that a tally counts separately; all others are counted
// under the zero Kind. A deployment has a few kinds, and one with hundreds of services
// would fill the log with its sums.
const maxKinds = 24

// Tally counts requests between calls of Take. It is not safe for concurrent use.
type Tally struct {
	sums map[Kind]*Sum
	// longestDeadline is the longest time left with which requests of a kind have arrived.
	// A caller has the most time left at its first attempt.
	longestDeadline map[Kind]time.Duration
}

// NewTally returns an empty tally.
func NewTally() *Tally {
	return &Tally{sums: make(map[Kind]*Sum), longestDeadline: make(map[Kind]time.Duration)}
}

// minDeadlineFraction is the shortest deadline of a first attempt, as a fraction of the
// longest deadline of its kind: the deadlines of callers differ by a sixth.
const minDeadlineFraction = 0.82

// TimeUsed returns a lower bound of the time that a caller had used before its request
// arrived, given the time left until its deadline: a repeated request has less time left
// than any first attempt of its kind. It returns 0 for a first attempt, and if deadline is 0
// because the caller sent none.
func (t *Tally) TimeUsed(k Kind, deadline time.Duration) time.Duration {
	if deadline <= 0 {
		return 0
	}
	if len(t.longestDeadline) < maxKinds || t.longestDeadline[k] > 0 {
		t.longestDeadline[k] = max(t.longestDeadline[k], deadline)
	}
	return max(time.Duration(minDeadlineFraction*float64(t.longestDeadline[k]))-deadline, 0)
}

// Add counts a request; again is set if its caller has sent it before.
func (t *Tally) Add(k Kind, o Outcome, cause Cause, again bool) {
	s := t.sums[k]
	if s == nil {
		if len(t.sums) >= maxKinds {
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

// Take returns the counts since the last call, in no particular order, and resets them.
func (t *Tally) Take() []Sum {
	all := make([]Sum, 0, len(t.sums))
	for _, s := range t.sums {
		all = append(all, *s)
	}
	clear(t.sums)
	return all
}
