package placement

import (
	"math"
	"sort"
	"time"

	"heatherlock/steering"
	"heatherlock/steering/rendezvous"
)

// Balancer holds what one entry VM knows of all targets. It is not safe for
// concurrent use.
type Balancer struct {
	vm       steering.VM
	region   steering.Region
	byName   map[steering.Target]*state
	services map[steering.Service]*serviceState
	// dark zones have no entry VM that answers this one.
	dark map[steering.Zone]bool
	// peers are the live entry VMs by region, this one included.
	peers   map[steering.Region][]steering.VM
	lending Lending
	// coldOwners is how many entry VMs may send to one cold target.
	coldOwners int
	replaced   replacements
}

// NewBalancer returns an empty balancer of the entry VM vm in region.
func NewBalancer(vm steering.VM, region steering.Region) *Balancer {
	return &Balancer{vm: vm, region: region,
		byName: make(map[steering.Target]*state), services: make(map[steering.Service]*serviceState),
		dark: make(map[steering.Zone]bool), peers: make(map[steering.Region][]steering.VM),
		lending: Lending{}, coldOwners: mostColdOwners, replaced: newReplacements()}
}

// SetColdSlack tells the slack of the bound on what a cold target gets in a
// second, over all entry VMs: each that may send to it bursts by one.
func (b *Balancer) SetColdSlack(slack float64) {
	b.coldOwners = min(max(int(slack), 1), mostColdOwners)
}

// SetTargets replaces the declared targets; what was learned of those that stay
// is kept. It returns those that have started again under their name.
//
// A new start inherits nothing from the one before: it is cold, its predecessor's requests
// ended with it, and what that did is not held against it.
func (b *Balancer) SetTargets(targets []Target) (restarted []steering.Target) {
	next := make(map[steering.Target]*state, len(targets))
	for _, v := range b.services {
		v.targets = nil
	}
	for _, t := range targets {
		s := b.byName[t.Name]
		if s != nil && s.Generation != t.Generation {
			restarted = append(restarted, t.Name)
			s = nil
		}
		if s == nil {
			s = &state{hash: rendezvous.Hash(string(t.Name))}
		}
		s.declared(t)
		next[t.Name] = s
		v := b.service(t.Service)
		v.targets = append(v.targets, s)
	}
	for _, v := range b.services {
		sort.Slice(v.targets, func(i, j int) bool { return v.targets[i].Name < v.targets[j].Name })
	}
	b.byName = next
	b.replaced.declare(next)
	return restarted
}

// Generation returns the start of a target as it is declared; declared is false if it is not.
func (b *Balancer) Generation(name steering.Target) (generation steering.Generation, declared bool) {
	s := b.byName[name]
	if s == nil {
		return 0, false
	}
	return s.Generation, true
}

// stateOf returns what is known of a target if that start of it is still the last
// one; nil otherwise.
func (b *Balancer) stateOf(t Target) *state {
	s := b.byName[t.Name]
	if s == nil || s.Generation != t.Generation {
		return nil
	}
	return s
}

// SetPeers tells which entry VMs live, this one included.
func (b *Balancer) SetPeers(peers map[steering.Region][]steering.VM) { b.peers = peers }

// SetDark tells which zones cannot be reached from here.
func (b *Balancer) SetDark(dark map[steering.Zone]bool) { b.dark = dark }

// SetLending sets how each region's keys are divided.
func (b *Balancer) SetLending(l Lending) { b.lending = l }

func (b *Balancer) service(name steering.Service) *serviceState {
	v := b.services[name]
	if v == nil {
		v = newServiceState()
		b.services[name] = v
	}
	return v
}

// Arrived counts a request of a caller, for the demand told to peers. Bound is the one
// region in which it may run, empty if there are several.
func (b *Balancer) Arrived(now time.Time, service steering.Service, bound steering.Region) {
	v := b.service(service)
	v.arrivals.add(now, 1)
	if bound != "" {
		v.boundTo(bound).add(now, 1)
	}
	v.overflow = math.Min(overflowBurst, v.overflow+overflowShare)
}

// Demand returns what this entry VM's callers ask, by service.
func (b *Balancer) Demand(now time.Time) DemandOf {
	demand := make(DemandOf, len(b.services))
	for name, v := range b.services {
		if rate := v.arrivals.value(now); rate > 0 {
			demand[name] = Demand{Rate: float32(rate), RunMs: float32(v.fast * 1000), Runs: uint16(min(v.runs, mostRuns)), Bound: v.boundRates(now)}
		}
	}
	return demand
}

// Learn takes in what all entry VMs know of the services' times, where this one
// has seen little itself.
func (b *Balancer) Learn(runs DemandOf) {
	for name, told := range runs {
		if v := b.service(name); v.seen < enoughRuns && told.Runs >= enoughRuns {
			v.guessed(float64(told.RunMs) / 1000)
		}
	}
}

// Slots returns the open slots by service and region.
func (b *Balancer) Slots() Slots {
	slots := make(Slots)
	for name, v := range b.services {
		byRegion := make(map[steering.Region]float64)
		for _, s := range v.targets {
			if !s.Closed && !s.ejected && !b.dark[s.Zone] {
				byRegion[s.Region] += float64(s.Slots)
			}
		}
		slots[name] = byRegion
	}
	return slots
}

// Began notes that a request was placed on a target. Ended or NotSent has to
// follow.
func (b *Balancer) Began(now time.Time, t Target, key string, trial bool) {
	if s := b.stateOf(t); s != nil {
		s.sent++
		s.trying = s.trying || trial
		s.remember(now, key)
	}
}

// Ended notes how an exchange ended. What an earlier start of the target did is not
// held against the present one.
func (b *Balancer) Ended(now time.Time, t Target, r Report, trial bool, queued bool) {
	s := b.stateOf(t)
	if s == nil {
		return
	}
	s.release(trial)
	s.reported(now, r)
	switch r.Outcome {
	case Served:
		s.succeed()
		if !queued && !r.Crowded(s.Slots) {
			b.learn(s, r.Took.Seconds())
		}
	case Failed:
		s.fail(now, false)
	case Shed:
		if !r.overfull(s.Slots) {
			s.fail(now, false)
		}
	case Unreachable:
		s.breaks = hardLimit
		s.fail(now, true)
	case Broken, Silent:
		s.fail(now, true)
	case Replaced:
		b.replaced.note(now, s)
	case Abandoned:
	}
}

// Crowded reports whether others waited at the target, or all its slots were taken,
// when it answered: then most likely the request had waited itself.
func (r Report) Crowded(slots int) bool {
	return r.LoadKnown && (r.Waiting > 0 || r.Running >= slots)
}

// overfull reports whether a target that refused a request was as full as it can be
// expected to get: all slots taken, and as many waiting.
//
// Such a refusal is no failure: a target that is ejected for it takes its slots out of
// lending, and the next requests go where they start cold. One that refuses with slots
// free does fail.
func (r Report) overfull(slots int) bool {
	return r.LoadKnown && r.Running >= slots && r.Waiting >= slots
}

// learn takes in the time of a run that did not wait.
//
// The times of a service take in neither runs in other regions nor waits: they would grow
// with what is lent and with every queue, and demand, which rests on them, with them.
func (b *Balancer) learn(s *state, took float64) {
	if took <= 0 {
		return
	}
	if v := b.service(s.Service); s.Region == b.region || !v.servedIn(b.region) {
		v.learn(took)
	}
	if s.took == 0 {
		s.took = took
		return
	}
	s.took += learnShare * (took - s.took)
}

// servedIn reports whether a service has targets in a region.
func (v *serviceState) servedIn(region steering.Region) bool {
	for _, s := range v.targets {
		if s.Region == region && !s.Closed {
			return true
		}
	}
	return false
}

// Ejected returns the targets that are passed over, for status and metrics.
func (b *Balancer) Ejected() []steering.Target {
	var names []steering.Target
	for name, s := range b.byName {
		if s.ejected {
			names = append(names, name)
		}
	}
	return names
}

// pace is the time a slot of the target is busy with a request, seconds.
func (b *Balancer) pace(v *serviceState, s *state) float64 {
	if s.took == 0 {
		return v.mean
	}
	return math.Max(s.took, v.fast)
}

// NotSent notes a try that reached no target.
func (b *Balancer) NotSent(now time.Time, t Target, o Outcome, trial bool) {
	s := b.stateOf(t)
	if s == nil {
		return
	}
	s.release(trial)
	if o == Unreachable {
		s.breaks = hardLimit
		s.fail(now, true)
	}
}

// release ends what Began began.
func (s *state) release(trial bool) {
	s.sent = max(s.sent-1, 0)
	if trial {
		s.trying = false
	}
}
