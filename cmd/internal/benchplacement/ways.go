package benchplacement

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"heatherlock/steering"
	"heatherlock/steering/placement"
)

// way chooses targets.
type way interface {
	choose(now time.Time, c *call) (steering.Target, bool)
	ended(now time.Time, c *call, o placement.Outcome)
	lend(now time.Time)
}

// product is the placement of an entry VM, one balancer each.
type product struct {
	sim       *sim
	balancers []*placement.Balancer
	lending   placement.RegionSplit
}

func newProduct(m *sim) way {
	p := &product{sim: m, lending: placement.RegionSplit{}}
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

func (p *product) choose(now time.Time, c *call) (steering.Target, bool) {
	b := p.balancers[c.vm]
	b.CountRequest(now, service, "")
	pick, refusal := b.Choose(now, placement.Request{Service: service, Key: c.key, ID: c.key, Region: regionName(c.region),
		Aim: aim, TimeLeft: deadline - now.Sub(c.began), Retryable: true})
	if refusal != nil {
		c.retryAfter = refusal.RetryAfter
		return "", false
	}
	b.RequestPlaced(now, pick.Target, c.key, pick.Trial)
	c.pick = pick
	return pick.Target.Name, true
}

func (p *product) ended(now time.Time, c *call, o placement.Outcome) {
	r := placement.Report{Outcome: o, Latency: now.Sub(c.sent)}
	if o == placement.Served || o == placement.Shed {
		r.LoadKnown, r.Running, r.Waiting = true, c.target.running, c.target.waiting
	}
	p.balancers[c.vm].RequestEnded(now, c.pick.Target, r, c.pick.Trial, c.pick.Wait > 0)
}

// lend is what entry VMs tell each other of their demand.
func (p *product) lend(now time.Time) {
	demand := make(map[steering.Region]placement.DemandOf)
	for n, b := range p.balancers {
		region := regionName(n / vmsPerRegion)
		if demand[region] == nil {
			demand[region] = make(placement.DemandOf)
		}
		demand[region].AddAll(b.Demand(now))
	}
	p.lending = placement.NextRegionSplit(p.lending, placement.SplitInput{Demand: demand, Slots: p.balancers[0].Slots(), Regions: regionCount, MaxRegionShift: shiftBound})
	for _, b := range p.balancers {
		b.SetRegionSplit(p.lending)
		b.SetServiceTimes(placement.Runs(demand))
	}
}

// simple ways know the load of each target exactly, which no entry VM does, and
// send whatever the queues hold.
type simple struct {
	sim *sim
	// weighed is how many of a key's order are compared; 0 means any of the
	// region, by chance.
	weighed int
}

func (s simple) choose(_ time.Time, c *call) (steering.Target, bool) {
	near := s.near(c)
	if s.weighed == 0 {
		return near[s.sim.random.IntN(len(near))].Name, true
	}
	order := s.sorted(near, c.key)
	best := order[0]
	for _, t := range order[:min(s.weighed, len(order))] {
		if t.running+t.waiting < best.running+best.waiting {
			best = t
		}
	}
	return best.Name, true
}

func (s simple) near(c *call) []*target {
	var near []*target
	for _, t := range s.sim.targets {
		if t.Region == regionName(c.region) {
			near = append(near, t)
		}
	}
	return near
}

func (s simple) sorted(near []*target, key string) []*target {
	scores := make(map[*target]uint64, len(near))
	for _, t := range near {
		scores[t] = xxhash.Sum64String(key + "\x00" + string(t.Name))
	}
	order := append([]*target(nil), near...)
	for i := range order {
		for j := i + 1; j < len(order); j++ {
			if scores[order[j]] > scores[order[i]] {
				order[i], order[j] = order[j], order[i]
			}
		}
	}
	return order
}

func (simple) ended(time.Time, *call, placement.Outcome) {}
func (simple) lend(time.Time)                            {}
