package quickstart

import (
	"strings"
	"time"

	"heatherlock/standin/target"
)

// Fault is a fault that can be injected into a run.
type Fault string

// Faults that a run can inject.
const (
	FaultPlatformDown       Fault = "platform-down"
	FaultPlatformSlow       Fault = "platform-slow"
	FaultReplyLost          Fault = "reply-lost"
	FaultKillEntryVM        Fault = "kill-entry-vm"
	FaultCutZone            Fault = "cut-zone"
	FaultCrashRequest       Fault = "crash-request"
	FaultFalseHealth        Fault = "lying-health"
	FaultFewerSlots         Fault = "fewer-slots"
	FaultTruncatedResponses Fault = "short-answers"
	FaultMisroutedResponses Fault = "crossed-answers"
	FaultLateResponses      Fault = "late-answers"
	FaultTargetErrors       Fault = "target-errors"
)

// AllFaults lists every fault in the order in which help and errors print them.
var AllFaults = []Fault{
	FaultPlatformDown, FaultPlatformSlow, FaultReplyLost, FaultKillEntryVM, FaultCutZone, FaultCrashRequest,
	FaultFalseHealth, FaultFewerSlots, FaultTruncatedResponses, FaultMisroutedResponses, FaultLateResponses, FaultTargetErrors,
}

// Parameters of the injected faults. Those ending in Every affect one response in
// that many.
const (
	platformDelay  = 500 * time.Millisecond
	lostReplyCount = 20
	truncateEvery  = 10
	misrouteEvery  = 7
	failEvery      = 2
	responseDelay  = 300 * time.Millisecond
)

// inject starts a fault and returns the function that ends it.
func (s *system) inject(f Fault, sendCrashing func()) (revert func()) {
	switch f {
	case FaultPlatformDown:
		s.store.Down(true)
		return func() { s.store.Down(false) }
	case FaultPlatformSlow:
		s.store.Slow(platformDelay)
		return func() { s.store.Slow(0) }
	case FaultReplyLost:
		s.store.LoseReplies(lostReplyCount)
		return func() { s.store.LoseReplies(0) }
	case FaultCutZone:
		zone := s.faultZone()
		s.store.CutOff(zone, true)
		s.recordIsolation(time.Now())
		s.network.isolate(zone)
		return func() {
			s.network.isolate("")
			s.store.CutOff(zone, false)
		}
	case FaultKillEntryVM:
		return s.killEntryVM()
	case FaultCrashRequest:
		sendCrashing()
		return func() {}
	}
	return s.injectAtTargets(f)
}

// faultZone returns the zone in which faults are injected. It is the first zone,
// which neither the shift nor the planned stop affects, so that the effects of a
// fault can be distinguished from theirs.
func (s *system) faultZone() string { return s.deployment.Zones[0].Name }

// applyTo sets the fields of one fault and leaves those of other faults set.
func (f Fault) applyTo(to *target.Faults) {
	switch f {
	case FaultFalseHealth:
		to.Health, to.Load = target.HealthBad, &target.Load{InFlight: 99, Slots: 1}
	case FaultFewerSlots:
		to.WorkingSlots = 1
	case FaultTruncatedResponses:
		to.ShortEvery = truncateEvery
	case FaultMisroutedResponses:
		to.CrossedEvery = misrouteEvery
	case FaultLateResponses:
		to.Late = responseDelay
	case FaultTargetErrors:
		to.FailEvery = failEvery
	}
}

// injectAtTargets adds a fault to those of the fault zone's targets. The first
// revert function that is called removes all of them.
func (s *system) injectAtTargets(f Fault) (revert func()) {
	f.applyTo(&s.targetFaults)
	s.setTargetFaults(s.targetFaults)
	return func() { s.setTargetFaults(target.Faults{}) }
}

func (s *system) setTargetFaults(f target.Faults) {
	zone := s.faultZone()
	for _, t := range s.deployment.Targets() {
		if t.Place == zone {
			s.targets.Targets[t.Name].SetFaults(f)
		}
	}
}

// killEntryVM ends the first entry VM of the fault zone without a graceful leave,
// as when a VM crashes. The returned function starts a replacement.
func (s *system) killEntryVM() (revert func()) {
	v, ok := s.markKilled(s.faultZone()+"-1", time.Now())
	if !ok {
		return func() {}
	}
	v.end()
	return func() { _, _ = s.start(v.EntryVM, v.incarnation+1) }
}

func listContains(via, vm string) bool {
	for name := range strings.SplitSeq(via, ",") {
		if strings.TrimSpace(name) == vm {
			return true
		}
	}
	return false
}
