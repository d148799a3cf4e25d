package quickstart

import (
	"strings"
	"time"

	"heatherlock/standin/target"
)

// Fault is something planted in a run.
type Fault string

// Faults that a run can be watched under.
const (
	FaultPlatformDown   Fault = "platform-down"
	FaultPlatformSlow   Fault = "platform-slow"
	FaultReplyLost      Fault = "reply-lost"
	FaultKillEntryVM    Fault = "kill-entry-vm"
	FaultCutZone        Fault = "cut-zone"
	FaultCrashRequest   Fault = "crash-request"
	FaultLyingHealth    Fault = "lying-health"
	FaultFewerSlots     Fault = "fewer-slots"
	FaultShortAnswers   Fault = "short-answers"
	FaultCrossedAnswers Fault = "crossed-answers"
	FaultLateAnswers    Fault = "late-answers"
	FaultTargetErrors   Fault = "target-errors"
)

// AllFaults lists them.
var AllFaults = []Fault{
	FaultPlatformDown, FaultPlatformSlow, FaultReplyLost, FaultKillEntryVM, FaultCutZone, FaultCrashRequest,
	FaultLyingHealth, FaultFewerSlots, FaultShortAnswers, FaultCrossedAnswers, FaultLateAnswers, FaultTargetErrors,
}

// Sizes of planted faults.
const (
	slowPlatform = 500 * time.Millisecond
	lostReplies  = 20
	faultyEvery  = 10
	crossedEvery = 7
	failEvery    = 2
	lateAnswer   = 300 * time.Millisecond
)

// plant switches a fault on and returns what switches it off.
func (s *system) plant(f Fault, sendCrashing func()) (heal func()) {
	switch f {
	case FaultPlatformDown:
		s.store.Down(true)
		return func() { s.store.Down(false) }
	case FaultPlatformSlow:
		s.store.Slow(slowPlatform)
		return func() { s.store.Slow(0) }
	case FaultReplyLost:
		s.store.LoseReplies(lostReplies)
		return func() { s.store.LoseReplies(0) }
	case FaultCutZone:
		zone := s.faultZone()
		s.store.CutOff(zone, true)
		s.noteCut(time.Now())
		s.network.cutOff(zone)
		return func() {
			s.network.cutOff("")
			s.store.CutOff(zone, false)
		}
	case FaultKillEntryVM:
		return s.killEntryVM()
	case FaultCrashRequest:
		sendCrashing()
		return func() {}
	}
	return s.plantAtTargets(f)
}

// faultZone is the first zone: neither the shift nor the planned stop is
// there, so that the run can tell what a fault did from what they did.
func (s *system) faultZone() string { return s.deployment.Zones[0].Name }

// add sets the switches of one fault beside those already set.
func (f Fault) add(to *target.Faults) {
	switch f {
	case FaultLyingHealth:
		to.Health, to.Load = target.HealthBad, &target.Load{InFlight: 99, Slots: 1}
	case FaultFewerSlots:
		to.WorkingSlots = 1
	case FaultShortAnswers:
		to.ShortEvery = faultyEvery
	case FaultCrossedAnswers:
		to.CrossedEvery = crossedEvery
	case FaultLateAnswers:
		to.Late = lateAnswer
	case FaultTargetErrors:
		to.FailEvery = failEvery
	}
}

// plantAtTargets adds a fault to those of the zone's targets; the first heal
// takes all of them away.
func (s *system) plantAtTargets(f Fault) (heal func()) {
	f.add(&s.atTargets)
	s.setTargets(s.atTargets)
	return func() { s.setTargets(target.Faults{}) }
}

func (s *system) setTargets(f target.Faults) {
	zone := s.faultZone()
	for _, t := range s.deployment.Targets() {
		if t.Place == zone {
			s.targets.Targets[t.Name].SetFaults(f)
		}
	}
}

// killEntryVM ends the first entry VM of the fault's zone without any leave,
// as a failed VM ends, and later starts a replacement.
func (s *system) killEntryVM() (heal func()) {
	v, ok := s.lose(s.faultZone()+"-1", time.Now())
	if !ok {
		return func() {}
	}
	v.end()
	return func() { _, _ = s.start(v.EntryVM, v.life+1) }
}

func contains(via, vm string) bool {
	for name := range strings.SplitSeq(via, ",") {
		if strings.TrimSpace(name) == vm {
			return true
		}
	}
	return false
}
