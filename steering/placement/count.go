package placement

import (
	"slices"
	"sort"
	"time"

	"heatherlock/steering"
)

// TargetCounts is the number of targets of a service by state.
type TargetCounts struct {
	Service steering.Service
	// Targets is the number of all targets, Closed of those that get no new requests, Cold of those
	// that get few requests because they have just started.
	Targets, Closed, Cold int
	// Limited is the number of targets that name a limit, Resting of those that asked for rest, and
	// SaidLeaving of those that said in a response that they leave.
	Limited, Resting, SaidLeaving int
	// Ejected holds the names of the ejected targets.
	Ejected []steering.Target
}

// count counts a target with a notice.
func (c *TargetCounts) count(now time.Time, n *notice) {
	if n.stated.Current().InForce {
		c.Limited++
	}
	if n.restUntil.After(now) {
		c.Resting++
	}
	if n.leaving {
		c.SaidLeaving++
	}
}

// Counts returns the number of targets by state for each service, sorted by service name.
func (b *Balancer) Counts(now time.Time) []TargetCounts {
	var all []TargetCounts
	for name, v := range b.services {
		c := TargetCounts{Service: name, Targets: len(v.targets), Ejected: []steering.Target{}}
		for _, s := range v.targets {
			if s.Closed {
				c.Closed++
			}
			if s.cold(now) {
				c.Cold++
			}
			if n := b.notices.of(s.Target); n != nil {
				c.count(now, n)
			}
			if s.ejected {
				c.Ejected = append(c.Ejected, s.Name)
			}
		}
		slices.Sort(c.Ejected)
		all = append(all, c)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Service < all[j].Service })
	return all
}
