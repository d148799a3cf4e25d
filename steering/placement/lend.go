package placement

import (
	"math"
	"sort"

	"heatherlock/steering"
)

// Lending is the share of its keys that a region keeps, by service and region.
// A missing entry means all.
type Lending map[steering.Service]map[steering.Region]float64

// Kept returns the part of its keys that a region does not lend.
func (l Lending) Kept(service steering.Service, region steering.Region) float64 {
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
	// fastestStep bounds the part of a service's keys that changes region in a
	// second: they start cold there, and its targets bear that for few at once.
	fastestStep = 0.15
	// takeBack is how fast a region takes lent keys back, against lending them. A
	// key that runs elsewhere costs the way there; one that comes back starts cold,
	// and one that is kept where there is no room is refused. On a calm day whose
	// demand moves from region to region, 97 and 165 of 5,984 reads were refused in two
	// runs, against 225 in one when keys come back as fast as they go.
	takeBack = 0.25
)

// Demand is what callers ask of a service.
type Demand struct {
	_ struct{} `cbor:",toarray"`
	// Rate is in requests per second.
	Rate float32
	// RunMs is the time of a warm run in ms, Runs the number of runs it rests on.
	RunMs float32
	Runs  uint16
}

// mostRuns bounds the weight of one VM's observations, so that old ones fade.
const mostRuns = 1000

// Add sums the demand of two groups of callers.
func (d Demand) Add(o Demand) Demand {
	sum := Demand{Rate: d.Rate + o.Rate, RunMs: d.RunMs, Runs: uint16(min(int(d.Runs)+int(o.Runs), mostRuns))}
	if runs := float32(d.Runs) + float32(o.Runs); runs > 0 {
		sum.RunMs = (d.RunMs*float32(d.Runs) + o.RunMs*float32(o.Runs)) / runs
	}
	return sum
}

// DemandOf is the demand of a region's callers by service.
type DemandOf map[steering.Service]Demand

// AddAll sums the demand of two groups of callers for all services.
func (d DemandOf) AddAll(o DemandOf) {
	for service, demand := range o {
		d[service] = d[service].Add(demand)
	}
}

// Runs returns the time of a warm run of each service as all regions see it.
//
// What goes wrong when each region goes by its own: where targets queue hardly a
// run is without a wait, so a hot region keeps its first guess for ten seconds, and
// takes its demand for a third or three times what it is.
func Runs(demand map[steering.Region]DemandOf) DemandOf {
	all := make(DemandOf)
	for _, of := range demand {
		all.AddAll(of)
	}
	return all
}

// NextLending moves each region's kept share a step towards what its slots
// bear. slots are by service and region. A region without slots keeps nothing;
// one with room for all keeps all.
//
// While no demand is known, each of the regions is taken to want an equal part of all
// slots, those known now. Starting from keeping everything instead, the first seconds of
// a busy day would move most of a small region's requests at once.
//
// What goes wrong when the first such shares are kept until there is demand: targets
// become known one after the other, so that a region most of whose targets come last
// starts by lending most of its keys, and takes them back slowly. One would notice a
// region with room whose callers are sent to one that refuses. Over 15 played days with
// ten entry VMs, callers got 0.831 of the worth of all answers before and 0.851 after;
// on the day that gained most 0.76 and 0.84.
//
// It is called once a second; shiftShare is the largest part of a region's
// requests that may change region within 2 s. What one service does not move
// another may: with an equal bound for each, a region whose demand for one service
// had doubled refused for ten seconds while the others had no use for theirs.
func NextLending(now Lending, demand map[steering.Region]DemandOf, slots map[steering.Service]map[steering.Region]float64, regions int, shiftShare float64) Lending {
	before, goal := make(Lending, len(slots)), make(Lending, len(slots))
	runs := Runs(demand)
	for service, room := range slots {
		before[service], goal[service] = make(map[steering.Region]float64), make(map[steering.Region]float64)
		busy := busyOf(service, demand, runs[service])
		level := levelOf(busy, room)
		for region := range all(room, busy, now[service]) {
			old, known := now[service][region]
			if !known || len(busy) == 0 {
				old = firstShare(room, region, regions)
			}
			before[service][region], goal[service][region] = old, old
			if busy[region] > 0 {
				goal[service][region] = math.Min(1, level*room[region]/busy[region])
			}
		}
	}
	return stepsTowards(goal, before, demand, lendUse*shiftShare)
}

// busyOf returns the slots that a service's callers keep busy, by region.
func busyOf(service steering.Service, demand map[steering.Region]DemandOf, all Demand) map[steering.Region]float64 {
	busy := make(map[steering.Region]float64)
	for region, of := range demand {
		if rate := of[service].Rate; rate > 0 {
			busy[region] = float64(rate*all.RunMs) / 1000
		}
	}
	return busy
}

// stepsTowards moves each share from before towards its goal, all services of a
// region together by no more than budget, as a part of the region's requests.
func stepsTowards(goal, before Lending, demand map[steering.Region]DemandOf, budget float64) Lending {
	wanted := make(map[steering.Region]float64)
	for service, byRegion := range goal {
		for region, share := range byRegion {
			wanted[region] += trafficShare(demand[region], service) * math.Abs(share-before[service][region])
		}
	}
	next := make(Lending, len(goal))
	for service, byRegion := range goal {
		next[service] = make(map[steering.Region]float64, len(byRegion))
		for region, share := range byRegion {
			step := share - before[service][region]
			if wanted[region] > budget {
				step *= budget / wanted[region]
			}
			if step > 0 {
				step *= takeBack
			}
			next[service][region] = before[service][region] + math.Max(-fastestStep, math.Min(fastestStep, step))
		}
	}
	return next
}

// trafficShare is a service's part of the requests of a region; 1 while nothing is
// known of them.
func trafficShare(of DemandOf, service steering.Service) float64 {
	var all float64
	for _, demand := range of {
		all += float64(demand.Rate)
	}
	if all == 0 {
		return 1
	}
	return float64(of[service].Rate) / all
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
	keeps := home && unit(mix(keyHash^hash(string(r.Region)))) < b.lending.Kept(r.Service, r.Region)
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
	if b.lending.Kept(service, region) < 1 {
		return slots * 0.01
	}
	return slots
}
