package benchplacement

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"heatherlock/steering"
	"heatherlock/steering/placement"
)

// way is a placement policy, which chooses the targets of requests. Reports call a policy a way.
type way interface {
	// choose returns the target of a request. If it refuses the request, it returns false and may
	// set the request's retryAfter.
	choose(now time.Time, c *request) (steering.Target, bool)
	// finished is called with the outcome of each request that choose gave a target.
	finished(now time.Time, c *request, o placement.Outcome)
	// updateLending recomputes how the keys of each region are split over the regions.
	updateLending(now time.Time)
}

// productPolicy is the placement that entry VMs use, with one balancer for each entry VM.
type productPolicy struct {
	sim       *sim
	balancers []*placement.Balancer
	lending   placement.RegionSplit
}

func newProductPolicy(m *sim) way {
	p := &productPolicy{sim: m, lending: placement.RegionSplit{}}
	peers := make(map[steering.Region][]steering.VM)
	for n := range regionCount * vmsPerRegion {
		region := regionName(n / vmsPerRegion)
		peers[region] = append(peers[region], steering.VM(fmt.Sprint("vm-", n)))
	}
	for n := range regionCount * vmsPerRegion {
		b := placement.NewBalancer(steering.VM(fmt.Sprint("vm-", n)), regionName(n/vmsPerRegion))
		b.SetPeers(peers)
		var all []placement.Target
		for _, t := range m.targets {
			all = append(all, t.Target)
		}
		b.SetTargets(all)
		p.balancers = append(p.balancers, b)
	}
	return p
}

func (p *productPolicy) choose(now time.Time, c *request) (steering.Target, bool) {
	b := p.balancers[c.vm]
	b.CountRequest(now, service, "")
	pick, refusal := b.Choose(now, placement.Request{Service: service, Key: c.key, ID: c.key, Region: regionName(c.region),
		Aim: latencyObjective, TimeLeft: deadline - now.Sub(c.firstArrived), Retryable: true})
	if refusal != nil {
		c.retryAfter = refusal.RetryAfter
		return "", false
	}
	b.RequestPlaced(now, pick.Target, c.key, pick.Trial)
	c.pick = pick
	return pick.Target.Name, true
}

func (p *productPolicy) finished(now time.Time, c *request, o placement.Outcome) {
	r := placement.Report{Outcome: o, Latency: now.Sub(c.sent)}
	if o == placement.Served || o == placement.Shed {
		r.LoadKnown, r.Running, r.Waiting = true, c.target.running, c.target.waiting
	}
	p.balancers[c.vm].RequestEnded(now, c.pick.Target, r, c.pick.Trial, c.pick.Wait > 0)
}

// updateLending simulates the exchange of demand among entry VMs: it sums the demand by region,
// computes the region split from it, and passes the split and the run times of services to every
// balancer.
func (p *productPolicy) updateLending(now time.Time) {
	demand := make(map[steering.Region]placement.DemandOf)
	for n, b := range p.balancers {
		region := regionName(n / vmsPerRegion)
		if demand[region] == nil {
			demand[region] = make(placement.DemandOf)
		}
		demand[region].AddAll(b.Demand(now))
	}
	p.lending = placement.NextRegionSplit(p.lending, placement.SplitInput{Demand: demand, Slots: p.balancers[0].Slots(now), Regions: regionCount, MaxRegionShift: maxShiftShare})
	for _, b := range p.balancers {
		b.SetRegionSplit(p.lending)
		b.SetServiceTimes(placement.Runs(demand))
	}
}

// simplePolicy sends each request to a target of the caller's region and refuses none, however long
// the queues are. It reads the current load of each target without delay, which no entry VM can.
type simplePolicy struct {
	sim *sim
	// candidates is how many targets, from the first of the key's ranking on, are compared by load.
	// 0 chooses any target of the region at random.
	candidates int
}

func (s simplePolicy) choose(_ time.Time, c *request) (steering.Target, bool) {
	regionTargets := s.regionTargets(c)
	if s.candidates == 0 {
		return regionTargets[s.sim.random.IntN(len(regionTargets))].Name, true
	}
	order := s.rankedByHash(regionTargets, c.key)
	best := order[0]
	for _, t := range order[:min(s.candidates, len(order))] {
		if t.running+t.waiting < best.running+best.waiting {
			best = t
		}
	}
	return best.Name, true
}

func (s simplePolicy) regionTargets(c *request) []*target {
	var regionTargets []*target
	for _, t := range s.sim.targets {
		if t.Region == regionName(c.region) {
			regionTargets = append(regionTargets, t)
		}
	}
	return regionTargets
}

// rankedByHash ranks targets for a key by rendezvous hashing.
func (s simplePolicy) rankedByHash(regionTargets []*target, key string) []*target {
	scores := make(map[*target]uint64, len(regionTargets))
	for _, t := range regionTargets {
		scores[t] = xxhash.Sum64String(key + "\x00" + string(t.Name))
	}
	order := append([]*target(nil), regionTargets...)
	for i := range order {
		for j := i + 1; j < len(order); j++ {
			if scores[order[j]] > scores[order[i]] {
				order[i], order[j] = order[j], order[i]
			}
		}
	}
	return order
}

func (simplePolicy) finished(time.Time, *request, placement.Outcome) {}
func (simplePolicy) updateLending(time.Time)                         {}
