package placement_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/steering"
	"heatherlock/steering/placement"
)

// The load that this plays: three regions whose callers ask alike, with 14, 12 and 2
// targets of 6 slots; a warm run takes 150 ms, a cold one 500 ms, the aim is 400 ms.
const (
	loadAim   = 400 * time.Millisecond
	warmRun   = 150 * time.Millisecond
	coldRun   = 500 * time.Millisecond
	tick      = 5 * time.Millisecond
	loadSlots = 6
	loadKeys  = 90 // a region
	keptWarm  = 43 // keys a target
)

// loadRegions are the regions and their targets.
var loadRegions = map[steering.Region]int{"norte": 14, "centro": 12, "sur": 2}

// job is a request at a target.
type job struct {
	vm     *placement.Balancer
	region steering.Region // of its caller
	pick   placement.Pick
	key    string
	sent   time.Time
	ends   time.Time // zero while it waits
}

// server is a target of the played load.
type server struct {
	running, waiting []*job
	warm             map[string]time.Time
}

// start begins runs while there are slots.
func (s *server) start(now time.Time) {
	for len(s.running) < loadSlots && len(s.waiting) > 0 {
		j := s.waiting[0]
		s.waiting = s.waiting[1:]
		run := coldRun
		if _, warm := s.warm[j.key]; warm {
			run = warmRun
		}
		j.ends = now.Add(run)
		s.keep(now, j.key)
		s.running = append(s.running, j)
	}
}

// keep notes that a key is warm, and forgets the one used longest ago.
func (s *server) keep(now time.Time, key string) {
	s.warm[key] = now
	if len(s.warm) <= keptWarm {
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

// end takes the runs that are over.
func (s *server) end(now time.Time) (done []*job) {
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

// tally is what a region's callers got.
type tally struct{ asked, inAim, refused int }

// play is a deployment of a few entry VMs a region, of which callers use any.
type play struct {
	perRegion int
	random    *rand.Rand
	now       time.Time
	targets   []placement.Target
	servers   map[steering.Target]*server
	vms       map[steering.Region][]*placement.Balancer
	lending   placement.Lending
	stepAt    time.Time
	tallies   map[steering.Region]*tally
	perSlice  float64 // requests a region and tick
	// keyOf draws the key of a request of a region's callers.
	keyOf func(steering.Region) string
	// bySpace, when set, holds what callers of each workspace got: the last part of a key
	// names it.
	bySpace map[string]*tally
}

func newPlay(perSecond float64) *play { return newPlayOf(1, perSecond) }

// newPlayOf plays so many entry VMs a region.
func newPlayOf(perRegion int, perSecond float64) *play {
	p := &play{perRegion: perRegion, random: rand.New(rand.NewPCG(1, 2)), now: start, servers: make(map[steering.Target]*server),
		perSlice: perSecond * tick.Seconds()}
	for _, region := range []steering.Region{"norte", "centro", "sur"} {
		for n := range loadRegions[region] {
			t := placement.Target{Name: steering.Target(fmt.Sprint(region, n)), Service: service, Region: region,
				Zone: steering.Zone(fmt.Sprint(region, n%2)), Slots: loadSlots}
			p.targets = append(p.targets, t)
			p.servers[t.Name] = &server{warm: make(map[string]time.Time)}
		}
	}
	p.keyOf = func(region steering.Region) string {
		return fmt.Sprint(region, "-key-", p.random.IntN(loadKeys))
	}
	p.startVMs()
	return p
}

// space returns the tally of a key's workspace.
func (p *play) space(key string) *tally {
	if p.bySpace == nil {
		return &tally{}
	}
	name := key[strings.LastIndexByte(key, '-')+1:]
	if p.bySpace[name] == nil {
		p.bySpace[name] = &tally{}
	}
	return p.bySpace[name]
}

// startVMs begins with entry VMs that know nothing.
func (p *play) startVMs() {
	p.vms, p.lending = make(map[steering.Region][]*placement.Balancer), nil
	for region := range loadRegions {
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
	p.know(p.targets)
	p.stepAt = p.now.Add(time.Second)
}

// know tells all entry VMs the targets.
func (p *play) know(targets []placement.Target) {
	for _, b := range p.all() {
		b.SetTargets(targets)
	}
}

// all returns the entry VMs.
func (p *play) all() []*placement.Balancer {
	var all []*placement.Balancer
	for _, region := range []steering.Region{"norte", "centro", "sur"} {
		all = append(all, p.vms[region]...)
	}
	return all
}

// lend makes a step of lending on each entry VM.
func (p *play) lend() {
	demand := make(map[steering.Region]placement.DemandOf)
	for region, vms := range p.vms {
		demand[region] = make(placement.DemandOf)
		for _, b := range vms {
			demand[region].AddAll(b.Demand(p.now))
		}
	}
	p.lending = placement.NextLending(p.lending, placement.Situation{Demand: demand, Slots: p.all()[0].Slots(), Regions: len(loadRegions), ShiftShare: 0.15})
	for _, b := range p.all() {
		b.Learn(placement.Runs(demand))
		b.SetLending(p.lending)
	}
}

// ask lets each region's callers ask for a tick.
func (p *play) ask() {
	for _, region := range []steering.Region{"norte", "centro", "sur"} {
		n := int(p.perSlice)
		if p.random.Float64() < p.perSlice-float64(n) {
			n++
		}
		for range n {
			p.request(region, p.keyOf(region))
		}
	}
}

func (p *play) request(region steering.Region, key string) {
	p.tallies[region].asked++
	p.space(key).asked++
	b := p.vms[region][p.random.IntN(p.perRegion)]
	b.Arrived(p.now, service, "")
	pick, refusal := b.Choose(p.now, placement.Request{Service: service, Key: key, ID: key, Region: region, Aim: loadAim,
		Left: 2 * time.Second, Rank: 1, Repeatable: true})
	if refusal != nil {
		p.tallies[region].refused++
		return
	}
	b.Began(p.now, pick.Target, key, pick.Trial)
	s := p.servers[pick.Target.Name]
	s.waiting = append(s.waiting, &job{vm: b, region: region, pick: pick, key: key, sent: p.now})
}

// answer ends the runs that are over and reports them.
func (p *play) answer() {
	for _, t := range p.targets {
		s := p.servers[t.Name]
		done := s.end(p.now)
		s.start(p.now)
		for _, j := range done {
			took := p.now.Sub(j.sent)
			if took <= loadAim {
				p.tallies[j.region].inAim++
				p.space(j.key).inAim++
			}
			report := placement.Report{Outcome: placement.Served, Took: took, LoadKnown: true, Running: len(s.running), Waiting: len(s.waiting)}
			j.vm.Ended(p.now, j.pick.Target, report, j.pick.Trial, j.pick.Wait > 0)
		}
	}
}

// run plays for a time, and returns what each region's callers got in it.
func (p *play) run(d time.Duration) map[steering.Region]*tally {
	p.tallies = make(map[steering.Region]*tally)
	for region := range loadRegions {
		p.tallies[region] = &tally{}
	}
	for end := p.now.Add(d); p.now.Before(end); p.now = p.now.Add(tick) {
		p.ask()
		p.answer()
		if !p.now.Before(p.stepAt) {
			p.lend()
			p.stepAt = p.now.Add(time.Second)
		}
	}
	return p.tallies
}

// share is the part of a region's callers that were answered in their aim.
func (t *tally) share() float64 { return float64(t.inAim) / float64(t.asked) }

// Symptom: callers of a region with half of all slots are answered late or refused for half
// a minute after a start. Sequence: targets register one after the other, and a step of
// lending falls in between; then 570 requests a second begin, half of what fits warm.
// Cause: see TestSharesBeforeTrafficFollowTheTargetsKnown. With the shares of that step kept,
// 0.943 of the northern callers were answered in time in the seconds 3 to 10.
func TestEveryRegionIsServedAfterASlowStart(t *testing.T) {
	p := newPlay(190)
	var early []placement.Target
	for _, target := range p.targets {
		if target.Region == "centro" || target.Name == "norte0" || target.Name == "sur0" {
			early = append(early, target)
		}
	}
	p.know(early)
	p.lend()
	p.know(p.targets)
	p.lend()
	p.run(3 * time.Second) // every key is cold
	for region, got := range p.run(7 * time.Second) {
		assert.Assert(t, got.share() > 0.98, "%s: %.3f in time, %d of %d refused", region, got.share(), got.refused, got.asked)
	}
}

// Symptom: after the loss of all entry VMs a region with few targets refuses for ten
// seconds. Sequence: VMs that know nothing start while callers ask as before, 500 a second,
// 0.45 of what fits warm. Cause: see TestRegionOfFewTargetsLendsFromTheFirstStep. Beginning
// with all keys kept, 0.775 of the southern callers were answered in time in the seconds 2 to 7.
func TestEveryRegionIsServedAfterTheLossOfAllEntryVMs(t *testing.T) {
	p := newPlay(500.0 / 3)
	p.run(10 * time.Second)
	p.startVMs()
	p.run(2 * time.Second)
	for region, got := range p.run(5 * time.Second) {
		assert.Assert(t, got.share() > 0.95, "%s: %.3f in time, %d of %d refused", region, got.share(), got.refused, got.asked)
	}
}
