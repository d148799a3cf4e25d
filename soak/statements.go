package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"

	"heatherlock/standin/endpoint"
)

const (
	// namedLimit is the limit in requests per second that targets name, far below what they get.
	namedLimit = 1.0
	// limitWindow, limitFactor and limitSlack bound what a target with a limit may get from the entry
	// VMs that passed on a response naming it limitHeard before or earlier.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	limitHeard  = 500 * time.Millisecond
	// longRun is how long the requests run at most that a target takes in the lateAnswers before it names a
	// limit. Their responses do not name it. limitedRun is how long those run that it takes while it does.
	longRun     = 2 * time.Second
	lateAnswers = 400 * time.Millisecond
	limitedRun  = 400 * time.Millisecond
	// maxInRest is how many requests of one entry VM may reach a target in the rest that it asked for,
	// later than restGrace after it did.
	maxInRest = 2
	restGrace = 500 * time.Millisecond
	// maxDisturbance is the longest time for which the connections to a target are disturbed.
	maxDisturbance = 3500 * time.Millisecond
)

// statement is what a target said in a response that an entry VM passed on.
type statement struct {
	target string
	daemon *daemon
	boot   int
	header string
	naming int // which of the target's limits; 0 for other statements
}

// statementFaults draws targets that name a limit, ask for rest, or leave and say so in their
// responses only. It uses a random generator of its own, like workspaceFaults.
func statementFaults(seed uint64, length time.Duration) []step {
	r := rand.New(rand.NewPCG(seed, 13))
	var plan []step
	for at := 2 * time.Second; at < length-recoveryPhase; at += time.Duration(1500+r.IntN(2000)) * time.Millisecond {
		kind, pick, span := r.IntN(3), r.Uint64(), time.Duration(2000+r.IntN(3000))*time.Millisecond
		name := [...]string{"names a limit", "asks for rest", "says that it leaves"}[kind]
		plan = append(plan, step{at, fmt.Sprintf("a target %s for %v", name, span), func(s *system) {
			if t := s.pick(pick); t != nil {
				[...]func(*target, time.Duration){s.nameLimit, s.askForRest, s.sayLeaving}[kind](t, span)
			}
		}})
	}
	return plan
}

func (s *system) nameLimit(t *target, span time.Duration) {
	t.SetFault(func(*http.Request) endpoint.Fault { time.Sleep(rand.N(longRun)); return endpoint.None })
	time.AfterFunc(lateAnswers, func() {
		t.SetFault(func(*http.Request) endpoint.Fault { time.Sleep(limitedRun); return endpoint.None })
		s.setNaming(t, true)
		t.SetHeader("Server-Limit", strconv.FormatFloat(namedLimit, 'f', -1, 64))
	})
	time.AfterFunc(lateAnswers+limitWindow+span, func() {
		t.SetFault(nil)
		t.SetHeader("Server-Limit", "")
		s.setNaming(t, false)
	})
}

func (s *system) setNaming(t *target, named bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if named {
		t.naming++
	}
	t.limited = named
}

// naming returns which of its limits a target names now, and 0 if it names none.
func (s *system) naming(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.allTargets {
		if t.name == name && t.limited {
			return t.naming
		}
	}
	return 0
}

func (s *system) askForRest(t *target, span time.Duration) {
	s.mu.Lock()
	rested := t.rest > 0
	if !rested {
		t.rest = span
	}
	s.mu.Unlock()
	if rested {
		return // a second rest of another length would make the check ambiguous
	}
	t.SetHeader("Retry-After", strconv.FormatFloat(span.Seconds(), 'f', -1, 64))
	t.SetFault(func(*http.Request) endpoint.Fault { return endpoint.Shed })
	time.AfterFunc(span, func() {
		t.SetFault(nil)
		t.SetHeader("Retry-After", "")
	})
}

// sayLeaving makes a target say that it leaves; its entry in the store says so only after drainBound.
func (s *system) sayLeaving(t *target, span time.Duration) {
	if err := s.addTarget(); err != nil {
		s.findings.add("target not started: %v", err)
		return
	}
	t.SetHeader("Server-Leaving", "1")
	time.AfterFunc(drainBound+span, func() { s.drain(t) })
}

// hear records what a target says in a response that an entry VM passed on, and checks the request:
// what the VM had heard of the target before bounds what it may send. sent is when the request was.
func (l *callLog) hear(s *system, id string, d *daemon, sent time.Time, h http.Header) {
	boot, _ := d.undisturbed(0)
	target := h.Get("X-Instance-Id")
	naming := s.naming(target)
	l.mu.Lock()
	defer l.mu.Unlock()
	said := statement{target, d, boot, "Server-Leaving", 0}
	if heard := l.heard[said]; !heard.IsZero() && sent.After(heard.Add(drainBound)) && !d.wasInterrupted(heard) {
		s.findings.add("request %s ran at %s %v after a response told %s that it leaves", id, target, sent.Sub(heard), d.name)
	}
	if h.Get(said.header) != "" && l.heard[said].IsZero() {
		l.heard[said] = time.Now()
	}
	said.header, said.naming = "Server-Limit", naming
	switch heard := l.heard[said]; {
	case naming == 0:
	case heard.IsZero():
		if h.Get(said.header) != "" {
			l.heard[said] = time.Now()
		}
	case sent.After(heard.Add(limitHeard)) && !d.wasInterrupted(heard):
		l.limited[target] = append(l.limited[target], sent)
	}
}

// checkStatements checks what targets got while they named a limit or rested. The caller holds s.mu.
func (s *system) checkStatements(l *callLog) {
	for name, at := range l.limited {
		slices.SortFunc(at, time.Time.Compare)
		for i := range at {
			n, _ := slices.BinarySearchFunc(at[i:], at[i].Add(limitWindow), time.Time.Compare)
			if float64(n) > namedLimit*limitFactor*limitWindow.Seconds()+limitSlack {
				s.findings.add("%s names a limit of %v a second and got %d requests in %v", name, namedLimit, n, limitWindow)
				break
			}
		}
	}
	for _, t := range s.allTargets {
		s.checkRests(l, t)
	}
}

// checkRests checks the requests that reached a target in the rests that it asked for. A rest is left
// out if the connections to the target were disturbed, since the entry VM may not have heard of it.
func (s *system) checkRests(l *callLog, t *target) {
	type rest struct {
		until time.Time
		got   int
	}
	resting := make(map[*daemon]*rest)
	arrivals := append(t.Runs(), t.Sheds()...)
	slices.SortFunc(arrivals, func(a, b endpoint.Run) int { return a.At.Compare(b.At) })
	for _, run := range arrivals {
		d, asked := l.sentTo[run.ID], run.Rest
		if d == nil {
			continue
		}
		if r := resting[d]; r != nil && run.At.Before(r.until) {
			began := r.until.Add(-t.rest)
			heard := !d.wasInterrupted(began) && t.disturbedAt.Before(began.Add(-maxDisturbance))
			if heard && run.At.After(began.Add(restGrace)) {
				r.got++
			}
			if r.got > maxInRest {
				s.findings.add("%s had asked %s for a rest of %v and got %d requests", t.name, d.name, t.rest, r.got)
				return
			}
		} else if asked {
			resting[d] = &rest{until: run.At.Add(t.rest)}
		}
	}
}
