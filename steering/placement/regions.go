package placement

import (
	"sort"

	"heatherlock/steering"
	"heatherlock/steering/rendezvous"
)

// regionsFor returns the regions of a key in the order in which they are used, the first
// by the shares in which its region's keys are divided. The others count only where the
// first has no target left: what merely finds no room is refused, since moving it would
// cool targets there and move traffic between regions with every burst.
//
// Weighted rendezvous hashing: when a share changes, about that part of the keys moves and
// no other, on all entry VMs alike.
func (b *Balancer) regionsFor(r Request, keyHash uint64, v *serviceState) []steering.Region {
	type ranked struct {
		region steering.Region
		share  float64
		score  float64
	}
	var all []ranked
	shares := b.lending.of(r.Service, r.Region)
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
