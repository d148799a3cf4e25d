package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"heatherlock/steering"
)

const (
	// weightSteps is the number of weight levels: the weight of a target is a multiple of 1/8. Each
	// level in use is a class of its own in the order of a key, so there must be few.
	weightSteps = 8
)

// LoadSample is the load that a target reported in its responses to this entry VM.
type LoadSample struct {
	Target  steering.Target
	Service steering.Service
	Region  steering.Region
	// Mean is the mean of the running and waiting requests, without the one that responded, divided by the
	// target's slots. What a response sees of other requests is, on average, the load over time.
	Mean      float64
	Responses int
}

// TargetWeight is a target of a region, for those who compute weights.
type TargetWeight struct {
	Name    steering.Target
	Service steering.Service
	Slots   int
	// Steady is unset for targets that are closed, cold, ejected or in an unreachable zone. Their load
	// says nothing about the keys that they are assigned.
	Steady bool
}

// ServiceWeights summarizes the weights of the open targets of a service.
type ServiceWeights struct {
	// Targets holds the targets with a weight below 1, the lowest weight first.
	Targets []WeightOf
	// Moved is the share of the slots that is taken out of the targets' weights, which is about the
	// share of the service's keys that moved.
	Moved float64
}

// WeightOf is the weight of a target.
type WeightOf struct {
	Target steering.Target
	Weight float64
}

// SetWeights replaces the weights of all targets. Targets without an entry have the weight 1. Weights
// are rounded to multiples of 1/8, and are at least 1/8.
func (b *Balancer) SetWeights(weights map[steering.Target]float64) {
	steps := make(map[steering.Target]int, len(weights))
	for name, weight := range weights {
		if n := min(max(int(math.Round(weight*weightSteps)), 1), weightSteps); n < weightSteps {
			steps[name] = n
		}
	}
	before := b.weightSteps
	b.weightSteps = steps
	for name := range before {
		b.applyWeight(b.byName[name])
	}
	for name := range steps {
		b.applyWeight(b.byName[name])
	}
}

// applyWeight sets the weight of a target to that of its name; s may be nil.
func (b *Balancer) applyWeight(s *targetState) {
	if s == nil {
		return
	}
	steps, found := b.weightSteps[s.Name]
	if !found {
		steps = weightSteps
	}
	if s.weightSteps == steps {
		return
	}
	s.weightSteps = steps
	if s.service != nil {
		s.service.tables = nil
	}
}

// weight returns the weight of the target in the order of a key.
func (c *weightClass) weight() float64 { return float64(c.slots*c.steps) / weightSteps }

// UsesWeights reports whether the targets of a service get weights. They do where they have owners: there the
// reported loads are those of all requests.
func (b *Balancer) UsesWeights(now time.Time, service steering.Service) bool {
	v := b.services[service]
	return v != nil && v.hasOwners(now)
}

// sampleLoad adds a reported load to the samples of the target.
func (b *Balancer) sampleLoad(now time.Time, s *targetState, r Report) {
	if !r.LoadKnown || s.Slots <= 0 || !s.service.hasOwners(now) {
		return
	}
	if s.loadSamples == 0 {
		b.sampled = append(b.sampled, s)
	}
	s.loadSamples++
	s.loadSum += float64(max(r.Running+r.Waiting, 0)) / float64(s.Slots)
}

// LoadSamples returns the mean load of each target that responded since the last call, for services
// that use weights, the most loaded target first.
func (b *Balancer) LoadSamples(now time.Time) []LoadSample {
	if len(b.sampled) == 0 {
		return nil
	}
	samples := make([]LoadSample, 0, len(b.sampled))
	for _, s := range b.sampled {
		if b.byName[s.Name] == s && s.service.hasOwners(now) {
			samples = append(samples, LoadSample{Target: s.Name, Service: s.Service, Region: s.Region,
				Mean: s.loadSum / float64(s.loadSamples), Responses: s.loadSamples})
		}
		s.loadSum, s.loadSamples = 0, 0
	}
	clear(b.sampled)
	b.sampled = b.sampled[:0]
	slices.SortFunc(samples, func(a, c LoadSample) int {
		return cmp.Or(cmp.Compare(c.Mean, a.Mean), cmp.Compare(a.Target, c.Target))
	})
	return samples
}

// TargetWeights returns the targets of a region, for computing their weights.
func (b *Balancer) TargetWeights(now time.Time, region steering.Region) []TargetWeight {
	var all []TargetWeight
	for _, s := range b.byName {
		if s.Region == region {
			all = append(all, TargetWeight{Name: s.Name, Service: s.Service, Slots: s.Slots,
				Steady: !s.Closed && !s.cold(now) && !b.excluded(s.service, s)})
		}
	}
	return all
}

// WeightsByService returns the services with open targets whose weight is below 1.
func (b *Balancer) WeightsByService() map[steering.Service]ServiceWeights {
	if len(b.weightSteps) == 0 {
		return nil
	}
	found := make(map[steering.Service]ServiceWeights)
	for name := range b.weightSteps {
		s := b.byName[name]
		if s == nil || s.Closed {
			continue
		}
		w := found[s.Service]
		weight := float64(s.weightSteps) / weightSteps
		w.Targets = append(w.Targets, WeightOf{s.Name, weight})
		w.Moved += (1 - weight) * float64(s.Slots)
		found[s.Service] = w
	}
	for name, w := range found {
		slots := 0.0
		for _, table := range b.services[name].openTargets() {
			slots += table.slotsWithout(nil)
		}
		w.Moved /= math.Max(slots, 1)
		slices.SortFunc(w.Targets, func(a, c WeightOf) int {
			return cmp.Or(cmp.Compare(a.Weight, c.Weight), cmp.Compare(a.Target, c.Target))
		})
		found[name] = w
	}
	return found
}
