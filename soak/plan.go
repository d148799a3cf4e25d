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

// step is one fault of a plan, injected at a time since the start of the run.
type step struct {
	at          time.Duration
	description string
	do          func(*system)
}

// newPlan draws the faults of a seed: one about every 0.45 s, some of them in several
// steps, until recoveryPhase before the end of the run.
func newPlan(seed uint64, length time.Duration, daemons int) []step {
	d := &planner{Rand: rand.New(rand.NewPCG(seed, 7)), faults: slices.Clone(targetFaultKinds)}
	d.Shuffle(len(d.faults), func(i, j int) { d.faults[i], d.faults[j] = d.faults[j], d.faults[i] })
	var plan []step
	for at := 2 * time.Second; at < length-recoveryPhase; at += time.Duration(150+d.IntN(600)) * time.Millisecond {
		plan = append(plan, d.step(at, daemons)...)
	}
	plan = append(plan, workspaceFaults(seed, length)...)
	plan = append(plan, statementFaults(seed, length)...)
	plan = append(plan, restoreFaults(seed, length)...)
	plan = append(plan, linkFaults(seed, length, daemons)...)
	plan = append(plan, slowFaults(seed, length)...)
	sortPlan(plan)
	return plan
}

// thin leaves out all but one in so many faults. Steps that harm nothing or end a fault stay.
func thin(plan []step, sparse int) []step {
	n := 0
	return slices.DeleteFunc(plan, func(st step) bool {
		if st.description == storeCopied || st.description == allowanceRestored {
			return false
		}
		n++
		return sparse > 1 && n%sparse != 0
	})
}

func sortPlan(plan []step) {
	sort.SliceStable(plan, func(i, j int) bool { return plan[i].at < plan[j].at })
}

// planner draws the steps of a plan.
type planner struct {
	*rand.Rand
	faults    []endpoint.Fault
	nextFault int
}

// step draws the next fault, which may take several steps.
func (d *planner) step(at time.Duration, daemons int) []step {
	r := d.Rand
	span := time.Duration(500+r.IntN(3000)) * time.Millisecond
	switch r.IntN(13) {
	case 0, 1, 2:
		return signalFaults(r, at, span, daemons)
	case 3, 4:
		return connectionFaults(r, at, span)
	case 5, 6:
		return d.targetFaults(at, span)
	case 7, 12:
		return targetChanges(r, at)
	case 8, 9:
		return storeFaults(r, at, span)
	}
	return configChanges(r, at)
}

// signalFaults stop, pause, kill and restart up to half of the entry VMs, one after
// another or at the same time.
func signalFaults(r *rand.Rand, at, span time.Duration, daemons int) []step {
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
		steps = append(steps, step{at + time.Duration(n)*gap, fmt.Sprintf("%s to vm-%d", kind.name, i), func(s *system) {
			s.daemons[i].signal(kind.first)
			if kind.then != 0 {
				time.AfterFunc(span, func() { s.daemons[i].signal(kind.then) })
			}
		}})
	}
	return steps
}

// connectionFaults disturb the connections to one target.
func connectionFaults(r *rand.Rand, at, span time.Duration) []step {
	mode, pick := Mode(1+r.IntN(4)), r.Uint64()
	return []step{connectionFault(at, span, mode, pick)}
}

func connectionFault(at, span time.Duration, mode Mode, pick uint64) step {
	return step{at, fmt.Sprintf("the way to a target: %s for %v", mode, span), func(s *system) {
		if t := s.pick(pick); t != nil {
			s.mu.Lock()
			t.disturbedAt = time.Now()
			s.mu.Unlock()
			t.proxy.set(mode)
			time.AfterFunc(span, func() { t.proxy.set(Pass) })
		}
	}}
}

// targetFaultKinds are the faults that a target can apply to its requests.
var targetFaultKinds = []endpoint.Fault{endpoint.Crash, endpoint.LoseAnswer, endpoint.Cut, endpoint.Garbage, endpoint.Extra, endpoint.Shed,
	endpoint.Unproven, endpoint.Fail, endpoint.Unframed, endpoint.UnframedReset, endpoint.Dark, endpoint.Early}

// targetFaults makes two targets apply a fault each to a share of their requests. The
// faults are taken in turn from a list shuffled by the seed, so that few seeds cover all.
func (d *planner) targetFaults(at, span time.Duration) []step {
	var steps []step
	for range 2 {
		f, every, pick := d.faults[d.nextFault%len(d.faults)], 1+d.IntN(6), d.Uint64()
		d.nextFault++
		steps = append(steps, step{at, fmt.Sprintf("a target spoils one of %d requests (fault %d) for %v", every, f, span), func(s *system) {
			if t := s.pick(pick); t != nil {
				t.injectFault(f, every, span)
			}
		}})
	}
	return steps
}

// targetChanges drains a target, stops it without draining, or starts a target of another
// service at its address. A new target replaces it.
func targetChanges(r *rand.Rand, at time.Duration) []step {
	kind, pick := r.IntN(3), r.Uint64()
	name := [...]string{"a target leaves", "a target dies", "a target's address goes to another service"}[kind]
	return []step{{at, name, func(s *system) {
		t := s.pick(pick)
		if err := s.addTarget(); err != nil || t == nil {
			s.findings.add("target not started: %v", err)
			return
		}
		switch kind {
		case 0:
			s.drain(t)
		case 1:
			s.remove(t, false)
		case 2:
			if err := s.reuseAddress(t); err != nil {
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
	return []step{{at, fmt.Sprintf("the store is %s for %v", k.name, span), func(s *system) {
		if k.name == "forgetful" {
			s.store.Forget()
			return
		}
		s.disturbStore(k.faults, k.mode, span)
	}}}
}

// bulkRoutes is how many routes the last of three configurations in a row adds: enough that
// entry VMs send the configuration to one another in many parts.
const bulkRoutes = 1000

// configChanges writes one to three configurations 150 ms apart, each of which adds a route.
// The third one adds bulkRoutes routes.
func configChanges(r *rand.Rand, at time.Duration) []step {
	var steps []step
	for n := range 1 + r.IntN(3) {
		description := "a configuration adds a route"
		if n == 2 {
			description = fmt.Sprintf("a configuration adds %d routes", bulkRoutes)
		}
		steps = append(steps, step{at + time.Duration(n)*150*time.Millisecond, description, func(s *system) {
			if n == 2 {
				s.addIdleRoutes(bulkRoutes - 1)
			}
			s.mu.Lock()
			name := fmt.Sprint("added-", len(s.routes))
			s.mu.Unlock()
			s.addRoute(name, "safe")
			s.writeConfig()
			go s.checkRouteApplied(name)
		}})
	}
	return steps
}

// pick returns one of the live targets, or nil when fewer than three are left.
func (s *system) pick(n uint64) *target {
	live := s.live()
	if len(live) < 3 {
		return nil
	}
	sort.Slice(live, func(i, j int) bool { return live[i].name < live[j].name })
	return live[n%uint64(len(live))]
}
