package placement

import (
	"maps"

	"heatherlock/steering"
)

// Demand is the load that callers put on a service.
type Demand struct {
	_ struct{} `cbor:",toarray"`
	// Rate is in requests per second.
	Rate float32
	// RunMs is the service time for warm keys in ms, Runs the number of samples it is based on.
	RunMs float32
	Runs  uint16
	// Bound is the part of Rate that may run in one region only, by that region.
	Bound map[steering.Region]float32
}

// maxRuns limits the weight of one entry VM's samples, so that old ones lose weight.
const maxRuns = 1000

// Add returns the sum of the demand of two groups of callers.
func (d Demand) Add(o Demand) Demand {
	sum := Demand{Rate: d.Rate + o.Rate, RunMs: d.RunMs, Runs: uint16(min(int(d.Runs)+int(o.Runs), maxRuns))}
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

// unpinned returns the rate of the requests that may run in any region.
func (d Demand) unpinned() float32 {
	unpinned := d.Rate
	for _, rate := range d.Bound {
		unpinned -= rate
	}
	return max(unpinned, 0)
}

// DemandOf is the demand of a group of callers by service.
type DemandOf map[steering.Service]Demand

// AddAll adds the demand o to d, service by service.
func (d DemandOf) AddAll(o DemandOf) {
	for service, demand := range o {
		d[service] = d[service].Add(demand)
	}
}

// Runs returns the service times as all regions together observe them.
//
// In a region whose targets have queues, nearly every request waits, so that the region gets hardly
// any sample of its own and would use the initial service times for long.
func Runs(demand map[steering.Region]DemandOf) DemandOf {
	all := make(DemandOf)
	for _, byService := range demand {
		all.AddAll(byService)
	}
	return all
}
