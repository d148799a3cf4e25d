package placement

import "time"

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
	return NamedLimit{InForce: t.InForce, PerSecond: t.PerSecond, HeardAt: now.Add(-t.Age), AskedAt: now.Add(-max(t.RequestAge, t.Age) - transitAllowance)}
}

// With returns what is to be gone by once the target has said another limit as well, in any order of arrival.
//
// A statement replaces one that was heard before its request was sent. If either may be the later one, the
// lower limit holds until a later response: a response may arrive long after others that the target gave
// later.
func (l NamedLimit) With(said NamedLimit) NamedLimit {
	switch {
	case l.InForce == said.InForce && l.PerSecond == said.PerSecond:
		if said.asked().After(l.asked()) {
			l.AskedAt, l.HeardAt = said.asked(), latest(l.HeardAt, said.HeardAt)
		}
		return l
	case !said.asked().Before(l.HeardAt):
		return said
	case l.asked().Before(said.HeardAt) && said.below(l):
		return said
	}
	return l
}

func (l NamedLimit) asked() time.Time {
	if l.AskedAt.IsZero() {
		return l.HeardAt
	}
	return l.AskedAt
}

// below reports whether l lets fewer requests through than another limit.
func (l NamedLimit) below(other NamedLimit) bool {
	return l.InForce && (!other.InForce || l.PerSecond < other.PerSecond)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
