package placement

import (
	"maps"
	"math"
	"sort"

	"heatherlock/steering"
)

// plan is where a service's keys run now, and where they are to run. Loads are in slots
// kept busy by warm runs.
type plan struct {
	room, busy map[steering.Region]float64
	// fixed is what may run in one region alone, whoever asks it.
	fixed map[steering.Region]float64
	// level is how full a region may be before its keys leave it in a hurry: fullEnough,
	// or as full as all regions together are if that is more.
	level float64
	// before and goal are the shares of each region's keys.
	before, goal map[steering.Region]Shares
	// load is what runs in each region as the keys are divided now.
	load map[steering.Region]float64
}

func newPlan(service steering.Service, now Lending, busy, fixed, room map[steering.Region]float64, regions int) *plan {
	p := &plan{room: room, busy: busy, fixed: fixed, level: levelOf(sum(busy)+sum(fixed), sum(room)),
		before: firstShares(room, busy, regions), goal: make(map[steering.Region]Shares), load: make(map[steering.Region]float64)}
	if len(busy) == 0 {
		p.goal = p.before
		return p
	}
	for region := range regionsIn(room, busy) {
		if shares, found := now[service][region]; found {
			p.before[region] = shares
		}
	}
	p.measure()
	p.draw(p.busy)
	return p
}

// firstShares draws shares as if all regions asked the same, and together as much as all
// slots bear: those of a VM that has just started, and those before there is demand. A
// region that has no open slot just now lends all.
func firstShares(room, busy map[steering.Region]float64, regions int) map[steering.Region]Shares {
	equal := make(map[steering.Region]float64)
	for region := range regionsIn(room, busy) {
		equal[region] = sum(room) / float64(max(regions, 1))
	}
	p := &plan{room: room, level: 1, goal: make(map[steering.Region]Shares)}
	p.draw(equal)
	return p.goal
}

// measure sums up what runs where as the keys are divided now.
func (p *plan) measure() {
	maps.Copy(p.load, p.fixed)
	for region, shares := range p.before {
		for to, share := range shares {
			p.load[to] += share * p.busy[region]
		}
	}
}

// draw sets the goal for a demand: each region keeps what its slots bear at the level, and
// the rest goes where there is most room.
func (p *plan) draw(demand map[steering.Region]float64) {
	var surplus float64
	for region, busy := range demand {
		surplus += math.Max(0, busy-p.bears(region))
	}
	taken := p.fill(demand, surplus)
	all := sum(taken)
	for region := range regionsIn(p.room, demand) {
		p.goal[region] = p.sharesOf(region, demand[region], taken, all)
	}
}

// bears is what a region's slots bear at the level beside what has to run there.
func (p *plan) bears(region steering.Region) float64 {
	return math.Max(0, p.level*p.room[region]-p.fixed[region])
}

// sharesOf divides one region's keys, with what the others take of all that is lent.
func (p *plan) sharesOf(region steering.Region, busy float64, taken map[steering.Region]float64, all float64) Shares {
	lent := math.Max(0, busy-p.bears(region))
	if lent == 0 || all == 0 {
		return Shares{region: 1}
	}
	shares := Shares{region: 1 - lent/busy}
	for to, part := range taken {
		if part > 0 {
			shares[to] += lent / busy * part / all
		}
	}
	return shares
}

// fill divides a surplus between the regions that are less full than the level, so that
// all which take some end at one level.
func (p *plan) fill(demand map[steering.Region]float64, surplus float64) map[steering.Region]float64 {
	var takers []steering.Region
	for region, room := range p.room {
		if room > 0 && demand[region] < p.bears(region) {
			takers = append(takers, region)
		}
	}
	runs := func(r steering.Region) float64 { return demand[r] + p.fixed[r] }
	fullness := func(r steering.Region) float64 { return runs(r) / p.room[r] }
	sort.Slice(takers, func(i, j int) bool {
		if fullness(takers[i]) != fullness(takers[j]) {
			return fullness(takers[i]) < fullness(takers[j])
		}
		return takers[i] < takers[j]
	})
	taken := make(map[steering.Region]float64, len(takers))
	var busy, room float64
	for n, region := range takers {
		busy, room = busy+runs(region), room+p.room[region]
		reached := (busy + surplus) / room
		if n+1 < len(takers) && reached > fullness(takers[n+1]) {
			continue // the next one takes some as well
		}
		for _, taker := range takers[:n+1] {
			taken[taker] = math.Max(0, reached*p.room[taker]-runs(taker))
		}
		break
	}
	return taken
}

// distance is the part of a region's keys that has to move to reach the goal.
func (p *plan) distance(region steering.Region) float64 {
	var moved float64
	for to := range regionsIn(p.before[region], p.goal[region]) {
		moved += math.Max(0, p.goal[region][to]-p.before[region][to])
	}
	return moved
}

// step moves a region's shares towards the goal, shortened by a factor: in full where keys
// leave a region that is too full, unhurried elsewhere.
func (p *plan) step(region steering.Region, factor float64) Shares {
	before, goal := p.before[region], p.goal[region]
	moved := p.distance(region)
	next := make(Shares, len(goal))
	for to, share := range before {
		next[to] = share
	}
	if moved == 0 {
		return next
	}
	factor = math.Min(factor, fastestStep/moved)
	for from := range before {
		leaves := math.Max(0, before[from]-goal[from]) * factor
		if !p.tooFull(from) {
			leaves *= unhurried
		}
		for to := range goal {
			next[to] += leaves * math.Max(0, goal[to]-before[to]) / moved
		}
		next[from] -= leaves
	}
	return next.tidy()
}

// noShare is a share too small to hold a key.
const noShare = 1e-6

// tidy drops shares too small to matter; they would never quite reach zero.
func (s Shares) tidy() Shares {
	for region, share := range s {
		if share < noShare {
			delete(s, region)
		}
	}
	return s
}

// tooFull reports whether a region has more to run than the level allows.
func (p *plan) tooFull(region steering.Region) bool {
	return p.load[region] > p.level*p.room[region]
}

// levelOf returns how full a region may be before it lends.
func levelOf(busy, room float64) float64 {
	if room == 0 {
		return fullEnough
	}
	return math.Max(fullEnough, busy/room)
}

func sum(byRegion map[steering.Region]float64) float64 {
	var all float64
	for _, n := range byRegion {
		all += n
	}
	return all
}

// regionsIn returns every region that occurs.
func regionsIn(byRegion ...map[steering.Region]float64) map[steering.Region]bool {
	found := make(map[steering.Region]bool)
	for _, m := range byRegion {
		for region := range m {
			found[region] = true
		}
	}
	return found
}
