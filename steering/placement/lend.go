package placement

import (
	"math"
	"sort"

	"heatherlock/steering"
)

// Lending is the share of its keys that a region keeps, by service and region.
// A missing entry means all.
type Lending map[steering.Service]map[steering.Region]float64

func (l Lending) kept(service steering.Service, region steering.Region) float64 {
	if share, found := l[service][region]; found {
		return share
	}
	return 1
}

const (
	// fullEnough is the part of a region's slots that warm demand may keep busy
	// before it lends: above it a queue of a few service times forms.
	fullEnough = 0.65
	// lendUse is the part of what may change region within 2 s that lending moves in
	// a second: a third, since the callers' own changes move traffic as well.
	lendUse = 1.0 / 3
)

// NextLending moves each region's kept share a step towards what its slots
// bear. demand and slots are by service and region, in slots. A region without
// slots keeps nothing; one with room for all keeps all.
//
// Before any demand is known, each of the regions is taken to want an equal part
// of all slots. Starting from keeping everything instead, the first seconds of a
// busy day would move most of a small region's requests at once.
//
// It is called once a second; shiftShare is the largest part of a region's
// requests that may change region within 2 s.
func NextLending(now Lending, demand, slots map[steering.Service]map[steering.Region]float64, regions int, shiftShare float64) Lending {
	step := lendUse * shiftShare
	next := make(Lending, len(slots))
	for service, room := range slots {
		next[service] = make(map[steering.Region]float64)
		level := levelOf(demand[service], room)
		for region := range all(room, demand[service], now[service]) {
			old, known := now[service][region]
			if !known {
				old = firstShare(room, region, regions)
			}
			goal := old
			if busy := demand[service][region]; busy > 0 {
				goal = math.Min(1, level*room[region]/busy)
			}
			next[service][region] = old + math.Max(-step, math.Min(step, goal-old))
		}
	}
	return next
}

// all returns every region that occurs.
func all(byRegion ...map[steering.Region]float64) map[steering.Region]bool {
	found := make(map[steering.Region]bool)
	for _, m := range byRegion {
		for region := range m {
			found[region] = true
		}
	}
	return found
}

// firstShare is what a region keeps before its demand is known.
func firstShare(slots map[steering.Region]float64, region steering.Region, regions int) float64 {
	var room float64
	for _, n := range slots {
		room += n
	}
	if room == 0 {
		return 1
	}
	return math.Min(1, slots[region]*float64(max(regions, 1))/room)
}

// levelOf returns how full a region may be before it lends: fullEnough, or as
// full as all regions together are if that is more.
func levelOf(demand, slots map[steering.Region]float64) float64 {
	var busy, room float64
	for _, n := range demand {
		busy += n
	}
	for _, n := range slots {
		room += n
	}
	if room == 0 {
		return fullEnough
	}
	return math.Max(fullEnough, busy/room)
}

// regionsFor returns the regions of a key, the first one its own or the one it is
// lent to. The others count only where the first has no target left: what merely
// finds no room is refused, since moving it would cool targets there and move
// traffic between regions with every burst.
func (b *Balancer) regionsFor(r Request, keyHash uint64, v *serviceState) []steering.Region {
	slots := b.reachable(r, v)
	type ranked struct {
		region steering.Region
		score  float64
	}
	var others []ranked
	for region, n := range slots {
		if region != r.Region {
			others = append(others, ranked{region, score(keyHash, hash(string(region)), b.spare(r.Service, region, n))})
		}
	}
	sort.Slice(others, func(i, j int) bool { return others[i].score > others[j].score })
	home := slots[r.Region] > 0
	keeps := home && unit(mix(keyHash^hash(string(r.Region)))) < b.lending.kept(r.Service, r.Region)
	var regions []steering.Region
	if keeps {
		regions = append(regions, r.Region)
	}
	for _, o := range others {
		regions = append(regions, o.region)
	}
	if home && !keeps {
		regions = append(regions, r.Region)
	}
	return regions
}

// reachable returns the open slots by region, without zones that are cut off
// from here unless there is nothing else.
func (b *Balancer) reachable(r Request, v *serviceState) map[steering.Region]float64 {
	lit, all := make(map[steering.Region]float64), make(map[steering.Region]float64)
	for _, s := range v.targets {
		if s.Closed || r.Allowed != nil && !r.Allowed(s.Region) {
			continue
		}
		all[s.Region] += float64(s.Slots)
		if !b.dark[s.Zone] {
			lit[s.Region] += float64(s.Slots)
		}
	}
	if len(lit) == 0 {
		return all
	}
	return lit
}

// spare weighs a region by its slots, and hardly at all if it lends itself.
func (b *Balancer) spare(service steering.Service, region steering.Region, slots float64) float64 {
	if b.lending.kept(service, region) < 1 {
		return slots * 0.01
	}
	return slots
}
