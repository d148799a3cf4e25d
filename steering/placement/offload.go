package placement

import (
	"math"

	"heatherlock/steering"
)

// Shares divides one region's keys of a service between regions, including the region itself. The
// shares sum to 1.
type Shares map[steering.Region]float64

// RegionSplit holds the shares of each service's keys by the region of the callers. A region
// without an entry serves all its keys itself.
type RegionSplit map[steering.Service]map[steering.Region]Shares

// LocalShare returns the share of its keys that a region serves itself.
func (l RegionSplit) LocalShare(service steering.Service, region steering.Region) float64 {
	return l.sharesOf(service, region)[region]
}

// sharesOf returns the shares of a region's keys.
func (l RegionSplit) sharesOf(service steering.Service, region steering.Region) Shares {
	if shares, found := l[service][region]; found {
		return shares
	}
	return Shares{region: 1}
}

const (
	// maxUtilization is the part of a region's slots that requests with warm keys may occupy before
	// the region offloads keys. Above it, a queue of a few service times forms.
	maxUtilization = 0.65
	// shiftBudgetUse is the part of MaxRegionShift, which limits region changes within 2 s, that
	// one step per second may use. It is a third, because changes made by the callers themselves
	// move traffic between regions as well.
	shiftBudgetUse = 1.0 / 3
	// maxStep limits the share of a service's keys that changes region in one second. These keys
	// start cold in the new region, whose targets can take only few of them at once.
	maxStep = 0.15
	// slowFactor slows down moves of keys out of a region that is not overloaded. A key that is
	// served in another region costs the network latency; a key that moves starts cold; and a key
	// that is kept in a region without capacity for it is refused.
	slowFactor = 0.25
)

// Slots holds the number of open slots of each service by region.
type Slots map[steering.Service]map[steering.Region]float64

// SplitInput is the input of NextRegionSplit.
type SplitInput struct {
	// Demand is the demand of each region's callers.
	Demand map[steering.Region]DemandOf
	// Slots are the slots that are open now.
	Slots Slots
	// OccupancyFactors hold how long a request of a service occupies a slot, as a multiple of the service
	// time for warm keys; a service without an entry counts with 1.
	OccupancyFactors map[steering.Service]float64
	// Regions is the number of regions of the deployment.
	Regions int
	// MaxRegionShift is the largest share of a region's requests that may change region within 2 s.
	MaxRegionShift float64
}

// NextRegionSplit moves the shares of each region's keys one step towards a goal that fits the open
// slots. It must be called once a second.
//
// In the goal, each region serves its own keys as far as its slots can take them. The rest is
// divided so that all regions which receive some reach the same utilization. If it were
// divided in proportion to slots, a region with high demand of its own would receive as much as an
// idle one.
//
// While no demand is known, each region is assumed to need an equal part of all slots that are
// known now, and the shares are computed anew in each step. Targets become known one after the
// other, and shares based on the first of them would be corrected only slowly later.
//
// All services of a region together stay within the limit on region changes. What one service does
// not use of it, another may use.
func NextRegionSplit(now RegionSplit, s SplitInput) RegionSplit {
	plans := make(map[steering.Service]*plan, len(s.Slots))
	runs := Runs(s.Demand)
	for service, capacity := range s.Slots {
		run := runs[service]
		if factor := s.OccupancyFactors[service]; factor > 0 {
			run.RunMs *= float32(factor)
		}
		load, pinned := loadOf(service, s.Demand, run)
		plans[service] = newPlan(service, now, load, pinned, capacity, s.Regions)
	}
	next := make(RegionSplit, len(plans))
	factors := stepFactors(plans, s)
	for service, p := range plans {
		next[service] = make(map[steering.Region]Shares, len(p.current))
		for region := range p.current {
			next[service][region] = p.step(region, factors[region])
		}
	}
	return next
}

// loadOf returns how many slots the callers of a service occupy: load holds the requests that may
// run in any region, by the region of their callers, and pinned those that may run in one region
// only, by that region.
func loadOf(service steering.Service, demand map[steering.Region]DemandOf, all Demand) (load, pinned map[steering.Region]float64) {
	load, pinned = make(map[steering.Region]float64), make(map[steering.Region]float64)
	occupied := func(rate float32) float64 { return float64(rate*all.RunMs) / 1000 }
	for region, byService := range demand {
		if byService[service].Rate > 0 {
			load[region] = occupied(byService[service].unpinned())
		}
		for home, rate := range byService[service].Bound {
			pinned[home] += occupied(rate)
		}
	}
	return load, pinned
}

// stepFactors returns for each region the factor by which its moves of keys are shortened, so that
// all its services together stay within the limit on region changes.
func stepFactors(plans map[steering.Service]*plan, s SplitInput) map[steering.Region]float64 {
	factors := make(map[steering.Region]float64)
	wanted := make(map[steering.Region]float64)
	for service, p := range plans {
		for region := range p.current {
			wanted[region] += trafficShare(s.Demand[region], service) * p.distance(region)
		}
	}
	for region, sum := range wanted {
		factors[region] = math.Min(1, shiftBudgetUse*s.MaxRegionShift/math.Max(sum, math.SmallestNonzeroFloat64))
	}
	return factors
}

// trafficShare returns a service's share of the requests of a region, or 1 if the region has no
// requests.
func trafficShare(byService DemandOf, service steering.Service) float64 {
	var all float64
	for _, demand := range byService {
		all += float64(demand.Rate)
	}
	if all == 0 {
		return 1
	}
	return float64(byService[service].Rate) / all
}
