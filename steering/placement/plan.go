package placement

import (
	"maps"
	"math"
	"sort"

	"heatherlock/steering"
)

// plan holds how a service's keys are divided between regions now and the goal for it. Capacity and
// loads are in slots that are occupied by requests with warm keys.
type plan struct {
	// capacity is the number of open slots of each region, demand the load that its callers may place
	// in any region.
	capacity, demand map[steering.Region]float64
	// pinned is the load that may run in one region only, by that region.
	pinned map[steering.Region]float64
	// limit is the utilization up to which a region keeps its keys: maxUtilization, or that
	// of all regions together if it is higher.
	limit float64
	// current and goal are the shares of each region's keys.
	current, goal map[steering.Region]Shares
	// load is what runs in each region with the current shares.
	load map[steering.Region]float64
}

func newPlan(service steering.Service, now RegionSplit, demand, pinned, capacity map[steering.Region]float64, regions int) *plan {
	p := &plan{capacity: capacity, demand: demand, pinned: pinned, limit: utilizationLimit(sum(demand)+sum(pinned), sum(capacity)),
		current: initialShares(capacity, demand, regions), goal: make(map[steering.Region]Shares), load: make(map[steering.Region]float64)}
	if len(demand) == 0 {
		p.goal = p.current
		return p
	}
	for region := range regionsOf(capacity, demand) {
		if shares, found := now[service][region]; found {
			p.current[region] = shares
		}
	}
	p.sumLoad()
	p.setGoal(p.demand)
	return p
}

// initialShares returns the shares for equal demand in all regions that together occupies all
// slots. They apply on an entry VM that has just started and while there is no demand. A region
// without open slots offloads all its keys.
func initialShares(capacity, demand map[steering.Region]float64, regions int) map[steering.Region]Shares {
	equal := make(map[steering.Region]float64)
	for region := range regionsOf(capacity, demand) {
		equal[region] = sum(capacity) / float64(max(regions, 1))
	}
	p := &plan{capacity: capacity, limit: 1, goal: make(map[steering.Region]Shares)}
	p.setGoal(equal)
	return p.goal
}

// sumLoad computes the load of each region with the current shares.
func (p *plan) sumLoad() {
	maps.Copy(p.load, p.pinned)
	for region, shares := range p.current {
		for to, share := range shares {
			p.load[to] += share * p.demand[region]
		}
	}
}

// setGoal sets the goal for a demand: each region keeps what its slots can take up to the
// utilization limit, and the rest goes to the least utilized regions.
func (p *plan) setGoal(demand map[steering.Region]float64) {
	var surplus float64
	for region, load := range demand {
		surplus += math.Max(0, load-p.available(region))
	}
	received := p.waterFill(demand, surplus)
	all := sum(received)
	for region := range regionsOf(p.capacity, demand) {
		p.goal[region] = p.regionShares(region, demand[region], received, all)
	}
}

// available returns the slots of a region that unpinned requests may occupy.
func (p *plan) available(region steering.Region) float64 {
	return math.Max(0, p.limit*p.capacity[region]-p.pinned[region])
}

// regionShares returns one region's shares, given how much of the total surplus each region receives.
func (p *plan) regionShares(region steering.Region, load float64, received map[steering.Region]float64, all float64) Shares {
	excess := math.Max(0, load-p.available(region))
	if excess == 0 || all == 0 {
		return Shares{region: 1}
	}
	shares := Shares{region: 1 - excess/load}
	for to, part := range received {
		if part > 0 {
			shares[to] += excess / load * part / all
		}
	}
	return shares
}

// waterFill divides a surplus between the regions that are below the utilization limit, starting
// with the least utilized, so that all regions which receive some reach the same utilization.
func (p *plan) waterFill(demand map[steering.Region]float64, surplus float64) map[steering.Region]float64 {
	var receivers []steering.Region
	for region, capacity := range p.capacity {
		if capacity > 0 && demand[region] < p.available(region) {
			receivers = append(receivers, region)
		}
	}
	regionLoad := func(r steering.Region) float64 { return demand[r] + p.pinned[r] }
	utilization := func(r steering.Region) float64 { return regionLoad(r) / p.capacity[r] }
	sort.Slice(receivers, func(i, j int) bool {
		if utilization(receivers[i]) != utilization(receivers[j]) {
			return utilization(receivers[i]) < utilization(receivers[j])
		}
		return receivers[i] < receivers[j]
	})
	received := make(map[steering.Region]float64, len(receivers))
	var totalLoad, capacity float64
	for n, region := range receivers {
		totalLoad, capacity = totalLoad+regionLoad(region), capacity+p.capacity[region]
		reached := (totalLoad + surplus) / capacity
		if n+1 < len(receivers) && reached > utilization(receivers[n+1]) {
			continue // the next region receives some as well
		}
		for _, receiver := range receivers[:n+1] {
			received[receiver] = math.Max(0, reached*p.capacity[receiver]-regionLoad(receiver))
		}
		break
	}
	return received
}

// distance returns the share of a region's keys that must move to reach the goal.
func (p *plan) distance(region steering.Region) float64 {
	var moved float64
	for to := range regionsOf(p.current[region], p.goal[region]) {
		moved += math.Max(0, p.goal[region][to]-p.current[region][to])
	}
	return moved
}

// step returns a region's shares after one step towards the goal. Moves are shortened by factor,
// and by slowFactor too unless the region that the keys leave is overloaded.
func (p *plan) step(region steering.Region, factor float64) Shares {
	current, goal := p.current[region], p.goal[region]
	moved := p.distance(region)
	next := make(Shares, len(goal))
	for to, share := range current {
		next[to] = share
	}
	if moved == 0 {
		return next
	}
	factor = math.Min(factor, maxStep/moved)
	for from := range current {
		leaving := math.Max(0, current[from]-goal[from]) * factor
		if !p.overloaded(from) {
			leaving *= slowFactor
		}
		for to := range goal {
			next[to] += leaving * math.Max(0, goal[to]-current[to]) / moved
		}
		next[from] -= leaving
	}
	return next.prune()
}

// minShare is the smallest share that is kept; a smaller one holds no key.
const minShare = 1e-6

// prune removes shares below minShare, which the steps would never reduce to exactly zero.
func (s Shares) prune() Shares {
	for region, share := range s {
		if share < minShare {
			delete(s, region)
		}
	}
	return s
}

// overloaded reports whether the load of a region exceeds the utilization limit.
func (p *plan) overloaded(region steering.Region) bool {
	return p.load[region] > p.limit*p.capacity[region]
}

// utilizationLimit returns the utilization up to which a region keeps its keys.
func utilizationLimit(load, capacity float64) float64 {
	if capacity == 0 {
		return maxUtilization
	}
	return math.Max(maxUtilization, load/capacity)
}

func sum(byRegion map[steering.Region]float64) float64 {
	var all float64
	for _, n := range byRegion {
		all += n
	}
	return all
}

// regionsOf returns all regions that occur in the maps.
func regionsOf(byRegion ...map[steering.Region]float64) map[steering.Region]bool {
	found := make(map[steering.Region]bool)
	for _, m := range byRegion {
		for region := range m {
			found[region] = true
		}
	}
	return found
}
