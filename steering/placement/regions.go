package placement

import (
	"sort"

	"heatherlock/steering"
	"heatherlock/steering/rendezvous"
)

// regionsFor returns the regions for a key in order of preference; the first is chosen according to
// the shares into which the keys of the caller's region are divided. The others are used only if
// the first has no target left. A request for which the first region merely has no free slot is
// refused, because moving it would make keys of the other region's targets cold and move traffic
// between regions with every burst.
//
// The order is that of weighted rendezvous hashing: when a share changes, only about that part of
// the keys moves, and in the same way on all entry VMs.
func (b *Balancer) regionsFor(r Request, keyHash uint64, v *serviceState) []steering.Region {
	type ranked struct {
		region steering.Region
		share  float64
		score  float64
	}
	var all []ranked
	shares := b.lending.sharesOf(r.Service, r.Region)
	for region, slots := range b.reachable(r, v) {
		c := ranked{region: region, share: shares[region]}
		c.score = rendezvous.Score(keyHash, rendezvous.Hash(string(region)), c.share)
		if c.share <= 0 {
			c.score = rendezvous.Score(keyHash, rendezvous.Hash(string(region)), slots)
		}
		all = append(all, c)
	}
	sort.Slice(all, func(i, j int) bool {
		if shared := all[i].share > 0; shared != (all[j].share > 0) {
			return shared
		}
		return all[i].score > all[j].score
	})
	regions := make([]steering.Region, 0, len(all))
	for _, c := range all {
		regions = append(regions, c.region)
	}
	return regions
}

// reachable returns the open slots by region. Zones that are unreachable from here are left out
// unless no other zone has open slots.
func (b *Balancer) reachable(r Request, v *serviceState) map[steering.Region]float64 {
	connected, all := make(map[steering.Region]float64), make(map[steering.Region]float64)
	for region, t := range v.openTargets() {
		if r.Allowed != nil && !r.Allowed(region) {
			continue
		}
		all[region] = t.slotsWithout(nil)
		if slots := t.slotsWithout(b.unreachable); slots > 0 {
			connected[region] = slots
		}
	}
	if len(connected) == 0 {
		return all
	}
	return connected
}
