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
	// maxReportAge is the age beyond which a place's report is ignored.
	maxReportAge = 10 * time.Second
	// smoothingWeight is the weight of a new sample in the exponential moving average.
	smoothingWeight = 0.3
	// ownWriteTimeout is how long to wait for the driver's last write to appear in a snapshot.
	ownWriteTimeout = 10 * time.Second
	// capFullDuration is how long a cap counts as reached after it refused a request.
	capFullDuration = 3 * time.Second
)

type poolKey struct {
	place   steering.Place
	service steering.Service
}

// smoothedLoad is the exponential moving average of a pool's load.
type smoothedLoad struct {
	known       bool
	utilization float64
	queued      float64
}

func (s *smoothedLoad) add(utilization, queued float64) {
	if !s.known {
		s.known, s.utilization, s.queued = true, utilization, queued
		return
	}
	s.utilization += smoothingWeight * (utilization - s.utilization)
	s.queued += smoothingWeight * (queued - s.queued)
}

// shiftState is the driver's local state of one shift.
type shiftState struct {
	version       int64 // version of the progress record last seen
	moved         int
	movedAt       time.Time // when moved last changed, by the local clock
	ownVersion    int64     // version of the record that the driver's last write stored
	ownWriteAt    time.Time
	noWriteBefore time.Time // earliest time of the next write
	samples       map[poolKey]*smoothedLoad
	refused       map[string]int64
	capFull       map[string]time.Time // time of each cap's last refusal
}

// observeProgress notes when the moved share changed. The time counts from when this driver saw
// the change, by its own clock, so a new driver waits for a whole interval.
func (t *shiftState) observeProgress(now time.Time, p *routing.ShiftProgress) {
	if p == nil {
		t.moved, t.version = 0, 0
		return
	}
	if p.Moved != t.moved || t.version == 0 {
		t.movedAt = now
	}
	t.moved, t.version = p.Moved, p.Version
}

// awaitsOwnWrite reports whether the snapshot doesn't contain the driver's last write yet. After
// ownWriteTimeout the write is assumed to have been replaced or removed. A decision based on an
// old record does no harm, because its write fails.
func (t *shiftState) awaitsOwnWrite(p *routing.ShiftProgress) bool {
	now := time.Now()
	if now.Before(t.noWriteBefore) {
		return true
	}
	return now.Before(t.ownWriteAt.Add(ownWriteTimeout)) && (p == nil || p.Version < t.ownVersion)
}

// observeLoad adds the load of the receiving pools to the averages. A pool with no recent report
// or no slots is marked as unknown.
func (t *shiftState) observeLoad(s *routing.Snapshot, inForce *routing.Shift, pools []Pool) {
	wanted := receivingPools(s, inForce)
	for key := range t.samples {
		if !slices.Contains(wanted, key) {
			delete(t.samples, key)
		}
	}
	for _, key := range wanted {
		if t.samples[key] == nil {
			t.samples[key] = &smoothedLoad{}
		}
		i := slices.IndexFunc(pools, func(p Pool) bool { return p.Place == key.place && p.Service == key.service })
		if i < 0 || pools[i].Age > maxReportAge || pools[i].Slots == 0 {
			t.samples[key].known = false
			continue
		}
		t.samples[key].add(float64(pools[i].InUse)/float64(pools[i].Slots), float64(pools[i].Queued))
	}
}

// receivingPools returns the pools that a shift moves requests to.
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

// observeRefusals notes which caps have refused requests since the last evaluation.
func (t *shiftState) observeRefusals(now time.Time, counts map[string]int64) {
	for name, n := range counts {
		if n > t.refused[name] {
			t.capFull[name] = now
		}
	}
	t.refused = counts
}

// input returns the input for the decision on a shift.
func (d *Driver) input(s *routing.Snapshot, name string, now time.Time) shift.Input {
	t := d.states[name]
	in := shift.Input{
		Now: now, Shift: s.Shifts[name], Progress: s.Progress[name], Age: now.Sub(t.movedAt), TTL: d.config.TTL,
	}
	if in.Shift == nil {
		return in
	}
	for _, key := range receivingPools(s, in.Shift) {
		sample := t.samples[key]
		in.Receivers = append(in.Receivers, shift.Receiver{
			Place: key.place, Service: key.service, Known: sample.known, Utilization: sample.utilization, Queued: sample.queued,
		})
	}
	for capName, at := range t.capFull {
		if now.Sub(at) < capFullDuration {
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
	in.Competing = d.competing(s, name, now)
	return in
}

// competing returns the other shifts that move the same service to one of this shift's
// receiving places. A shift without a service moves all services.
func (d *Driver) competing(s *routing.Snapshot, name string, now time.Time) []shift.CompetingShift {
	self := s.Shifts[name]
	var competing []shift.CompetingShift
	for _, other := range shiftNames(s) {
		o := s.Shifts[other]
		if other == name || o == nil || o.Service != "" && self.Service != "" && o.Service != self.Service {
			continue
		}
		i := slices.IndexFunc(o.To, func(p steering.Place) bool { return slices.Contains(self.To, p) })
		if i < 0 {
			continue
		}
		entry := shift.CompetingShift{Name: other, Place: o.To[i], WantsStep: o.Moved < o.Percent, Age: now.Sub(d.states[other].movedAt)}
		if p := s.Progress[other]; p != nil {
			entry.Forward, entry.Since = p.Forward, p.Since
			entry.WantsStep = entry.WantsStep && (p.State != string(shift.Held) || p.WaitsForTurn)
		}
		competing = append(competing, entry)
	}
	return competing
}
