package benchfleet

import (
	"time"

	"heatherlock/platform"
	"heatherlock/steering"
)

// restoreCase is a series of restores of the store.
type restoreCase struct {
	lost  time.Duration // age of the copy at the first restore
	times int
	// turnsAway is set if the store refuses the calls of every third VM meanwhile.
	turnsAway bool
}

// restoreCases are the cases played.
func restoreCases() []restoreCase {
	var all []restoreCase
	for _, lost := range []time.Duration{200 * time.Millisecond, 3 * time.Second, 10 * time.Second} {
		for _, turnsAway := range []bool{false, true} {
			all = append(all, restoreCase{lost, 1, turnsAway}, restoreCase{lost, 3, turnsAway})
		}
	}
	return all
}

const (
	// restoreGap is the time between two restores in a row, and settleTime that before a case begins.
	restoreGap = time.Second
	settleTime = 4 * time.Second
	// turnedAwayEvery is the number of VMs of which the store turns one away.
	turnedAwayEvery = 3
	// restoreTime is how long the calls and bytes after the last restore of a case are counted.
	restoreTime = 10 * time.Second
)

// playRestores restores the store while targets leave and configurations are written, both before and
// after it, and records the worst case.
func (s *sim) playRestores(r *Row) {
	for n, c := range restoreCases() {
		s.advance(settleTime)
		s.playRestoreCase(r, c, n)
	}
}

func (s *sim) playRestoreCase(r *Row, c restoreCase, n int) {
	for i, v := range s.vms {
		v.turnedAway = c.turnsAway && i%turnedAwayEvery == n%turnedAwayEvery
	}
	copied := s.store.copy()
	s.leaveAndConfigure(4 * n) // lost
	s.advance(c.lost)
	accepted := s.store.copy()
	s.store.restore(copied, accepted)
	for range c.times - 1 {
		s.advance(restoreGap)
		s.store.restore(copied, accepted)
	}
	for _, v := range s.vms {
		v.count = counters{}
	}
	s.store.calls = 0
	began := s.now
	leaving := s.leaveAndConfigure(4*n + 2)
	version := s.store.config
	took, ok := s.until(faultLimit, func() bool {
		return s.each(func(v *vm) bool { return v.closesAll(leaving) })
	})
	r.recordWorst(TimeRestoredLeaving, took, ok)
	_, ok = s.until(faultLimit, func() bool { return s.each(func(v *vm) bool { return v.knowsConfig(version) }) })
	r.recordWorst(TimeRestoredConfig, s.now.Sub(began), ok)
	s.advance(max(restoreTime-s.now.Sub(began), 0))
	r.RestoreCalls = max(r.RestoreCalls, s.store.calls)
	for _, v := range s.vms {
		r.RestoreBytes = max(r.RestoreBytes, v.count.DatagramBytes+v.count.PullBytes)
		v.turnedAway = false
	}
}

// leaveEvery is the number of targets of which one leaves.
const leaveEvery = 100

// leaveAndConfigure makes one of leaveEvery targets leave, counted from the first, and writes a
// configuration newer than all before.
func (s *sim) leaveAndConfigure(first int) []steering.Target {
	chosen := make(map[steering.Target]bool)
	var names []steering.Target
	for i := first; i < len(s.store.targets); i += leaveEvery {
		if t := s.store.targets[i]; !t.Leaving {
			chosen[t.Name] = true
			names = append(names, t.Name)
		}
	}
	s.store.change(func(t platform.Target) bool { return chosen[t.Name] }, func(t *platform.Target) { t.Leaving = true })
	s.nextConfig++
	s.store.writeConfigVersion(s.nextConfig)
	return names
}

func (v *vm) closesAll(names []steering.Target) bool {
	for _, name := range names {
		if known, leaving := v.knowsTarget(name); known && !leaving {
			return false
		}
	}
	return true
}

// recordWorst records a time unless a longer one was recorded, or none within the limit.
func (r *Row) recordWorst(name string, took time.Duration, ok bool) {
	worst, found := r.Seconds[name]
	if !found || worst >= 0 && (!ok || took.Seconds() > worst) {
		r.record(name, took, ok)
	}
}
