package benchfleet

import (
	"slices"
	"time"

	"heatherlock/platform"
	"heatherlock/steering"
)

// returnCase is a cut of some VMs from the store and from all other VMs.
type returnCase struct {
	zone bool // a whole zone; else every fourth VM
	// forgets is set if the store has dropped its history meanwhile. reached is how much later than the store the
	// other VMs are reached again.
	forgets bool
	word    lastWord
	reached time.Duration
	// starts is set if some of the other VMs start again meanwhile, long after the targets have left.
	starts bool
}

// lastWord is what the store holds in the end of a target that leaves.
type lastWord string

const (
	silent  lastWord = "silent"  // its entry is removed without a word
	says    lastWord = "says"    // it reports that it leaves, and its entry is removed
	rewrite lastWord = "rewrite" // it reports that it leaves, and the store completes an older write late
)

func returnCases() []returnCase {
	var all []returnCase
	for _, zone := range []bool{false, true} {
		for _, forgets := range []bool{false, true} {
			for _, word := range []lastWord{silent, says, rewrite} {
				for _, reached := range []time.Duration{0, 400 * time.Millisecond} {
					all = append(all, returnCase{zone: zone, forgets: forgets, word: word, reached: reached})
				}
			}
		}
		all = append(all, returnCase{zone: zone, word: silent, starts: true})
	}
	return all
}

// awayTime is how long VMs are cut off: longer than entries of silent targets last.
const awayTime = 3*targetHeartbeat + 2*time.Second

// startsAfter is how long after targets have left VMs start: VMs that knew them tell those that start nothing of it then.
const startsAfter = 12 * time.Second

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
	gone := s.leave(n, c.word)
	if c.starts {
		s.advance(startsAfter)
		s.restartOthers()
	}
	s.advance(awayTime)
	if c.forgets {
		s.store.forgotten = s.store.revision
	}
	var returned, others []*vm
	for _, v := range s.vms {
		if s.network.away[v] {
			v.turnedAway = false
			returned = append(returned, v)
			continue
		}
		others = append(others, v)
	}
	s.after(c.reached, func() { s.network.away = nil })
	// Others pull from the VMs that come back only if these know a later position of the store.
	s.store.change(func(t platform.Target) bool { return t.Name == s.store.targets[0].Name }, func(t *platform.Target) { t.Slots++ })
	for _, v := range s.vms {
		v.count = counters{}
	}
	reopened := false
	took, ok := s.until(faultLimit, func() bool {
		reopened = reopened || s.usedBy(others, gone)
		return !s.usedBy(returned, gone)
	})
	r.recordWorst(TimeReturned, took, ok)
	s.until(max(targetHeartbeat-took, 0), func() bool {
		reopened = reopened || s.usedBy(s.vms, gone)
		return false
	})
	if reopened {
		r.Reopened++
	}
	s.store.remove(func(t platform.Target) bool { return slices.Contains(gone, t.Name) })
	questions, bytes := 0, 0
	for _, v := range s.vms {
		questions += v.count.Enquiries
		bytes += v.count.PullBytes + v.count.EnquiryBytes
	}
	r.ReturnQuestions, r.ReturnBytes = max(r.ReturnQuestions, questions), max(r.ReturnBytes, bytes)
}

// restartOthers ends and starts every third VM of those that are not away.
func (s *sim) restartOthers() {
	for i, v := range s.vms {
		if i%3 == 2 && !s.network.away[v] {
			v.running = false
			v.start()
		}
	}
}

// leave makes one of leaveEvery targets leave, counted from the one at first.
func (s *sim) leave(first int, word lastWord) []steering.Target {
	chosen := make(map[steering.Target]bool)
	var names []steering.Target
	for i := first; i < len(s.store.targets); i += leaveEvery {
		chosen[s.store.targets[i].Name] = true
		names = append(names, s.store.targets[i].Name)
	}
	match := func(t platform.Target) bool { return chosen[t.Name] }
	if word != silent {
		s.store.change(match, func(t *platform.Target) { t.Leaving, t.Beat = true, t.Beat+1 })
		s.advance(2 * time.Second) // known to all that are not away
	}
	if word == rewrite {
		s.store.change(match, func(t *platform.Target) { t.Leaving, t.Beat = false, t.Beat-2 }) // change counts one write
		return names
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
