package placement

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"heatherlock/steering"
)

const (
	// replacedToldFor is how long a target that was found replaced is told to others.
	// Heartbeats of a zone are at most 0.5 s apart up to 25 VMs in it, and what some of
	// them miss others pass on.
	replacedToldFor = 1500 * time.Millisecond
	// mostReplacedTold bounds those in one heartbeat: 320 bytes.
	mostReplacedTold = 64
)

// StartID names one start of a target at an address, in few bytes. Of 1,000 targets two
// share one with a chance of 1 in 8,000; then one gets nothing until its entry changes.
type StartID uint32

// idOfStart returns the StartID of a target.
func idOfStart(t Target) StartID {
	d := xxhash.New()
	_, _ = d.WriteString(string(t.Name) + "\x00" + t.Address) // a hash takes all
	var generation [8]byte
	binary.BigEndian.PutUint64(generation[:], uint64(t.Generation))
	_, _ = d.Write(generation[:])
	return StartID(d.Sum64())
}

// replacements are the targets that were found replaced: another one answered at their
// address, so that this start of them is gone, whatever their entries still say.
//
// Entry VMs tell each other: the entries of targets that crash last for some heartbeats,
// and if each VM sent each of them a request first, the budget for further tries would be
// used up by that. Unlike slowness or failures it is proved by one answer, so that it can
// be told and believed.
type replacements struct {
	// byStart finds the targets that are declared.
	byStart map[StartID]*state
	// found holds when those were found that are still told.
	found map[StartID]time.Time
}

func newReplacements() replacements {
	return replacements{byStart: make(map[StartID]*state), found: make(map[StartID]time.Time)}
}

// declare makes targets known by their starts, in place of those before.
func (r *replacements) declare(all map[steering.Target]*state) {
	clear(r.byStart)
	for _, s := range all {
		r.byStart[s.start] = s
	}
}

// note closes a target that was found replaced, and has others told.
func (r *replacements) note(now time.Time, s *state) {
	s.Closed = true
	if s.replaced {
		return
	}
	s.replaced = true
	r.found[s.start] = now
}

// Replaced returns the targets that are closed since another one answers at their address.
func (b *Balancer) Replaced() []steering.Target {
	var names []steering.Target
	for name, s := range b.byName {
		if s.replaced {
			names = append(names, name)
		}
	}
	return names
}

// ReplacedToTell returns the targets that were found replaced of late.
func (b *Balancer) ReplacedToTell(now time.Time) []StartID {
	var told []StartID
	for start, at := range b.replaced.found {
		if now.Sub(at) > replacedToldFor {
			delete(b.replaced.found, start)
			continue
		}
		if len(told) < mostReplacedTold {
			told = append(told, start)
		}
	}
	return told
}

// LearnReplaced closes targets that others found replaced, and passes the news on.
func (b *Balancer) LearnReplaced(now time.Time, starts []StartID) {
	for _, start := range starts {
		if s := b.replaced.byStart[start]; s != nil {
			b.replaced.note(now, s)
		}
	}
}
