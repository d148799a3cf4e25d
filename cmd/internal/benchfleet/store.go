package benchfleet

import (
	"fmt"
	"slices"
	"time"

	"heatherlock/node/gateway/fleet"
	"heatherlock/platform"
	"heatherlock/steering"
	"heatherlock/steering/storepos"
)

const (
	// storeAnswer is how long the store takes for a call.
	storeAnswer = 4 * time.Millisecond
	// listPage and changePage are how many objects the store sends in one response.
	listPage   = 200
	changePage = 200
	// targetHeartbeat is how often a target writes its entry.
	targetHeartbeat = 5 * time.Second
	// recordBytes and targetBytes are the sizes of an entry VM's record and of a target's entry.
	recordBytes = 320
	targetBytes = 300
)

// store is the object store with the records of entry VMs and the entries of targets.
type store struct {
	clock    *clock
	region   steering.Region
	epoch    uint64
	revision int64
	records  []fleet.Member
	recorded map[steering.VM]bool
	targets  []platform.Target
	changes  []storedChange
	calls    int
	config   uint64 // newest version
	// forgotten is the revision up to which the history is dropped.
	forgotten int64
}

// storeCopy is a copy of what operators and targets wrote to a store.
type storeCopy struct {
	revision int64
	targets  []platform.Target
	changes  []storedChange
	config   uint64
}

type storedChange struct {
	revision int64
	change   platform.TargetChange
}

func newStore(c *clock, zones []zone, targets int) *store {
	s := &store{clock: c, region: zones[0].region, epoch: 1, revision: 1, config: 1, recorded: make(map[steering.VM]bool)}
	for i := range targets {
		z := zones[i%len(zones)]
		s.targets = append(s.targets, platform.Target{Name: steering.Target(fmt.Sprintf("target-%06d", i)), Service: steering.Service(fmt.Sprint("service-", i%4)),
			Address: fmt.Sprintf("10.%d.%d.%d:8080", 100+i>>16, i>>8&255, i&255), Zone: z.name, Slots: 4, Generation: 1, Beat: 1})
	}
	return s
}

// addRecord writes the record of a VM.
func (s *store) addRecord(m fleet.Member) {
	s.calls++
	s.revision++
	if !s.recorded[m.Name] {
		s.recorded[m.Name] = true
		s.records = append(s.records, m)
	}
}

// change writes the entries of targets that satisfy a condition.
func (s *store) change(match func(platform.Target) bool, update func(*platform.Target)) {
	for i := range s.targets {
		t := &s.targets[i]
		if !match(*t) {
			continue
		}
		update(t)
		t.Beat++
		s.revision++
		s.changes = append(s.changes, storedChange{s.revision, platform.TargetChange{Target: *t}})
	}
}

// remove removes the entries of targets that satisfy a condition.
func (s *store) remove(match func(platform.Target) bool) {
	kept := s.targets[:0]
	for _, t := range s.targets {
		if !match(t) {
			kept = append(kept, t)
			continue
		}
		s.revision++
		s.changes = append(s.changes, storedChange{s.revision, platform.TargetChange{Target: platform.Target{Name: t.Name}, Removed: true}})
	}
	s.targets = kept
}

// at returns the position of the store.
func (s *store) at() storepos.Position {
	return storepos.Position{Epoch: s.epoch, Revision: s.revision}
}

// since returns the changes after a position; ok is false if the store has no such position in its
// present history.
func (s *store) since(p storepos.Position) (found platform.TargetChanges, ok bool) {
	if p.Epoch != s.epoch || p.Revision < s.forgotten {
		return found, false
	}
	found.At = s.at()
	for i := len(s.changes) - 1; i >= 0 && s.changes[i].revision > p.Revision; i-- {
		found.Changes = append(found.Changes, s.changes[i].change)
	}
	for i, j := 0, len(found.Changes)-1; i < j; i, j = i+1, j-1 {
		found.Changes[i], found.Changes[j] = found.Changes[j], found.Changes[i]
	}
	return found, true
}

// writeConfigVersion writes a version of the configuration.
func (s *store) writeConfigVersion(version uint64) {
	s.config = version
	s.revision++
}

func (s *store) copy() storeCopy {
	return storeCopy{s.revision, slices.Clone(s.targets), slices.Clone(s.changes), s.config}
}

// rewriteTime is how long after a restore operators and targets have written again what was lost.
const rewriteTime = 2 * time.Second

// restore replaces the contents by those of a copy. What was lost is written again after rewriteTime,
// unless the store was restored once more by then.
func (s *store) restore(c storeCopy, accepted storeCopy) {
	s.epoch++
	s.revision, s.targets, s.changes, s.config = c.revision, slices.Clone(c.targets), slices.Clone(c.changes), c.config
	epoch := s.epoch
	s.clock.after(rewriteTime, func() {
		if s.epoch != epoch {
			return
		}
		leaving := make(map[steering.Target]bool)
		for _, t := range accepted.targets {
			leaving[t.Name] = t.Leaving
		}
		s.change(func(t platform.Target) bool { return leaving[t.Name] && !t.Leaving }, func(t *platform.Target) { t.Leaving, t.Beat = true, t.Beat+1 })
		s.config = max(s.config, accepted.config)
		s.revision++
	})
}

// heartbeatsSince returns how many heartbeats targets have written in a time. They change nothing
// that VMs use, but fill the pages of changes.
func (s *store) heartbeatsSince(d time.Duration) int {
	return int(float64(len(s.targets)) * float64(d) / float64(targetHeartbeat))
}

// callTime returns how long calls to the store take one after the other from a region.
func (s *store) callTime(calls int, region steering.Region) time.Duration {
	s.calls += calls
	trip := regionDelay
	if region != s.region {
		trip = farDelay
	}
	return time.Duration(calls) * (storeAnswer + 2*trip)
}

// pages returns how many responses hold a number of objects.
func pages(objects, page int) int { return max((objects+page-1)/page, 1) }
