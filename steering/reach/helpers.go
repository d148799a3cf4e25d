package reach

import (
	"cmp"
	"slices"
	"time"

	"heatherlock/steering"
	"heatherlock/steering/presence"
	"heatherlock/steering/rendezvous"
)

const (
	// helpersPerRegion is how many VMs of a region a VM that is cut off uses.
	helpersPerRegion = 8
	// bearableShare is the share of their capacity up to which the VMs of a region take the requests of
	// all its callers.
	bearableShare = 0.7
	// avoidFor is how long a VM that could not help is not asked again.
	avoidFor = time.Second
	// defaultCapacity, in requests per second, is assumed of a VM that does not state its own.
	defaultCapacity = 300
)

// Helper is an entry VM that reaches targets.
type Helper struct {
	VM steering.VM
	// Incarnation is that of its process, as far as is known.
	Incarnation presence.Incarnation
	Region      steering.Region
	Address     string
	// Capacity is how many requests per second the VM can forward; 0 if it is not known.
	Capacity float64
}

func (h Helper) weight() float64 {
	if h.Capacity <= 0 {
		return defaultCapacity
	}
	return h.Capacity
}

// Helpers are the VMs that one VM uses while it is cut off. It is not safe for concurrent use.
type Helpers struct {
	region   steering.Region
	byRegion map[steering.Region][]Helper
	regions  []steering.Region
	capacity map[steering.Region]float64
	// homeShare is the share of requests that helpers of the own region take.
	homeShare float64
	// avoid holds until when a helper is not asked.
	avoid map[steering.VM]time.Time
}

// NewHelpers chooses the helpers of the VM self from all VMs that reach targets. demand is the request
// rate of all callers of its region, those of VMs that are cut off included.
func NewHelpers(self steering.VM, region steering.Region, all []Helper, demand float64) *Helpers {
	h := &Helpers{region: region, byRegion: make(map[steering.Region][]Helper), capacity: make(map[steering.Region]float64), avoid: make(map[steering.VM]time.Time)}
	for _, helper := range all {
		h.byRegion[helper.Region] = append(h.byRegion[helper.Region], helper)
		h.capacity[helper.Region] += helper.weight()
	}
	own := rendezvous.Hash(string(self))
	for region, helpers := range h.byRegion {
		h.regions = append(h.regions, region)
		h.byRegion[region] = helpers
		if len(helpers) > helpersPerRegion {
			h.byRegion[region] = chosenFor(own, helpers)
		}
	}
	slices.Sort(h.regions)
	h.homeShare = 1
	if bearable := bearableShare * h.capacity[region]; demand > bearable {
		h.homeShare = bearable / demand
	}
	return h
}

// chosenFor returns helpersPerRegion of the helpers, each with a probability in proportion to its capacity.
// They share requests equally: in proportion to their capacity it would count twice.
func chosenFor(key uint64, helpers []Helper) []Helper {
	slices.SortFunc(helpers, func(a, b Helper) int {
		return cmp.Or(cmp.Compare(b.score(key), a.score(key)), cmp.Compare(a.VM, b.VM))
	})
	chosen := slices.Clone(helpers[:helpersPerRegion])
	for i := range chosen {
		chosen[i].Capacity = defaultCapacity
	}
	return chosen
}

func (h Helper) score(key uint64) float64 {
	return rendezvous.Score(key, rendezvous.Hash(string(h.VM)), h.weight())
}

// Any reports whether there are helpers at all; a nil Helpers has none.
func (h *Helpers) Any() bool { return h != nil && len(h.regions) > 0 }

// Avoid records that a helper could not pass on a request, for a reason of its own.
func (h *Helpers) Avoid(now time.Time, vm steering.VM) { h.avoid[vm] = now.Add(avoidFor) }

// Answered records that a helper has passed a request on and answered. It is asked again then: what it did not take in
// time had a reason of its own.
func (h *Helpers) Answered(vm steering.VM) { delete(h.avoid, vm) }

// Count returns how many helpers are known, and how many of them are not asked now.
func (h *Helpers) Count(now time.Time) (known, avoided int) {
	for _, helpers := range h.byRegion {
		for _, helper := range helpers {
			known++
			if now.Before(h.avoid[helper.VM]) {
				avoided++
			}
		}
	}
	return known, avoided
}

// TakeOver keeps what an earlier choice of helpers learned.
func (h *Helpers) TakeOver(earlier *Helpers) {
	if earlier != nil {
		h.avoid = earlier.avoid
	}
}

// For returns the helper for a request. allowed reports whether the request may go to a region, and
// tried holds the helpers that could not pass it on. found is false if no helper is left.
func (h *Helpers) For(now time.Time, id string, allowed func(steering.Region) bool, tried []steering.VM) (helper Helper, found bool) {
	key := rendezvous.Hash(id)
	for _, region := range h.order(key) {
		if !allowed(region) {
			continue
		}
		if helper, found = h.bestOf(now, key, region, tried); found {
			return helper, true
		}
	}
	return Helper{}, false
}

// order returns the regions for a key: the own one first for homeShare of the keys, the others by
// capacity.
func (h *Helpers) order(key uint64) []steering.Region {
	score := func(region steering.Region) float64 {
		return rendezvous.Score(key, rendezvous.Hash(string(region)), h.capacity[region])
	}
	order := slices.Clone(h.regions)
	home := rendezvous.Unit(rendezvous.Mix(key)) < h.homeShare
	slices.SortFunc(order, func(a, b steering.Region) int {
		if home && (a == h.region) != (b == h.region) {
			if a == h.region {
				return -1
			}
			return 1
		}
		return cmp.Compare(score(b), score(a))
	})
	return order
}

func (h *Helpers) bestOf(now time.Time, key uint64, region steering.Region, tried []steering.VM) (best Helper, found bool) {
	highest := 0.0
	for _, helper := range h.byRegion[region] {
		if now.Before(h.avoid[helper.VM]) || slices.Contains(tried, helper.VM) {
			continue
		}
		if score := helper.score(key); !found || score > highest {
			best, highest, found = helper, score, true
		}
	}
	return best, found
}
