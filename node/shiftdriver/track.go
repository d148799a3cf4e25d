package shiftdriver

import (
	"slices"
	"time"

	"heatherlock/steering"
	"heatherlock/steering/drain"
	"heatherlock/steering/routing"
	"heatherlock/steering/shift"
)

const (
	// staleAfter is the age from which a place's word is not used any more.
	staleAfter = 10 * time.Second
	// newest is the weight of a new sample in the smoothed ones.
	newest = 0.3
	// seenWithin is how long the own last write may take to show up.
	seenWithin = 10 * time.Second
	// capFullFor is how long a cap counts as reached after a refusal.
	capFullFor = 3 * time.Second
)

type poolKey struct {
	place   steering.Place
	service steering.Service
}

// smooth is a pool's smoothed load.
type smooth struct {
	known  bool
	busy   float64
	queued float64
}

func (s *smooth) add(busy, queued float64) {
	if !s.known {
		s.known, s.busy, s.queued = true, busy, queued
		return
	}
	s.busy += newest * (busy - s.busy)
	s.queued += newest * (queued - s.queued)
}

// track is what a driver remembers of one shift.
type track struct {
	version int64 // of the progress last seen
	moved   int
	changed time.Time // when moved last changed, on the own clock
	written int64     // version of the own last write
	wroteAt time.Time
	pause   time.Time // no write before
	samples map[poolKey]*smooth
	refused map[string]int64
	capFull map[string]time.Time // last refusal by cap
}

// follow notes when the moved share changed. The own clock counts from the
// moment of seeing it, so a new driver waits a whole interval.
func (t *track) follow(now time.Time, p *routing.ShiftProgress) {
	if p == nil {
		t.moved, t.version = 0, 0
		return
	}
	if p.Moved != t.moved || t.version == 0 {
		t.changed = now
	}
	t.moved, t.version = p.Moved, p.Version
}

// unseen says whether the own last write is not in the snapshot yet. After
// seenWithin it is taken to have been replaced or removed since; a decision on
// an old record does no harm, for its write fails.
func (t *track) unseen(p *routing.ShiftProgress) bool {
	now := time.Now()
	if now.Before(t.pause) {
		return true
	}
	return now.Before(t.wroteAt.Add(seenWithin)) && (p == nil || p.Version < t.written)
}

// sample takes in the load of the receiving pools.
func (t *track) sample(s *routing.Snapshot, inForce *routing.Shift, pools []Pool) {
	wanted := receivingPools(s, inForce)
	for key := range t.samples {
		if !slices.Contains(wanted, key) {
			delete(t.samples, key)
		}
	}
	for _, key := range wanted {
		if t.samples[key] == nil {
			t.samples[key] = &smooth{}
		}
		i := slices.IndexFunc(pools, func(p Pool) bool { return p.Place == key.place && p.Service == key.service })
		if i < 0 || pools[i].Age > staleAfter || pools[i].Slots == 0 {
			t.samples[key].known = false
			continue
		}
		t.samples[key].add(float64(pools[i].InUse)/float64(pools[i].Slots), float64(pools[i].Queued))
	}
}

// receivingPools lists the pools that a shift moves work to.
func receivingPools(s *routing.Snapshot, inForce *routing.Shift) []poolKey {
	if inForce == nil {
		return nil
	}
	var keys []poolKey
	for _, to := range inForce.To {
		place := s.Places[to]
		if place == nil {
			continue
		}
		for _, target := range place.Targets {
			key := poolKey{to, target.Service}
			wanted := inForce.Service == "" || inForce.Service == target.Service
			if wanted && !slices.Contains(keys, key) {
				keys = append(keys, key)
			}
		}
	}
	return keys
}

// refusals notes which caps refused work since the last look.
func (t *track) refusals(now time.Time, counts map[string]int64) {
	for name, n := range counts {
		if n > t.refused[name] {
			t.capFull[name] = now
		}
	}
	t.refused = counts
}

// input is what the decision on a shift is made from.
func (d *Driver) input(s *routing.Snapshot, name string, now time.Time) shift.Input {
	t := d.tracks[name]
	in := shift.Input{
		Now: now, Shift: s.Shifts[name], Progress: s.Progress[name], Age: now.Sub(t.changed), TTL: d.config.TTL,
	}
	if in.Shift == nil {
		return in
	}
	for _, key := range receivingPools(s, in.Shift) {
		sample := t.samples[key]
		in.Receivers = append(in.Receivers, shift.Receiver{
			Place: key.place, Service: key.service, Known: sample.known, Utilization: sample.busy, Queued: sample.queued,
		})
	}
	for capName, at := range t.capFull {
		if now.Sub(at) < capFullFor {
			in.FullCaps = append(in.FullCaps, capName)
		}
	}
	slices.Sort(in.FullCaps)
	stopped := drain.Stopped(s, now)
	for _, to := range in.Shift.To {
		if _, covered := stopped.Place(to); covered {
			in.Stopped = append(in.Stopped, to)
		}
	}
	in.Competing = d.others(s, name, now)
	return in
}

// others lists the shifts that move the same service into one of the places.
func (d *Driver) others(s *routing.Snapshot, name string, now time.Time) []shift.CompetingShift {
	self := s.Shifts[name]
	var others []shift.CompetingShift
	for _, other := range shiftNames(s) {
		o := s.Shifts[other]
		if other == name || o == nil || o.Service != "" && self.Service != "" && o.Service != self.Service {
			continue
		}
		i := slices.IndexFunc(o.To, func(p steering.Place) bool { return slices.Contains(self.To, p) })
		if i < 0 {
			continue
		}
		entry := shift.CompetingShift{Name: other, Place: o.To[i], WantsStep: o.Moved < o.Percent, Age: now.Sub(d.tracks[other].changed)}
		if p := s.Progress[other]; p != nil {
			entry.Forward, entry.Since = p.Forward, p.Since
			entry.WantsStep = entry.WantsStep && (p.State != string(shift.Held) || p.WaitsForTurn)
		}
		others = append(others, entry)
	}
	return others
}
