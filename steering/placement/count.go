package placement

import (
	"sort"
	"time"

	"heatherlock/steering"
)

// Count is how the targets of a service stand.
type Count struct {
	Service steering.Service
	// Targets counts all, Closed those that get nothing new, Cold those that get few
	// requests.
	Targets, Closed, Cold int
	// Ejected are passed over.
	Ejected []steering.Target
}

// Counts returns how the targets of each service stand, by its name.
func (b *Balancer) Counts(now time.Time) []Count {
	var all []Count
	for name, v := range b.services {
		c := Count{Service: name, Targets: len(v.targets), Ejected: []steering.Target{}}
		for _, s := range v.targets {
			if s.Closed {
				c.Closed++
			}
			if s.cold(now) {
				c.Cold++
			}
			if s.ejected {
				c.Ejected = append(c.Ejected, s.Name)
			}
		}
		all = append(all, c)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Service < all[j].Service })
	return all
}
