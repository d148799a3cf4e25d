package placement

import (
	"math"
	"time"

	"heatherlock/steering"
	"heatherlock/steering/rendezvous"
)

// regionTable holds the open targets of a service in one region.
type regionTable struct {
	// classes holds the targets by their number of slots and their weight level. The product of both
	// is their weight in the order of a key.
	classes []weightClass
	count   int
	// byZone holds the number of targets and slots of each zone.
	byZone map[steering.Zone]zoneCount
}

// weightClass holds targets of equal weight, with their hashes in a slice of their own: all hashes
// are read for each request, but only few targets.
type weightClass struct {
	slots   int
	steps   int // of weightSteps
	hashes  []uint64
	targets []*targetState
}

type zoneCount struct {
	targets int
	slots   float64
}

// openTargets returns the tables of the regions that have open targets.
func (v *serviceState) openTargets() map[steering.Region]*regionTable {
	if v.tables != nil {
		return v.tables
	}
	v.tables = make(map[steering.Region]*regionTable)
	for _, s := range v.targets {
		if s.Closed {
			continue
		}
		t := v.tables[s.Region]
		if t == nil {
			t = &regionTable{byZone: make(map[steering.Zone]zoneCount)}
			v.tables[s.Region] = t
		}
		t.add(s)
	}
	return v.tables
}

func (t *regionTable) add(s *targetState) {
	t.count++
	zone := t.byZone[s.Zone]
	t.byZone[s.Zone] = zoneCount{targets: zone.targets + 1, slots: zone.slots + float64(s.Slots)}
	for i := range t.classes {
		if c := &t.classes[i]; c.slots == s.Slots && c.steps == s.weightSteps {
			c.hashes, c.targets = append(c.hashes, s.hash), append(c.targets, s)
			return
		}
	}
	t.classes = append(t.classes, weightClass{slots: s.Slots, steps: s.weightSteps, hashes: []uint64{s.hash}, targets: []*targetState{s}})
}

// slotsWithout returns the number of slots outside of some zones.
func (t *regionTable) slotsWithout(zones map[steering.Zone]bool) float64 {
	var slots float64
	for zone, n := range t.byZone {
		if !zones[zone] {
			slots += n.slots
		}
	}
	return slots
}

// scored is a target with its score for a key.
type scored struct {
	target *targetState
	score  float64
}

// first returns the n targets with the highest scores for a key, in descending order.
func (t *regionTable) first(key uint64, n int) []scored {
	best := make([]scored, 0, n+1)
	for _, c := range t.classes {
		weight := c.weight()
		// A hash has a higher score than the last of the best if its unit value is higher than
		// least. The logarithm in the score is thus computed for few targets only.
		least := leastUnit(best, n, weight)
		for i, hash := range c.hashes {
			unit := rendezvous.Unit(rendezvous.Mix(key ^ hash))
			if unit <= least {
				continue
			}
			best = insertScored(best, scored{c.targets[i], -weight / math.Log(unit)}, n)
			least = leastUnit(best, n, weight)
		}
	}
	return best
}

// leastUnit returns the unit value at which a target of the weight has the score of the last of n.
func leastUnit(best []scored, n int, weight float64) float64 {
	if len(best) < n {
		return 0
	}
	return math.Exp(-weight / best[n-1].score)
}

// insertScored inserts a target into the best n.
func insertScored(best []scored, s scored, n int) []scored {
	at := len(best)
	for at > 0 && s.score > best[at-1].score {
		at--
	}
	best = append(best, scored{})
	copy(best[at+1:], best[at:])
	best[at] = s
	return best[:min(len(best), n)]
}

// initialOrder is how many targets of a key's order are determined at first. Few requests need more:
// those whose first targets are cold, ejected or were tried before.
const initialOrder = 6

// keyOrder yields the open targets of a region in the order of a request's key, without those that
// were tried. Ejected targets are included only when a probe is due, or when more than half of the
// targets are excluded.
type keyOrder struct {
	balancer *Balancer
	service  *serviceState
	table    *regionTable
	request  Request
	region   steering.Region
	key      uint64

	found []scored
	at    int // position in found
	rank  int
	// ignoreExclusion is set if more than half of the targets are excluded: then a fault of the
	// network or of the observations is more likely than a fault of all these targets.
	ignoreExclusion bool
	// passed is set once a target was returned.
	passed bool
	// tooSlow is set if the first target's run is predicted to end too late for the request.
	tooSlow bool
	// endsLate is set if the first target's run is predicted to end after its VM stops.
	endsLate bool
	// first is the first target that was considered for the request.
	first *targetState
	// reopensAt is when the first of the targets that take no request now does again.
	reopensAt time.Time
}

// skipUntil records that a target takes no request until the given time.
func (o *keyOrder) skipUntil(until time.Time) {
	if o.reopensAt.IsZero() || until.Before(o.reopensAt) {
		o.reopensAt = until
	}
}

// waitFor returns the time until a target may take the request, in seconds: the predicted wait, or
// if no target was considered the time until one takes requests again.
func (o *keyOrder) waitFor(now time.Time, wait float64) float64 {
	if math.IsInf(wait, 1) && !o.reopensAt.IsZero() {
		return o.reopensAt.Sub(now).Seconds()
	}
	if o.tooSlow {
		return math.Max(wait, slowRetry.Seconds())
	}
	return wait
}

func (b *Balancer) orderOf(v *serviceState, r Request, region steering.Region, key uint64) *keyOrder {
	o := &keyOrder{balancer: b, service: v, table: v.openTargets()[region], request: r, region: region, key: key}
	if o.table != nil {
		excluded, open := b.countExcluded(v, r, region, o.table)
		o.ignoreExclusion = excluded*2 > open
	}
	return o
}

// next returns the next target, or nil if there is none.
func (o *keyOrder) next(now time.Time) *candidate {
	for o.table != nil {
		if o.at == len(o.found) && !o.extend() {
			return nil
		}
		s := o.found[o.at].target
		o.at++
		if contains(o.request.Tried, s.Name) {
			continue
		}
		c := &candidate{targetState: s, rank: o.rank, crossRegion: o.region != o.balancer.region}
		o.rank++
		if o.ignoreExclusion || !o.balancer.excluded(o.service, s) || o.balancer.probeDue(now, s, o.request) {
			o.passed = true
			return c
		}
	}
	return nil
}

// extend determines more targets of the order, and reports whether there are any.
func (o *keyOrder) extend() bool {
	if len(o.found) == o.table.count {
		return false
	}
	o.found = o.table.first(o.key, min(max(initialOrder, 4*len(o.found)), o.table.count))
	return true
}

// countExcluded returns how many open targets of a region that were not tried are ejected or in an
// unreachable zone, and how many there are.
func (b *Balancer) countExcluded(v *serviceState, r Request, region steering.Region, t *regionTable) (excluded, open int) {
	open = t.count
	for zone, n := range t.byZone {
		if b.unreachable[zone] && zone != "" {
			excluded += n.targets
		}
	}
	for s := range v.ejected {
		if s.Region == region && !s.Closed && !(b.unreachable[s.Zone] && s.Zone != "") {
			excluded++
		}
	}
	for _, name := range r.Tried {
		s := b.byName[name]
		if s == nil || s.service != v || s.Region != region || s.Closed {
			continue
		}
		open--
		if b.excluded(v, s) {
			excluded--
		}
	}
	return excluded, open
}
