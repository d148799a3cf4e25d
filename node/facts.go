package node

import (
	"time"

	"heatherlock/node/operator"
	"heatherlock/node/runtime"
	"heatherlock/node/seam"
	"heatherlock/node/shiftdriver"
	"heatherlock/node/static"
	"heatherlock/steering"
	"heatherlock/steering/drain"
	"heatherlock/steering/routing"
)

// facts tells operators what this entry VM knows of the running system.
type facts struct {
	node  *Node
	parts *parts
}

var _ operator.Runtime = (*facts)(nil)

// ConfigVersion implements operator.Runtime.
func (f *facts) ConfigVersion() int64 { return f.parts.configs.Version() }

// PlatformReachable implements operator.Runtime.
func (f *facts) PlatformReachable() bool { return !f.parts.platform.Failing() }

// Members implements operator.Runtime.
func (f *facts) Members() []operator.MemberFact {
	now := time.Now()
	var all []operator.MemberFact
	for _, m := range f.parts.members.All() {
		all = append(all, operator.MemberFact{
			VM: string(m.VM), Incarnation: string(m.Incarnation), Zone: string(m.Zone), Region: string(m.Region),
			OperatorAddress: m.OperatorAddress, State: memberState(m.State), Age: ageOf(m.LastReceived, now),
			ConfigVersion: m.ConfigVersion,
		})
	}
	return all
}

func memberState(s seam.MemberState) operator.MemberState {
	switch s {
	case seam.MemberLive:
		return operator.Live
	case seam.MemberSuspect:
		return operator.Suspect
	case seam.MemberLeaving:
		return operator.Leaving
	}
	return operator.Gone
}

func ageOf(heard, now time.Time) time.Duration {
	if heard.IsZero() {
		return 0
	}
	return max(0, now.Sub(heard))
}

// Zones implements operator.Runtime.
func (f *facts) Zones() []operator.ZoneFact {
	now := time.Now()
	regions := f.regions()
	var all []operator.ZoneFact
	for _, z := range f.parts.members.Zones() {
		fact := operator.ZoneFact{
			Zone: string(z.Zone), Region: string(regions[z.Zone]), ConfigVersion: z.ConfigVersion, Age: ageOf(z.LastReport, now),
		}
		if z.Silent {
			fact.CutOffSince = z.LastReport
		}
		all = append(all, fact)
	}
	return all
}

// regions maps zones to regions by what members and places say.
func (f *facts) regions() map[steering.Zone]steering.Region {
	known := make(map[steering.Zone]steering.Region)
	for _, m := range f.parts.members.All() {
		known[m.Zone] = m.Region
	}
	return known
}

// Pools implements operator.Runtime.
func (f *facts) Pools() []operator.PoolFact {
	now := time.Now()
	var all []operator.PoolFact
	for _, entry := range f.pools(now) {
		fact := operator.PoolFact{
			Place: entry.fact.Place, Service: entry.fact.Service, Slots: int(entry.fact.Slots),
			InFlight: int(entry.fact.InFlight), Queued: int(entry.fact.Queued), Age: ageOf(entry.at, now),
		}
		if place := f.place(steering.Place(entry.fact.Place)); place != nil {
			fact.Zone, fact.Region = string(place.Zone), string(place.Region)
		}
		all = append(all, fact)
	}
	return all
}

// pools returns the newest word on every pool, this entry VM's own included.
func (f *facts) pools(now time.Time) []boardEntry {
	f.parts.board.note(f.parts.admit.Pools(), now)
	return f.parts.board.all(now)
}

func (f *facts) place(name steering.Place) *routing.Place {
	if s := f.parts.configs.Snapshot(); s != nil {
		return s.Places[name]
	}
	return nil
}

// Shift implements operator.Runtime.
func (f *facts) Shift(name string) (operator.ShiftFact, bool) {
	s := f.parts.configs.Snapshot()
	if s == nil || s.Shifts[name] == nil {
		return operator.ShiftFact{}, false
	}
	fact := operator.ShiftFact{MovedPercent: s.Shifts[name].Moved}
	if progress := s.Progress[name]; progress != nil {
		fact.HeldBy = progress.HeldBy
		fact.Remaining = time.Duration(progress.RemainingSeconds) * time.Second
	}
	return fact, true
}

// receivers is the newest word on every pool, for the pace of shifts.
func (f *facts) receivers() []shiftdriver.Pool {
	now := time.Now()
	var pools []shiftdriver.Pool
	for _, entry := range f.pools(now) {
		pools = append(pools, shiftdriver.Pool{
			Place: steering.Place(entry.fact.Place), Service: steering.Service(entry.fact.Service),
			Slots: int(entry.fact.Slots), InUse: int(entry.fact.InFlight), Queued: int(entry.fact.Queued),
			Age: ageOf(entry.at, now),
		})
	}
	return pools
}

// Stop implements operator.Runtime: what the stopped targets still run, by the
// newest word of the pools that hold them.
func (f *facts) Stop(name string) (operator.StopFact, bool) {
	s := f.parts.configs.Snapshot()
	if s == nil || s.Stops[name] == nil {
		return operator.StopFact{}, false
	}
	stop := s.Stops[name]
	if stop.Kind == routing.StopEntryVM {
		return f.entryVMStop(stop)
	}
	return f.targetStop(s, stop, time.Now()), true
}

// remaining is what is known of the work that a stop waits for.
func (f *facts) remaining(stop string) (drain.Remaining, bool) {
	fact, known := f.Stop(stop)
	return drain.Remaining{InFlight: fact.InFlight, AllReported: known && fact.AllReported}, known
}

// entryVMStop is complete once the entry VM is gone.
func (f *facts) entryVMStop(stop *routing.Stop) (operator.StopFact, bool) {
	for _, m := range f.parts.members.All() {
		if string(m.VM) == stop.Subject && m.State != seam.MemberGone {
			return operator.StopFact{InFlight: m.InFlight, AllReported: false}, true
		}
	}
	return operator.StopFact{AllReported: true}, true
}

func (f *facts) targetStop(s *routing.Snapshot, stop *routing.Stop, now time.Time) operator.StopFact {
	waiting := stoppedPools(s, stop)
	fact := operator.StopFact{}
	for _, entry := range f.pools(now) {
		key := boardKey{steering.Place(entry.fact.Place), steering.Service(entry.fact.Service)}
		targets, covered := waiting[key]
		if !covered {
			continue
		}
		delete(waiting, key)
		for _, draining := range entry.fact.Draining {
			if targets[steering.Target(draining.Target)] {
				fact.InFlight += int(draining.InFlight)
			}
		}
	}
	fact.AllReported = len(waiting) == 0
	return fact
}

// stoppedPools returns the pools with targets that the stop covers.
func stoppedPools(s *routing.Snapshot, stop *routing.Stop) map[boardKey]map[steering.Target]bool {
	pools := make(map[boardKey]map[steering.Target]bool)
	for _, place := range s.Places {
		for _, target := range place.Targets {
			if !covers(stop, place, target) {
				continue
			}
			key := boardKey{place.Name, target.Service}
			if pools[key] == nil {
				pools[key] = make(map[steering.Target]bool)
			}
			pools[key][target.Name] = true
		}
	}
	return pools
}

func covers(stop *routing.Stop, place *routing.Place, target routing.Target) bool {
	switch stop.Kind {
	case routing.StopTarget:
		return string(target.Name) == stop.Subject
	case routing.StopPlace:
		return string(place.Name) == stop.Subject
	case routing.StopZone:
		return string(place.Zone) == stop.Subject
	}
	return false
}

// Cap implements operator.Runtime: the permits held by all seats, which the
// configuration in force says, and those in use, as their holders said within
// the last seconds. Use is unknown until they were asked, and while one of them
// is silent.
func (f *facts) Cap(name string) (operator.CapFact, bool) {
	s := f.parts.configs.Snapshot()
	if s == nil || s.Caps[name] == nil {
		return operator.CapFact{}, false
	}
	total, known := f.parts.caps.TotalUsage(name)
	fact := operator.CapFact{PermitsInUse: total.InUse, InUseKnown: known && total.Unresponsive == 0}
	if seats := s.Seats[name]; seats != nil {
		for _, seat := range seats.Seats {
			fact.PermitsHeld += seat.Permits
		}
	}
	return fact, true
}

// zone is what the zone's status on the platform says besides the version.
func (f *facts) zone() runtime.ZoneFacts {
	now := time.Now()
	zone := runtime.ZoneFacts{}
	for _, m := range f.parts.members.All() {
		if m.Zone != f.node.settings.Zone {
			continue
		}
		zone.Members = append(zone.Members, runtime.MemberStatus{
			VM: m.VM, State: string(memberState(m.State)), ConfigVersion: m.ConfigVersion, InFlight: m.InFlight,
			AgeMs: ageOf(m.LastReceived, now).Milliseconds(),
		})
	}
	for _, entry := range f.pools(now) {
		place := f.place(steering.Place(entry.fact.Place))
		if place == nil || place.Zone != f.node.settings.Zone {
			continue
		}
		zone.Pools = append(zone.Pools, runtime.PoolStatus{
			Place: place.Name, Service: steering.Service(entry.fact.Service), Slots: int(entry.fact.Slots),
			InFlight: int(entry.fact.InFlight), Queued: int(entry.fact.Queued), AgeMs: ageOf(entry.at, now).Milliseconds(),
		})
		for _, draining := range entry.fact.Draining {
			zone.Draining = append(zone.Draining, runtime.DrainStatus{
				Target: steering.Target(draining.Target), InFlight: int(draining.InFlight),
			})
		}
	}
	return zone
}

func operatorTokens(s static.Settings) []operator.Token {
	var tokens []operator.Token
	for _, t := range s.OperatorTokens {
		tokens = append(tokens, operator.Token{Name: t.Name, SHA256: t.SHA256})
	}
	return tokens
}
