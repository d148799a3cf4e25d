package benchfleet

import (
	"time"

	"heatherlock/platform"
	"heatherlock/steering"
)

// returnCase is a cut of some VMs from the store and from all other VMs.
type returnCase struct {
	zone bool // a whole zone; else every fourth VM
	// forgets is set if the store has dropped its history meanwhile, says if targets report that they leave
	// before their entries are removed, and reached is how much later than the store the other VMs are
	// reached again.
	forgets, says bool
	reached       time.Duration
}

func returnCases() []returnCase {
	var all []returnCase
	for _, zone := range []bool{false, true} {
		for _, forgets := range []bool{false, true} {
			for _, says := range []bool{false, true} {
				for _, reached := range []time.Duration{0, 400 * time.Millisecond} {
					all = append(all, returnCase{zone, forgets, says, reached})
				}
			}
		}
	}
	return all
}

// awayTime is how long VMs are cut off: longer than entries of silent targets last.
const awayTime = 3*targetHeartbeat + 2*time.Second

// playReturns cuts VMs off while targets leave, and measures how long those VMs use the targets after they
// have come back.
func (s *sim) playReturns(r *Row) {
	for n, c := range returnCases() {
		s.advance(settleTime)
		s.playReturn(r, c, n)
	}
}

func (s *sim) playReturn(r *Row, c returnCase, n int) {
	s.network.away = make(map[*vm]bool)
	for i, v := range s.vms {
		if c.zone && v.self.Zone == s.zones[0].name || !c.zone && i%4 == n%4 {
			s.network.away[v], v.turnedAway = true, true
		}
	}
	gone := s.leave(n, c.says)
	s.advance(awayTime)
	if c.forgets {
		s.store.forgotten = s.store.revision
	}
	var returned []*vm
	for v := range s.network.away {
		v.turnedAway = false
		returned = append(returned, v)
	}
	s.after(c.reached, func() { s.network.away = nil })
	for _, v := range s.vms {
		v.count = counters{}
	}
	took, ok := s.until(faultLimit, func() bool { return !s.usedBy(returned, gone) })
	r.recordWorst(TimeReturned, took, ok)
	s.advance(max(targetHeartbeat-took, 0))
	questions, bytes := 0, 0
	for _, v := range s.vms {
		questions += v.count.Enquiries
		bytes += v.count.PullBytes + v.count.EnquiryBytes
	}
	r.ReturnQuestions, r.ReturnBytes = max(r.ReturnQuestions, questions), max(r.ReturnBytes, bytes)
}

// leave removes the entries of one of leaveEvery targets, counted from the one at first.
func (s *sim) leave(first int, says bool) []steering.Target {
	chosen := make(map[steering.Target]bool)
	var names []steering.Target
	for i := first; i < len(s.store.targets); i += leaveEvery {
		chosen[s.store.targets[i].Name] = true
		names = append(names, s.store.targets[i].Name)
	}
	match := func(t platform.Target) bool { return chosen[t.Name] }
	if says {
		s.store.change(match, func(t *platform.Target) { t.Leaving = true })
		s.advance(time.Second)
	}
	s.store.remove(match)
	return names
}

// usedBy reports whether one of some VMs places requests on one of some targets.
func (s *sim) usedBy(vms []*vm, names []steering.Target) bool {
	for _, v := range vms {
		for _, name := range names {
			if v.state.Open(name) {
				return true
			}
		}
	}
	return false
}
