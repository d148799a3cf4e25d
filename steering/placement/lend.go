package placement

import (
	"math"

	"heatherlock/steering"
)

// Shares is how a region's keys of a service are divided between regions, itself
// included; they sum up to 1.
type Shares map[steering.Region]float64

// Lending is the shares of each service's keys, by the region of the callers. A region
// without an entry keeps all.
type Lending map[steering.Service]map[steering.Region]Shares

// Kept returns the part of its keys that a region does not lend.
func (l Lending) Kept(service steering.Service, region steering.Region) float64 {
	return l.of(service, region)[region]
}

// of returns the shares of a region's keys.
func (l Lending) of(service steering.Service, region steering.Region) Shares {
	if shares, found := l[service][region]; found {
		return shares
	}
	return Shares{region: 1}
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
	// unhurried is how fast keys leave a region that is not too full, against those
	// that leave one that is. A key that runs elsewhere costs the way there; one that
	// moves starts cold, and one that is kept where there is no room is refused.
	unhurried = 0.25
)

// Slots is the open slots of each service by region.
type Slots map[steering.Service]map[steering.Region]float64

// Situation is what a step of lending goes by.
type Situation struct {
	// Demand is what each region's callers ask.
	Demand map[steering.Region]DemandOf
	// Slots are open now.
	Slots Slots
	// Regions is how many regions there are.
	Regions int
	// ShiftShare is the largest part of a region's requests that may change region
	// within 2 s.
	ShiftShare float64
}

// NextLending moves the shares of each region's keys a step towards what the slots bear.
// It is called once a second.
//
// The goal keeps each region's keys at home as far as its slots bear them, and divides
// the rest so that the regions which take it are filled to one level: divided by their
// slots instead, a region whose callers ask most would get as much as an idle one.
//
// While no demand is known, each of the regions is taken to want an equal part of all
// slots known now, anew at each step: targets become known one after the other, and
// shares drawn from the first of them would be taken back slowly.
//
// All services of a region move together by no more than the bound allows; what one does
// not move another may.
func NextLending(now Lending, s Situation) Lending {
	plans := make(map[steering.Service]*plan, len(s.Slots))
	runs := Runs(s.Demand)
	for service, room := range s.Slots {
		busy, fixed := busyOf(service, s.Demand, runs[service])
		plans[service] = newPlan(service, now, busy, fixed, room, s.Regions)
	}
	next := make(Lending, len(plans))
	budgets := budgetsOf(plans, s)
	for service, p := range plans {
		next[service] = make(map[steering.Region]Shares, len(p.before))
		for region := range p.before {
			next[service][region] = p.step(region, budgets[region])
		}
	}
	return next
}

// busyOf returns the slots that a service's callers keep busy: those of requests that may
// be lent, by the region of the callers, and those of requests that may run in one region
// alone, by that region.
func busyOf(service steering.Service, demand map[steering.Region]DemandOf, all Demand) (busy, fixed map[steering.Region]float64) {
	busy, fixed = make(map[steering.Region]float64), make(map[steering.Region]float64)
	slots := func(rate float32) float64 { return float64(rate*all.RunMs) / 1000 }
	for region, of := range demand {
		if of[service].Rate > 0 {
			busy[region] = slots(of[service].free())
		}
		for home, rate := range of[service].Bound {
			fixed[home] += slots(rate)
		}
	}
	return busy, fixed
}

// budgetsOf returns by which factor the moves of each region's keys are to be shortened,
// so that all its services together move no more than the bound allows.
func budgetsOf(plans map[steering.Service]*plan, s Situation) map[steering.Region]float64 {
	budgets := make(map[steering.Region]float64)
	wanted := make(map[steering.Region]float64)
	for service, p := range plans {
		for region := range p.before {
			wanted[region] += trafficShare(s.Demand[region], service) * p.distance(region)
		}
	}
	for region, sum := range wanted {
		budgets[region] = math.Min(1, lendUse*s.ShiftShare/math.Max(sum, math.SmallestNonzeroFloat64))
	}
	return budgets
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
