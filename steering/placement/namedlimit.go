package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// NamedLimit is what a target said of the request rate that it takes.
type NamedLimit struct {
	// InForce is set if the target names a limit, of PerSecond requests per second from all entry VMs
	// together.
	InForce   bool
	PerSecond float64
	// AskedAt is when the request was sent to whose response the target said so, and HeardAt when the
	// response arrived, here or at another entry VM. The target said it in between. A zero AskedAt means
	// HeardAt.
	AskedAt, HeardAt time.Time
	// Told is set if another entry VM told this one.
	Told bool
}

// ToldLimit is a NamedLimit as one entry VM tells it to another: with ages, since their clocks differ.
type ToldLimit struct {
	InForce   bool
	PerSecond float64
	// Age is how long ago the response arrived that says so, and RequestAge how long ago its request was sent.
	Age, RequestAge time.Duration
}

const (
	// maxToldAge bounds the ages.
	maxToldAge = time.Hour
	// transitAllowance is added to the age of the request for the time that the message took. What passes
	// through several VMs must not become newer.
	transitAllowance = 150 * time.Millisecond
)

// Tell returns the limit as it is told to another entry VM.
func (l NamedLimit) Tell(now time.Time) ToldLimit {
	age := func(at time.Time) time.Duration { return min(max(now.Sub(at), 0), maxToldAge) }
	return ToldLimit{InForce: l.InForce, PerSecond: l.PerSecond, Age: age(l.HeardAt), RequestAge: age(l.asked())}
}

// Limit returns the limit that another entry VM told.
func (t ToldLimit) Limit(now time.Time) NamedLimit {
	return NamedLimit{InForce: t.InForce, PerSecond: t.PerSecond, Told: true, HeardAt: now.Add(-t.Age), AskedAt: now.Add(-max(t.RequestAge, t.Age) - transitAllowance)}
}

// maxStated bounds the statements of one target that are kept. A target that names more limits at a time than that keeps the
// lowest in force.
const maxStated = 8

// StatedLimits holds what a target has said of its limit, as far as it may be what it has said last: a response may arrive
// long after others that the target gave later. The zero value holds nothing.
type StatedLimits struct {
	// all holds at most one statement for each limit. None was heard before the request of another one was sent.
	all []NamedLimit
}

// Current returns the statement to go by, the one with the lowest limit. It is zero if the target has said nothing.
func (s *StatedLimits) Current() NamedLimit {
	if len(s.all) == 0 {
		return NamedLimit{}
	}
	return slices.MinFunc(s.all, compareLimits)
}

// Add records a statement, in any order of arrival. It ends those that were heard before its request was sent.
func (s *StatedLimits) Add(said NamedLimit) {
	s.all = slices.DeleteFunc(s.all, func(l NamedLimit) bool { return !said.asked().Before(l.HeardAt) })
	if slices.ContainsFunc(s.all, func(l NamedLimit) bool { return !l.asked().Before(said.HeardAt) }) {
		return // the target has said something else since
	}
	same := slices.IndexFunc(s.all, func(l NamedLimit) bool { return compareLimits(l, said) == 0 })
	if same < 0 {
		s.all = append(s.all, said)
		if len(s.all) > maxStated {
			highest := slices.MaxFunc(s.all, compareLimits)
			s.all = slices.DeleteFunc(s.all, func(l NamedLimit) bool { return compareLimits(l, highest) == 0 })
		}
		return
	}
	l := &s.all[same]
	if said.Told && !said.asked().After(l.asked()) {
		return // what VMs tell each other in turn would never end
	}
	l.AskedAt, l.HeardAt = latest(l.asked(), said.asked()), latest(l.HeardAt, said.HeardAt)
}

func (l NamedLimit) asked() time.Time {
	if l.AskedAt.IsZero() {
		return l.HeardAt
	}
	return l.AskedAt
}

// compareLimits orders limits by how many requests they let through.
func compareLimits(a, b NamedLimit) int {
	perSecond := func(l NamedLimit) float64 {
		if !l.InForce {
			return math.Inf(1)
		}
		return l.PerSecond
	}
	return cmp.Compare(perSecond(a), perSecond(b))
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
