package placement_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/steering"
	"heatherlock/steering/balance"
	"heatherlock/steering/placement"
)

// The simulation has three regions with equal demand and 14, 12 and 2 targets of 6 slots. A warm
// run takes 150 ms, a cold one 500 ms; the latency objective is 400 ms.
const (
	latencyObjective  = 400 * time.Millisecond
	warmRun           = 150 * time.Millisecond
	coldRun           = 500 * time.Millisecond
	tick              = 5 * time.Millisecond
	slotsPerTarget    = 6
	keysPerRegion     = 90
	warmKeysPerTarget = 43
)

// targetsPerRegion holds the number of targets in each region.
var targetsPerRegion = map[steering.Region]int{"norte": 14, "centro": 12, "sur": 2}

// job is a request at a target.
type job struct {
	vm     *placement.Balancer
	region steering.Region // of the caller
	pick   placement.Pick
	key    string
	sent   time.Time
	ends   time.Time // zero while the request waits
}

// simTarget is a simulated target.
type simTarget struct {
	running, waiting []*job
	warm             map[string]time.Time
	cold             int // runs
}

// startWaiting starts waiting requests while there are free slots.
func (s *simTarget) startWaiting(now time.Time) {
	for len(s.running) < slotsPerTarget && len(s.waiting) > 0 {
		j := s.waiting[0]
		s.waiting = s.waiting[1:]
		run := coldRun
		if _, warm := s.warm[j.key]; warm {
			run = warmRun
		} else {
			s.cold++
		}
		j.ends = now.Add(run)
		s.addWarm(now, j.key)
		s.running = append(s.running, j)
	}
}

// addWarm marks a key as warm, and removes the least recently used key if there are too many.
func (s *simTarget) addWarm(now time.Time, key string) {
	s.warm[key] = now
	if len(s.warm) <= warmKeysPerTarget {
		return
	}
	oldest, at := "", now
	for k, used := range s.warm {
		if used.Before(at) {
			oldest, at = k, used
		}
	}
	delete(s.warm, oldest)
}

// removeFinished removes and returns the requests that have finished.
func (s *simTarget) removeFinished(now time.Time) (done []*job) {
	var left []*job
	for _, j := range s.running {
		if j.ends.After(now) {
			left = append(left, j)
			continue
		}
		done = append(done, j)
	}
	s.running = left
	return done
}

// tally counts the results of a region's callers.
type tally struct{ requests, inTime, refused int }

// simulation is a deployment with a few entry VMs per region. Each caller uses a random entry VM
// of its region.
type simulation struct {
	perRegion int
	random    *rand.Rand
	now       time.Time
	targets   []placement.Target
	servers   map[steering.Target]*simTarget
	vms       map[steering.Region][]*placement.Balancer
	lending   placement.RegionSplit
	nextStep  time.Time
	tallies   map[steering.Region]*tally
	perTick   float64 // requests per region and tick
	// keyOf returns a random key for a request from a region.
	keyOf func(steering.Region) string
	// byWorkspace holds, unless nil, the results by workspace. The last part of a key is the name of
	// its workspace.
	byWorkspace map[string]*tally
	// weights holds, unless nil, what computes the weights of each region's targets from the load samples
	// of all entry VMs.
	weights map[steering.Region]*balance.Region
	moved   int // changes of weights
}

func newSimulation(perSecond float64) *simulation { return newSimulationOf(1, perSecond) }

// newSimulationOf returns a simulation with the given number of entry VMs per region.
func newSimulationOf(perRegion int, perSecond float64) *simulation {
	p := &simulation{perRegion: perRegion, random: rand.New(rand.NewPCG(1, 2)), now: start, servers: make(map[steering.Target]*simTarget),
		perTick: perSecond * tick.Seconds()}
	for _, region := range []steering.Region{"norte", "centro", "sur"} {
		for n := range targetsPerRegion[region] {
			t := placement.Target{Name: steering.Target(fmt.Sprint(region, n)), Service: service, Region: region,
				Zone: steering.Zone(fmt.Sprint(region, n%2)), Slots: slotsPerTarget}
			p.targets = append(p.targets, t)
			p.servers[t.Name] = &simTarget{warm: make(map[string]time.Time)}
		}
	}
	p.keyOf = func(region steering.Region) string {
		return fmt.Sprint(region, "-key-", p.random.IntN(keysPerRegion))
	}
	p.startVMs()
	return p
}

// workspaceTally returns the tally of a key's workspace.
func (p *simulation) workspaceTally(key string) *tally {
	if p.byWorkspace == nil {
		return &tally{}
	}
	name := key[strings.LastIndexByte(key, '-')+1:]
	if p.byWorkspace[name] == nil {
		p.byWorkspace[name] = &tally{}
	}
	return p.byWorkspace[name]
}

// startVMs replaces all entry VMs by new ones without any state.
func (p *simulation) startVMs() {
	p.vms, p.lending = make(map[steering.Region][]*placement.Balancer), nil
	for region := range targetsPerRegion {
		var names []steering.VM
		for n := range p.perRegion {
			names = append(names, steering.VM(fmt.Sprint(region, n)))
		}
		for _, name := range names {
			b := placement.NewBalancer(name, region)
			b.SetPeers(map[steering.Region][]steering.VM{region: names})
			p.vms[region] = append(p.vms[region], b)
		}
	}
	p.setTargets(p.targets)
	p.nextStep = p.now.Add(time.Second)
}

// setTargets sets the targets on all entry VMs.
func (p *simulation) setTargets(targets []placement.Target) {
	for _, b := range p.entryVMs() {
		b.SetTargets(targets)
	}
}

// entryVMs returns the entry VMs.
func (p *simulation) entryVMs() []*placement.Balancer {
	var entryVMs []*placement.Balancer
	for _, region := range []steering.Region{"norte", "centro", "sur"} {
		entryVMs = append(entryVMs, p.vms[region]...)
	}
	return entryVMs
}

// rebalance makes one step of NextRegionSplit for all entry VMs.
func (p *simulation) rebalance() {
	demand := make(map[steering.Region]placement.DemandOf)
	for region, vms := range p.vms {
		demand[region] = make(placement.DemandOf)
		for _, b := range vms {
			demand[region].AddAll(b.Demand(p.now))
		}
	}
	p.lending = placement.NextRegionSplit(p.lending, placement.SplitInput{Demand: demand, Slots: p.entryVMs()[0].Slots(p.now), Regions: len(targetsPerRegion), MaxRegionShift: 0.15})
	for _, b := range p.entryVMs() {
		b.SetServiceTimes(placement.Runs(demand))
		b.SetRegionSplit(p.lending)
	}
}

// sendRequests sends the requests of one tick.
func (p *simulation) sendRequests() {
	for _, region := range []steering.Region{"norte", "centro", "sur"} {
		n := int(p.perTick)
		if p.random.Float64() < p.perTick-float64(n) {
			n++
		}
		for range n {
			p.sendRequest(region, p.keyOf(region))
		}
	}
}

func (p *simulation) sendRequest(region steering.Region, key string) {
	p.tallies[region].requests++
	p.workspaceTally(key).requests++
	b := p.vms[region][p.random.IntN(p.perRegion)]
	b.CountRequest(p.now, service, "")
	r := placement.Request{Service: service, Key: key, ID: key, Region: region, Aim: latencyObjective,
		TimeLeft: 2 * time.Second, Rank: 1, Retryable: true}
	if p.weights != nil { // routes of different rank share the service
		r.Workspace, r.RouteAim, r.RouteRank = true, latencyObjective, p.tallies[region].requests%2
		r.Route = fmt.Sprint("route-", r.RouteRank)
	}
	pick, refusal := b.Choose(p.now, r)
	if refusal != nil {
		p.tallies[region].refused++
		return
	}
	b.RequestPlaced(p.now, pick.Target, key, pick.Trial)
	s := p.servers[pick.Target.Name]
	s.waiting = append(s.waiting, &job{vm: b, region: region, pick: pick, key: key, sent: p.now})
}

// completeRequests completes finished requests and reports them to the entry VMs.
func (p *simulation) completeRequests() {
	for _, t := range p.targets {
		s := p.servers[t.Name]
		done := s.removeFinished(p.now)
		s.startWaiting(p.now)
		for _, j := range done {
			took := p.now.Sub(j.sent)
			if took <= latencyObjective {
				p.tallies[j.region].inTime++
				p.workspaceTally(j.key).inTime++
			}
			report := placement.Report{Outcome: placement.Served, Latency: took, LoadKnown: true, Running: len(s.running), Waiting: len(s.waiting)}
			j.vm.RequestEnded(p.now, j.pick.Target, report, j.pick.Trial, j.pick.Wait > 0)
		}
	}
}

// run simulates a period and returns the results by region.
func (p *simulation) run(d time.Duration) map[steering.Region]*tally {
	p.tallies = make(map[steering.Region]*tally)
	for region := range targetsPerRegion {
		p.tallies[region] = &tally{}
	}
	for end := p.now.Add(d); p.now.Before(end); p.now = p.now.Add(tick) {
		p.sendRequests()
		p.completeRequests()
		if !p.now.Before(p.nextStep) {
			p.rebalance()
			p.moveWeights()
			p.nextStep = p.now.Add(time.Second)
		}
	}
	return p.tallies
}

// inTimeShare returns the share of requests that were answered within the latency objective.
func (t *tally) inTimeShare() float64 { return float64(t.inTime) / float64(t.requests) }

// Guards against shares from a step that fell while targets were still registering one after the
// other, after which 570 requests per second arrive: half of the capacity with warm keys. Callers
// of a region with half of all slots were then answered late or refused for half a minute; with the
// shares of that step kept, 0.943 of the requests from "norte" were answered in time in seconds 3
// to 10. See TestSharesBeforeTrafficFollowKnownTargets.
func TestEveryRegionIsServedAfterASlowStart(t *testing.T) {
	p := newSimulation(190)
	var early []placement.Target
	for _, target := range p.targets {
		if target.Region == "centro" || target.Name == "norte0" || target.Name == "sur0" {
			early = append(early, target)
		}
	}
	p.setTargets(early)
	p.rebalance()
	p.setTargets(p.targets)
	p.rebalance()
	p.run(3 * time.Second) // all keys are cold
	for region, got := range p.run(7 * time.Second) {
		assert.Assert(t, got.inTimeShare() > 0.98, "%s: %.3f in time, %d of %d refused", region, got.inTimeShare(), got.refused, got.requests)
	}
}

// Guards against refusals in a region with few targets in the ten seconds after a loss of all entry
// VMs. VMs without any state start while callers send 500 requests per second, which is 0.45 of the
// capacity with warm keys. When each region started by keeping all its keys, 0.775 of the requests
// from "sur" were answered in time in seconds 2 to 7. See
// TestRegionWithFewTargetsOffloadsFromTheFirstStep.
func TestEveryRegionIsServedAfterTheLossOfAllEntryVMs(t *testing.T) {
	p := newSimulation(500.0 / 3)
	p.run(10 * time.Second)
	p.startVMs()
	p.run(2 * time.Second)
	for region, got := range p.run(5 * time.Second) {
		assert.Assert(t, got.inTimeShare() > 0.95, "%s: %.3f in time, %d of %d refused", region, got.inTimeShare(), got.refused, got.requests)
	}
}
