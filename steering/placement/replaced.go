package placement

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"heatherlock/steering"
)

const (
	// replacedSharedFor is how long a replaced target is reported to other entry VMs. In a zone of
	// up to 25 VMs, heartbeats are at most 0.5 s apart, and what some VMs miss is passed on by
	// others.
	replacedSharedFor = 1500 * time.Millisecond
	// maxReplacedShared limits the number of replaced targets in one heartbeat, to 320 bytes.
	maxReplacedShared = 64
)

// StartID is a short hash that identifies one start of a target at an address. Among 1,000 targets
// the probability that two have the same StartID is 1 in 8,000; in that case one of them gets no
// requests until its entry changes.
type StartID uint32

// startIDOf returns the StartID of a target.
func startIDOf(t Target) StartID {
	d := xxhash.New()
	_, _ = d.WriteString(string(t.Name) + "\x00" + t.Address) // never fails
	var generation [8]byte
	binary.BigEndian.PutUint64(generation[:], uint64(t.Generation))
	_, _ = d.Write(generation[:])
	return StartID(d.Sum64())
}

// replacements holds the targets that were found to be replaced: another target has answered at
// their address, so this start of them is gone even if their entries still exist.
//
// Entry VMs report replaced targets to each other. The entries of crashed targets remain for some
// heartbeats, and if every VM sent each of these targets a request first, these requests would use
// up the retry budget. Unlike slowness or failures, a replacement is proved by a single answer, so
// other VMs can rely on the report.
type replacements struct {
	// declared holds the declared targets by start.
	declared map[StartID]*targetState
	// closed holds the declared targets that were found to be replaced.
	closed map[*targetState]bool
	// found holds the time at which each target that is still reported was found to be replaced.
	found map[StartID]time.Time
}

func newReplacements() replacements {
	return replacements{declared: make(map[StartID]*targetState), closed: make(map[*targetState]bool), found: make(map[StartID]time.Time)}
}

// declare adds a target as declared now.
func (r *replacements) declare(s *targetState) {
	r.declared[s.startID] = s
	if s.replaced {
		r.closed[s] = true
	}
}

// forget removes a target as it was declared before.
func (r *replacements) forget(s *targetState) {
	if r.declared[s.startID] == s {
		delete(r.declared, s.startID)
	}
	delete(r.closed, s)
}

// add closes a target that was found to be replaced and schedules it to be reported.
func (r *replacements) add(now time.Time, s *targetState) {
	s.close()
	if s.replaced {
		return
	}
	s.replaced = true
	r.closed[s] = true
	r.found[s.startID] = now
}

// Replaced returns the targets that are closed because another target answers at their address.
func (b *Balancer) Replaced() []steering.Target {
	var names []steering.Target
	for s := range b.replaced.closed {
		names = append(names, s.Name)
	}
	return names
}

// ReplacedToReport returns the targets to report to other entry VMs as replaced.
func (b *Balancer) ReplacedToReport(now time.Time) []StartID {
	var starts []StartID
	for start, at := range b.replaced.found {
		if now.Sub(at) > replacedSharedFor {
			delete(b.replaced.found, start)
			continue
		}
		if len(starts) < maxReplacedShared {
			starts = append(starts, start)
		}
	}
	return starts
}

// MarkReplaced closes targets that other entry VMs found to be replaced, and reports them to
// further VMs.
func (b *Balancer) MarkReplaced(now time.Time, starts []StartID) {
	for _, start := range starts {
		if s := b.replaced.declared[start]; s != nil {
			b.replaced.add(now, s)
		}
	}
}
