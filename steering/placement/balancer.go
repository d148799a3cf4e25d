package placement

import (
	"math"
	"slices"
	"time"

	"heatherlock/steering"
	"heatherlock/steering/rendezvous"
	"heatherlock/steering/runtimes"
)

// Balancer holds what one entry VM knows about all targets. It is not safe for concurrent use.
type Balancer struct {
	vm       steering.VM
	region   steering.Region
	byName   map[steering.Target]*targetState
	services map[steering.Service]*serviceState
	// unreachable zones have no entry VM that answers this one.
	unreachable map[steering.Zone]bool
	// peers holds the hashes of the other entry VMs that send to cold targets, by region, for the
	// regions in which this one does. peersVersion is incremented with each change of what decides
	// that.
	peers        map[steering.Region][]uint64
	peersVersion int
	lending      RegionSplit
	// coldSenders is how many entry VMs may send requests to one cold target.
	coldSenders int
	// leavingPeers is how many other VMs of this region leave.
	leavingPeers int
	// storeReadAt is as of when the store is known; zero if it is not.
	storeReadAt time.Time
	replaced    replacements
	notices     notices
	runTimes    *runtimes.Model
	// owned reports whether this VM owns a target; nil if targets have no owners.
	owned func(Target) bool
	// ownersSince is since when the owners are the same.
	ownersSince time.Time
	// weightSteps holds the targets with a weight below 1, also those that are not declared now.
	weightSteps map[steering.Target]int
	// sampled holds the targets with load samples.
	sampled []*targetState
}

// NewBalancer returns a balancer without targets for the entry VM vm in region.
func NewBalancer(vm steering.VM, region steering.Region) *Balancer {
	return &Balancer{vm: vm, region: region,
		byName: make(map[steering.Target]*targetState), services: make(map[steering.Service]*serviceState),
		unreachable: make(map[steering.Zone]bool), peers: make(map[steering.Region][]uint64),
		lending: RegionSplit{}, coldSenders: maxColdSenders, replaced: newReplacements(), notices: make(notices), runTimes: runtimes.New()}
}

// SetColdSlack sets how many requests per second all entry VMs together may send to a cold target
// beyond its rate. Each entry VM that may send to the target can send a burst of one request, so
// slack limits their number.
func (b *Balancer) SetColdSlack(slack float64) {
	b.coldSenders = min(max(int(slack), 1), maxColdSenders)
	b.peersVersion++
}

// SetTargets replaces the declared targets and returns the names of those that have restarted. What
// was learned about targets that remain is kept.
func (b *Balancer) SetTargets(targets []Target) (restarted []steering.Target) {
	declared := make(map[steering.Target]bool, len(targets))
	for _, t := range targets {
		declared[t.Name] = true
	}
	var removed []steering.Target
	for name := range b.byName {
		if !declared[name] {
			removed = append(removed, name)
		}
	}
	return b.UpdateTargets(targets, removed)
}

// UpdateTargets declares the changed targets and removes others. It returns the names of those that
// have restarted. What was learned about the other targets is kept.
//
// A restarted target starts without any of it: the new process is cold, the requests of the old
// process ended with it, and failures of the old process say nothing about the new one.
func (b *Balancer) UpdateTargets(changed []Target, removed []steering.Target) (restarted []steering.Target) {
	for _, name := range removed {
		if s := b.byName[name]; s != nil {
			b.drop(s)
		}
	}
	for _, t := range changed {
		s := b.byName[t.Name]
		if s != nil && s.Generation != t.Generation {
			restarted = append(restarted, t.Name)
			b.drop(s)
			s = nil
		}
		b.declare(s, t)
	}
	return restarted
}

// declare updates a target's declared properties; s is nil for a target that is not known.
func (b *Balancer) declare(s *targetState, t Target) {
	if s == nil {
		s = &targetState{Target: Target{Name: t.Name}, hash: rendezvous.Hash(string(t.Name))}
		b.byName[t.Name] = s
		b.applyWeight(s)
	}
	b.replaced.forget(s)
	v := b.service(t.Service)
	if s.service != v {
		s.leaveService()
		s.joinService(v)
	}
	s.applyDeclared(t, b.notices.leaving(t))
	if b.notices.of(t) != nil {
		v.noticed[s] = true
	}
	v.tables = nil
	b.replaced.declare(s)
}

// drop removes a target and all that was learned about it.
func (b *Balancer) drop(s *targetState) {
	delete(b.byName, s.Name)
	b.runTimes.Forget(s.Name)
	b.replaced.forget(s)
	s.leaveService()
}

// Generation returns the declared start of a target; declared is false for an unknown target.
func (b *Balancer) Generation(name steering.Target) (generation steering.Generation, declared bool) {
	s := b.byName[name]
	if s == nil {
		return 0, false
	}
	return s.Generation, true
}

// stateOf returns the state of a target, or nil if the target is gone or has restarted since t was
// declared.
func (b *Balancer) stateOf(t Target) *targetState {
	s := b.byName[t.Name]
	if s == nil || s.Generation != t.Generation {
		return nil
	}
	return s
}

// SetPeers sets the entry VMs that share the requests to cold targets, by region. If this one is not
// among them, it sends none.
func (b *Balancer) SetPeers(peers map[steering.Region][]steering.VM) {
	b.peers = make(map[steering.Region][]uint64, len(peers))
	for region, names := range peers {
		if !slices.Contains(names, b.vm) {
			continue
		}
		hashes := make([]uint64, 0, len(names))
		for _, name := range names {
			if name != b.vm {
				hashes = append(hashes, rendezvous.Hash(string(name)))
			}
		}
		b.peers[region] = hashes
	}
	b.peersVersion++
}

// SetUnreachableZones sets the zones that cannot be reached from this entry VM.
func (b *Balancer) SetUnreachableZones(unreachable map[steering.Zone]bool) {
	b.unreachable = unreachable
}

// SetRegionSplit sets how the keys of each region are divided between regions.
func (b *Balancer) SetRegionSplit(l RegionSplit) { b.lending = l }

func (b *Balancer) service(name steering.Service) *serviceState {
	v := b.services[name]
	if v == nil {
		v = newServiceState()
		b.services[name] = v
	}
	return v
}

// CountRelayed counts a request that another entry VM passed on. Its demand is counted there.
func (b *Balancer) CountRelayed(service steering.Service) { b.service(service).addOverflowToken() }

// CountRequest counts a request from a caller for the demand that is reported to peers. If the
// request may run in one region only, bound is that region; otherwise it is empty.
func (b *Balancer) CountRequest(now time.Time, service steering.Service, bound steering.Region) {
	v := b.service(service)
	v.arrivals.add(now, 1)
	if bound != "" {
		v.pinnedTo(bound).add(now, 1)
	}
	v.addOverflowToken()
}

func (v *serviceState) addOverflowToken() {
	v.overflowTokens = math.Min(overflowBurst, v.overflowTokens+overflowRate)
}

// Demand returns the demand of this entry VM's callers by service.
func (b *Balancer) Demand(now time.Time) DemandOf {
	demand := make(DemandOf, len(b.services))
	for name, v := range b.services {
		if rate := v.arrivals.value(now); rate > 0 {
			demand[name] = Demand{Rate: float32(rate), RunMs: float32(v.warmTime * 1000), Runs: uint16(min(v.warmSamples, maxRuns)), Bound: v.pinnedRates(now)}
		}
	}
	return demand
}

// SetServiceTimes sets the service times to those observed by all entry VMs, for services of which
// this entry VM has too few samples of its own.
func (b *Balancer) SetServiceTimes(runs DemandOf) {
	for name, reported := range runs {
		if v := b.service(name); v.samples < minSamples && reported.Runs >= minSamples {
			v.setTimes(float64(reported.RunMs) / 1000)
		}
	}
}

// Slots returns the open slots by service and region: those of targets that are neither closed nor
// ejected nor in an unreachable zone. Of a target that names a limit only as many count as that
// keeps occupied, and of one that rests none.
func (b *Balancer) Slots(now time.Time) Slots {
	slots := make(Slots)
	for name, v := range b.services {
		byRegion := make(map[steering.Region]float64)
		for region, t := range v.openTargets() {
			if n := t.slotsWithout(b.unreachable); n > 0 {
				byRegion[region] = n
			}
		}
		for s := range v.ejected {
			if !s.Closed && !b.unreachable[s.Zone] {
				byRegion[s.Region] -= float64(s.Slots)
			}
		}
		for s := range v.noticed {
			if b.notices.limitOf(s.Target) == nil && !b.notices.resting(now, s.Target) {
				delete(v.noticed, s)
			} else if !s.Closed && !s.ejected && !b.unreachable[s.Zone] {
				byRegion[s.Region] -= float64(s.Slots) - b.usableSlots(now, v, s)
			}
		}
		for region, n := range byRegion {
			if n <= 0 {
				delete(byRegion, region)
			}
		}
		slots[name] = byRegion
	}
	return slots
}

// RequestPlaced records that a request was placed on a target. A call of RequestEnded or NotSent
// must follow.
func (b *Balancer) RequestPlaced(now time.Time, t Target, key string, probe bool) {
	if s := b.stateOf(t); s != nil {
		s.inFlight++
		s.coldChecks.countPlaced(now)
		s.probing = s.probing || probe
		if s.service.uneven(now) {
			b.runPlaced(now, s, key)
		}
		s.recordKey(now, key)
	}
}

// RequestEnded records the result of an exchange; queued says that the request was expected to wait
// at the target. Results of an earlier start of the target are ignored.
func (b *Balancer) RequestEnded(now time.Time, t Target, r Report, probe bool, queued bool) {
	s := b.stateOf(t)
	if s == nil {
		return
	}
	s.release(probe)
	s.applyLoad(now, r)
	b.runEnded(now, s, r, queued)
	if !queued && !r.Saturated(s.Slots) {
		s.service.observeOccupancy(r)
	}
	b.sampleLoad(now, s, r)
	switch r.Outcome {
	case Served:
		s.recordSuccess()
		if !queued && !r.Saturated(s.Slots) {
			b.observe(s, r.Latency.Seconds())
		}
	case Failed:
		s.recordFailure(now, false)
	case Shed:
		if !r.queueFull(s.Slots) && !b.notices.resting(now, t) {
			s.recordFailure(now, false)
		}
	case Unreachable:
		s.consecutiveBreaks = maxConsecutiveBreaks
		s.recordFailure(now, true)
	case Broken, Silent:
		s.recordFailure(now, true)
	case Replaced:
		b.replaced.add(now, s)
	case Abandoned:
	}
}

// Saturated reports whether requests waited at the target or all its slots were taken when it
// answered. Then the request has most likely waited as well.
func (r Report) Saturated(slots int) bool {
	return r.LoadKnown && (r.Waiting > 0 || r.Running >= slots)
}

// queueFull reports whether a target that refused a request was full: all slots taken, and at least
// as many requests waiting.
//
// Such a refusal is not counted as a failure. If it were, the target would be ejected, its slots
// would no longer count when keys are divided between regions, and the next requests would go to
// targets where their keys are cold. A target that refuses while it has free slots does fail.
func (r Report) queueFull(slots int) bool {
	return r.LoadKnown && r.Running >= slots && r.Waiting >= slots
}

// observe adds the service time of a request that did not wait.
//
// The times of a service exclude requests that waited and, unless the service has no targets in
// this region, those that ran in other regions. With them the times would grow with every queue and
// with the share of keys that other regions serve, and so would the demand that is computed from
// the times.
func (b *Balancer) observe(s *targetState, serviceTime float64) {
	if serviceTime <= 0 {
		return
	}
	if v := b.service(s.Service); s.Region == b.region || !v.servedIn(b.region) {
		v.observe(serviceTime)
	}
	if s.serviceTime == 0 {
		s.serviceTime = serviceTime
		return
	}
	s.serviceTime += ewmaWeight * (serviceTime - s.serviceTime)
}

// servedIn reports whether a service has open targets in a region.
func (v *serviceState) servedIn(region steering.Region) bool { return v.openTargets()[region] != nil }

// usableSlots returns how many of its slots a target can have occupied, as its notices say.
func (b *Balancer) usableSlots(now time.Time, v *serviceState, s *targetState) float64 {
	limit := b.notices.limitOf(s.Target)
	switch {
	case b.notices.resting(now, s.Target):
		return 0
	case limit != nil:
		return math.Min(float64(s.Slots), limit.PerSecond*b.slotTime(v, s))
	}
	return float64(s.Slots)
}

// Ejected returns the ejected targets, for status and metrics.
func (b *Balancer) Ejected() []steering.Target {
	var names []steering.Target
	for _, v := range b.services {
		for s := range v.ejected {
			names = append(names, s.Name)
		}
	}
	return names
}

// slotTime returns how long a request occupies a slot of the target, in seconds.
func (b *Balancer) slotTime(v *serviceState, s *targetState) float64 {
	if s.serviceTime == 0 {
		return v.meanTime
	}
	return math.Max(s.serviceTime, v.warmTime)
}

// NotSent records that a request did not reach the target that it was placed on.
func (b *Balancer) NotSent(now time.Time, t Target, o Outcome, probe bool) {
	s := b.stateOf(t)
	if s == nil {
		return
	}
	s.release(probe)
	if o == Unreachable {
		s.consecutiveBreaks = maxConsecutiveBreaks
		s.recordFailure(now, true)
	}
}

// release undoes what RequestPlaced recorded about the request in flight.
func (s *targetState) release(probe bool) {
	s.inFlight = max(s.inFlight-1, 0)
	if probe {
		s.probing = false
	}
}
