package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"syscall"
	"time"

	"heatherlock/standin/endpoint"
	"heatherlock/standin/metastore"
)

// step is one fault of a plan.
type step struct {
	at   time.Duration
	what string
	do   func(*site)
}

// newPlan draws the faults of a seed: about one in 0.45 s, some in series, over
// all but the last part of the run.
func newPlan(seed uint64, length time.Duration, daemons int) []step {
	d := &draw{Rand: rand.New(rand.NewPCG(seed, 7)), ways: slices.Clone(spoils)}
	d.Shuffle(len(d.ways), func(i, j int) { d.ways[i], d.ways[j] = d.ways[j], d.ways[i] })
	var plan []step
	for at := 2 * time.Second; at < length-healTime; at += time.Duration(150+d.IntN(600)) * time.Millisecond {
		plan = append(plan, d.step(at, daemons)...)
	}
	plan = append(plan, workspaceFaults(seed, length)...)
	sort.SliceStable(plan, func(i, j int) bool { return plan[i].at < plan[j].at })
	return plan
}

// draw draws a plan.
type draw struct {
	*rand.Rand
	ways []endpoint.Fault
	next int
}

func (d *draw) step(at time.Duration, daemons int) []step {
	r := d.Rand
	span := time.Duration(500+r.IntN(3000)) * time.Millisecond
	switch r.IntN(13) {
	case 0, 1, 2:
		return signals(r, at, span, daemons)
	case 3, 4:
		return ways(r, at, span)
	case 5, 6:
		return d.targetFaults(at, span)
	case 7, 12:
		return targetChanges(r, at)
	case 8, 9:
		return storeFaults(r, at, span)
	}
	return configurations(r, at)
}

// signals stop, pause, kill and restart entry VMs, in turn or together.
func signals(r *rand.Rand, at, span time.Duration, daemons int) []step {
	kind := []struct {
		name  string
		first syscall.Signal
		then  syscall.Signal
	}{{"SIGTERM", syscall.SIGTERM, 0}, {"SIGKILL", syscall.SIGKILL, 0}, {"SIGSTOP", syscall.SIGSTOP, syscall.SIGCONT},
		{"SIGHUP", syscall.SIGHUP, 0}, {"SIGTERM, then SIGKILL", syscall.SIGTERM, syscall.SIGKILL}}[r.IntN(5)]
	count := 1 + r.IntN(max(daemons/2, 1))
	first := r.IntN(daemons)
	gap := time.Duration(r.IntN(3)) * 400 * time.Millisecond
	var steps []step
	for n := range count {
		i := (first + n) % daemons
		steps = append(steps, step{at + time.Duration(n)*gap, fmt.Sprintf("%s to vm-%d", kind.name, i), func(s *site) {
			s.daemons[i].signal(kind.first)
			if kind.then != 0 {
				time.AfterFunc(span, func() { s.daemons[i].signal(kind.then) })
			}
		}})
	}
	return steps
}

// ways harm the connections to a target.
func ways(r *rand.Rand, at, span time.Duration) []step {
	mode, pick := Mode(1+r.IntN(4)), r.Uint64()
	return []step{{at, fmt.Sprintf("the way to a target: %s for %v", mode, span), func(s *site) {
		if t := s.pick(pick); t != nil {
			s.mu.Lock()
			t.harmed = time.Now()
			s.mu.Unlock()
			t.proxy.set(mode)
			time.AfterFunc(span, func() { t.proxy.set(Pass) })
		}
	}}}
}

// spoils are the ways in which a target treats requests badly.
var spoils = []endpoint.Fault{endpoint.Crash, endpoint.LoseAnswer, endpoint.Cut, endpoint.Garbage, endpoint.Extra, endpoint.Shed,
	endpoint.Unproven, endpoint.Fail, endpoint.Unframed, endpoint.UnframedReset, endpoint.Dark, endpoint.Early}

// targetFaults let two targets spoil requests in two ways. The ways are taken in
// an order that the seed shuffles, so that few seeds cover all.
func (d *draw) targetFaults(at, span time.Duration) []step {
	var steps []step
	for range 2 {
		f, every, pick := d.ways[d.next%len(d.ways)], 1+d.IntN(6), d.Uint64()
		d.next++
		steps = append(steps, step{at, fmt.Sprintf("a target spoils one of %d requests (fault %d) for %v", every, f, span), func(s *site) {
			if t := s.pick(pick); t != nil {
				t.spoil(f, every, span)
			}
		}})
	}
	return steps
}

// targetChanges let targets leave, die, or give their address to another.
func targetChanges(r *rand.Rand, at time.Duration) []step {
	kind, pick := r.IntN(3), r.Uint64()
	name := [...]string{"a target leaves", "a target dies", "a target's address goes to another service"}[kind]
	return []step{{at, name, func(s *site) {
		t := s.pick(pick)
		if err := s.addTarget(); err != nil || t == nil {
			s.findings.add("target not started: %v", err)
			return
		}
		switch kind {
		case 0:
			s.leave(t)
		case 1:
			s.remove(t, false)
		case 2:
			if err := s.giveAddress(t); err != nil {
				s.findings.add("target not started: %v", err)
			}
		}
	}}}
}

func storeFaults(r *rand.Rand, at, span time.Duration) []step {
	kinds := []struct {
		name   string
		faults metastore.Faults
		mode   Mode
	}{{"silent", metastore.Faults{Silent: metastore.All}, Pass}, {"busy", metastore.Faults{Busy: metastore.All}, Pass},
		{"limiting", metastore.Faults{Limited: metastore.All}, Pass}, {"slow", metastore.Faults{Delay: 250 * time.Millisecond}, Pass},
		{"losing answers", metastore.Faults{LoseWrites: true}, Pass}, {"reset", metastore.Faults{}, Reset}, {"cut one way", metastore.Faults{}, OneWay},
		{"forgetful", metastore.Faults{}, Pass}}
	k := kinds[r.IntN(len(kinds))]
	return []step{{at, fmt.Sprintf("the store is %s for %v", k.name, span), func(s *site) {
		if k.name == "forgetful" {
			s.store.Forget()
			return
		}
		s.harmStore(k.faults, k.mode, span)
	}}}
}

// grownBy is how many routes the last of three configurations in a row adds: enough that
// it goes from VM to VM in many parts.
const grownBy = 1000

// configurations come in quick succession, each with a route of its own; the last of three
// grows by many.
func configurations(r *rand.Rand, at time.Duration) []step {
	var steps []step
	for n := range 1 + r.IntN(3) {
		what := "a configuration adds a route"
		if n == 2 {
			what = fmt.Sprintf("a configuration adds %d routes", grownBy)
		}
		steps = append(steps, step{at + time.Duration(n)*150*time.Millisecond, what, func(s *site) {
			if n == 2 {
				s.grow(grownBy - 1)
			}
			s.mu.Lock()
			name := fmt.Sprint("added-", len(s.routes))
			s.mu.Unlock()
			s.addRoute(name, "safe")
			s.configure()
			go s.expectRoute(name)
		}})
	}
	return steps
}

// pick returns one of the live targets, and none when few are left.
func (s *site) pick(n uint64) *target {
	live := s.live()
	if len(live) < 3 {
		return nil
	}
	sort.Slice(live, func(i, j int) bool { return live[i].name < live[j].name })
	return live[n%uint64(len(live))]
}
