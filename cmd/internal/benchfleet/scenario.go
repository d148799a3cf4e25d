package benchfleet

import (
	"slices"
	"time"

	"heatherlock/platform"
	"heatherlock/steering"
)

// Faults that a run can play after the start and the steady state.
const (
	FaultRelease = "release" // a share of the targets leaves and is replaced
	FaultEnd     = "end"     // one delegate ends, then one standby
	FaultZone    = "zone"    // a zone is lost with its targets
	FaultHerd    = "herd"    // 55 % of the VMs end at once and start again
	FaultRestore = "restore" // the store comes back from older copies of itself
	FaultCut     = "cut"     // VMs lose their links to all targets
	FaultReturn  = "return"  // VMs that were cut off from everything come back
)

// AllFaults are all faults in the order in which they are played.
var AllFaults = []string{FaultRelease, FaultEnd, FaultZone, FaultHerd, FaultRestore, FaultCut, FaultReturn}

const (
	startTime  = 10 * time.Second
	steadyTime = 10 * time.Second
	faultLimit = 30 * time.Second
	// releaseShare is the share of the targets that leave at once, and herdShare that of the VMs
	// that end at once.
	releaseShare = 0.02
	herdShare    = 0.55
	herdAbsence  = 2 * time.Second
)

// Role is what a VM does for the rest of the fleet.
type Role string

// Roles of VMs.
const (
	Reader   Role = "reader"
	Delegate Role = "delegate"
	Standby  Role = "standby"
)

// Load is what control costs a VM of a role, on average, a second.
type Load struct {
	VMs             int
	Datagrams       float64
	Bytes           float64
	MaxBytes        float64
	ProcessorMicros float64
}

// Row is the result for one size.
type Row struct {
	VMs, Zones, Targets int
	// StartBytes is what a VM sent and pulled in the first 10 s on average, MaxStartBytes that of the
	// VM with most, and StartMillis its processor time. StoreCalls are the calls of all.
	StartBytes, MaxStartBytes int
	StartMillis               float64
	StoreCalls                int
	// Steady is the load of each role with nothing going on, and SteadyCalls the calls to the store
	// of all VMs a second.
	Steady      map[Role]Load
	SteadyCalls float64
	// RestoreCalls are the calls to the store of all VMs in the 10 s after a restore of the store, and
	// RestoreBytes what the VM with most sent and pulled in that time, both in the worst case played.
	RestoreCalls, RestoreBytes int
	// ReturnQuestions are the questions for departures of all VMs in the heartbeat of targets after VMs came back, and
	// ReturnBytes what all VMs pulled from each other in that time, both in the worst case played.
	ReturnQuestions, ReturnBytes int
	// Reopened is in how many cases a VM used targets again that had left and that it had closed.
	Reopened int
	// Cuts are the cuts of VMs from all targets.
	Cuts []cutLoad `json:",omitempty"`
	// Seconds are the times until something was known on the last VM; -1 if it was not in 30 s.
	Seconds map[string]float64
}

// Names of the times in a Row.
const (
	TimeLive     = "all list each other after the start"
	TimeReady    = "all know the targets after the start"
	TimeLeaving  = "targets that leave known everywhere"
	TimeDelegate = "the end of a delegate known everywhere"
	TimeStandby  = "the end of a standby known everywhere"
	TimeZone     = "the loss of a zone known everywhere"
	TimeRemoved  = "its targets removed everywhere"
	TimeHerd     = "all list each other after 55 % ended"
	// After a restore of the store, in the worst case played.
	TimeRestoredLeaving = "targets that leave after a restore known everywhere"
	TimeRestoredConfig  = "a configuration after a restore known everywhere"
	// After VMs that were cut off have come back, in the worst case played.
	TimeReturned = "targets that left meanwhile unused by VMs that come back"
)

// times are the names in the order of reports.
var times = []string{TimeReady, TimeLive, TimeLeaving, TimeDelegate, TimeStandby, TimeZone, TimeRemoved, TimeHerd, TimeRestoredLeaving, TimeRestoredConfig, TimeReturned}

// play plays a fleet of one size.
func play(vms, zones, targets int, seed uint64, faults []string) Row {
	s := newSim(vms, zones, targets, seed)
	r := Row{VMs: vms, Zones: zones, Targets: targets, Steady: make(map[Role]Load), Seconds: make(map[string]float64)}
	s.playStart(&r)
	s.playSteady(&r)
	for _, fault := range AllFaults {
		if !slices.Contains(faults, fault) {
			continue
		}
		switch fault {
		case FaultRelease:
			s.playRelease(&r)
		case FaultEnd:
			s.playEnds(&r)
		case FaultZone:
			s.playZoneLoss(&r)
		case FaultHerd:
			s.playHerd(&r)
		case FaultRestore:
			s.playRestores(&r)
		case FaultCut:
			s.playCuts(&r)
		case FaultReturn:
			s.playReturns(&r)
		}
	}
	return r
}

// record records a time, or -1 if the limit passed first.
func (r *Row) record(name string, took time.Duration, ok bool) {
	r.Seconds[name] = -1
	if ok {
		r.Seconds[name] = took.Seconds()
	}
}

func (s *sim) playStart(r *Row) {
	began := s.now
	s.startAll(s.vms)
	s.advance(startSpread)
	took, ok := s.until(faultLimit, func() bool { return s.each(func(v *vm) bool { return v.state != nil && v.state.Complete() }) })
	r.record(TimeReady, took+startSpread, ok)
	took, ok = s.until(faultLimit, s.allListed)
	r.record(TimeLive, s.now.Sub(began), ok)
	s.advance(max(startTime-s.now.Sub(began), 0))
	for _, v := range s.vms {
		bytes := v.count.DatagramBytes + v.count.PullBytes
		r.StartBytes += bytes / len(s.vms)
		r.MaxStartBytes = max(r.MaxStartBytes, bytes)
		r.StartMillis += v.count.Work.Seconds() * 1000 / float64(len(s.vms))
	}
	r.StoreCalls = s.store.calls
	_ = took
}

// allListed reports whether each running VM lists all running VMs.
func (s *sim) allListed() bool {
	running := 0
	for _, v := range s.vms {
		if v.running {
			running++
		}
	}
	return s.each(func(v *vm) bool { return v.fleet.LiveCount() == running })
}

func (s *sim) playSteady(r *Row) {
	s.advance(5 * time.Second)
	for _, v := range s.vms {
		v.count = counters{}
	}
	s.store.calls = 0
	s.advance(steadyTime)
	seconds := steadyTime.Seconds()
	for _, v := range s.vms {
		load := r.Steady[v.role()]
		bytes := float64(v.count.DatagramBytes+v.count.PullBytes) / seconds
		load.VMs++
		load.Datagrams += float64(v.count.Datagrams) / seconds
		load.Bytes += bytes
		load.MaxBytes = max(load.MaxBytes, bytes)
		load.ProcessorMicros += v.count.Work.Seconds() * 1e6 / seconds
		r.Steady[v.role()] = load
	}
	for role, load := range r.Steady {
		n := float64(load.VMs)
		load.Datagrams, load.Bytes, load.ProcessorMicros = load.Datagrams/n, load.Bytes/n, load.ProcessorMicros/n
		r.Steady[role] = load
	}
	r.SteadyCalls = float64(s.store.calls) / seconds
}

func (v *vm) role() Role {
	switch {
	case v.fleet.ReadRank(false) == 0:
		return Reader
	case v.fleet.Standby():
		return Standby
	}
	return Delegate
}

func (s *sim) playRelease(r *Row) {
	every := int(1 / releaseShare)
	leaving := make(map[steering.Target]bool)
	for i, t := range s.store.targets {
		if i%every == 0 {
			leaving[t.Name] = true
		}
	}
	s.store.change(func(t platform.Target) bool { return leaving[t.Name] }, func(t *platform.Target) { t.Leaving = true })
	took, ok := s.until(faultLimit, func() bool {
		return s.each(func(v *vm) bool {
			for name := range leaving {
				if known, closed := v.knowsTarget(name); known && !closed {
					return false
				}
			}
			return true
		})
	})
	r.record(TimeLeaving, took, ok)
	s.advance(3 * time.Second)
}

// end ends a VM without a farewell, and measures until no other one lists it.
func (s *sim) end(r *Row, name string, gone *vm) {
	gone.running = false
	took, ok := s.until(faultLimit, func() bool { return s.each(func(v *vm) bool { return !v.fleet.IsLive(gone.self.Name) }) })
	r.record(name, took, ok)
}

func (s *sim) playEnds(r *Row) {
	for _, c := range []struct {
		name string
		role Role
	}{{TimeDelegate, Delegate}, {TimeStandby, Standby}} {
		i := slices.IndexFunc(s.vms, func(v *vm) bool { return v.running && v.role() == c.role })
		if i < 0 {
			continue
		}
		s.end(r, c.name, s.vms[i])
		s.vms[i].start()
		s.advance(5 * time.Second)
	}
}

func (s *sim) playZoneLoss(r *Row) {
	lost := s.zones[len(s.zones)-1].name
	if len(s.zones) == 1 {
		return
	}
	var ended []*vm
	for _, v := range s.vms {
		if v.self.Zone == lost && v.running {
			v.running = false
			ended = append(ended, v)
		}
	}
	began := s.now
	took, ok := s.until(faultLimit, func() bool {
		return s.each(func(v *vm) bool {
			return !slices.ContainsFunc(ended, func(e *vm) bool { return v.fleet.IsLive(e.self.Name) })
		})
	})
	r.record(TimeZone, took, ok)
	s.advance(max(3*targetHeartbeat-s.now.Sub(began), 0))
	removed := s.targetsIn(lost)
	s.store.remove(func(t platform.Target) bool { return t.Zone == lost })
	took, ok = s.until(faultLimit, func() bool {
		return s.each(func(v *vm) bool {
			return !slices.ContainsFunc(removed, func(name steering.Target) bool { known, _ := v.knowsTarget(name); return known })
		})
	})
	r.record(TimeRemoved, took, ok)
	s.startAll(ended)
	s.advance(10 * time.Second)
}

func (s *sim) targetsIn(zone steering.Zone) []steering.Target {
	var names []steering.Target
	for _, t := range s.store.targets {
		if t.Zone == zone {
			names = append(names, t.Name)
		}
	}
	return names
}

func (s *sim) playHerd(r *Row) {
	var ended []*vm
	for _, v := range s.vms {
		if v.running && s.network.random.Float64() < herdShare {
			v.running = false
			ended = append(ended, v)
		}
	}
	began := s.now
	s.advance(herdAbsence)
	s.startAll(ended)
	s.advance(startSpread)
	_, ok := s.until(faultLimit, s.allListed)
	r.record(TimeHerd, s.now.Sub(began), ok)
}
