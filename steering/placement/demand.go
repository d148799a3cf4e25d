package placement

import (
	"maps"

	"heatherlock/steering"
)

// Demand is what callers ask of a service.
type Demand struct {
	_ struct{} `cbor:",toarray"`
	// Rate is in requests per second.
	Rate float32
	// RunMs is the time of a warm run in ms, Runs the number of runs it rests on.
	RunMs float32
	Runs  uint16
	// Bound is the part of the rate that may run in one region alone, by region.
	Bound map[steering.Region]float32
}

// mostRuns bounds the weight of one VM's observations, so that old ones fade.
const mostRuns = 1000

// Add sums the demand of two groups of callers.
func (d Demand) Add(o Demand) Demand {
	sum := Demand{Rate: d.Rate + o.Rate, RunMs: d.RunMs, Runs: uint16(min(int(d.Runs)+int(o.Runs), mostRuns))}
	if runs := float32(d.Runs) + float32(o.Runs); runs > 0 {
		sum.RunMs = (d.RunMs*float32(d.Runs) + o.RunMs*float32(o.Runs)) / runs
	}
	if len(d.Bound)+len(o.Bound) > 0 {
		sum.Bound = make(map[steering.Region]float32)
		maps.Copy(sum.Bound, d.Bound)
		for region, rate := range o.Bound {
			sum.Bound[region] += rate
		}
	}
	return sum
}

// free is the rate that may run in any region.
func (d Demand) free() float32 {
	free := d.Rate
	for _, rate := range d.Bound {
		free -= rate
	}
	return max(free, 0)
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
// A region whose targets queue sees hardly a run without a wait, and would go by its first
// guess for long.
func Runs(demand map[steering.Region]DemandOf) DemandOf {
	all := make(DemandOf)
	for _, of := range demand {
		all.AddAll(of)
	}
	return all
}
