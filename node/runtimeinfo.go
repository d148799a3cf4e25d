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

// runtimeInfo reports the runtime state that this entry VM knows: to the operator API, to the
// driver of shifts, to the tracking of planned stops, and to the zone's status on the platform.
type runtimeInfo struct {
	node       *Node
	components *components
}

var _ operator.Runtime = (*runtimeInfo)(nil)

// ConfigVersion implements operator.Runtime.
func (f *runtimeInfo) ConfigVersion() int64 { return f.components.configs.Version() }

// PlatformReachable implements operator.Runtime.
func (f *runtimeInfo) PlatformReachable() bool { return !f.components.platform.Failing() }

// Members implements operator.Runtime.
func (f *runtimeInfo) Members() []operator.MemberFact {
	now := time.Now()
	var all []operator.MemberFact
	for _, m := range f.components.members.All() {
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

func ageOf(lastReceived, now time.Time) time.Duration {
	if lastReceived.IsZero() {
		return 0
	}
	return max(0, now.Sub(lastReceived))
}

// Zones implements operator.Runtime.
func (f *runtimeInfo) Zones() []operator.ZoneFact {
	now := time.Now()
	regions := f.regions()
	var all []operator.ZoneFact
	for _, z := range f.components.members.Zones() {
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

// regions maps each zone to its region, as reported by the members in it.
func (f *runtimeInfo) regions() map[steering.Zone]steering.Region {
	known := make(map[steering.Zone]steering.Region)
	for _, m := range f.components.members.All() {
		known[m.Zone] = m.Region
	}
	return known
}

// Pools implements operator.Runtime.
func (f *runtimeInfo) Pools() []operator.PoolFact {
	now := time.Now()
	var all []operator.PoolFact
	for _, entry := range f.pools(now) {
		fact := operator.PoolFact{
			Place: entry.fact.Place, Service: entry.fact.Service, Slots: int(entry.fact.Slots), HeldBack: max(int(entry.fact.Declared-entry.fact.Slots), 0),
			InFlight: int(entry.fact.InFlight), Queued: int(entry.fact.Queued), Age: ageOf(entry.asOf, now),
		}
		if place := f.place(steering.Place(entry.fact.Place)); place != nil {
			fact.Zone, fact.Region = string(place.Zone), string(place.Region)
		}
		all = append(all, fact)
	}
	return all
}

// pools returns the newest state of every known pool, including those that this entry VM owns.
func (f *runtimeInfo) pools(now time.Time) []poolEntry {
	f.components.poolFacts.update(f.components.admit.Pools(), now)
	return f.components.poolFacts.recent(now)
}

func (f *runtimeInfo) place(name steering.Place) *routing.Place {
	if s := f.components.configs.Snapshot(); s != nil {
		return s.Places[name]
	}
	return nil
}

// Shift implements operator.Runtime.
func (f *runtimeInfo) Shift(name string) (operator.ShiftFact, bool) {
	s := f.components.configs.Snapshot()
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

// shiftPools returns the newest state of every known pool for the shift driver, which bounds the
// rate of a shift by the load of the pools that receive it.
func (f *runtimeInfo) shiftPools() []shiftdriver.Pool {
	now := time.Now()
	var pools []shiftdriver.Pool
	for _, entry := range f.pools(now) {
		pools = append(pools, shiftdriver.Pool{
			Place: steering.Place(entry.fact.Place), Service: steering.Service(entry.fact.Service),
			Slots: int(entry.fact.Slots), InUse: int(entry.fact.InFlight), Queued: int(entry.fact.Queued),
			Age: ageOf(entry.asOf, now),
		})
	}
	return pools
}

// Stop implements operator.Runtime. It reports how many requests the stopped targets still run,
// according to the newest state of their pools.
func (f *runtimeInfo) Stop(name string) (operator.StopFact, bool) {
	s := f.components.configs.Snapshot()
	if s == nil || s.Stops[name] == nil {
		return operator.StopFact{}, false
	}
	stop := s.Stops[name]
	if stop.Kind == routing.StopEntryVM {
		return f.entryVMStop(stop)
	}
	return f.targetStop(s, stop, time.Now()), true
}

// remainingWork returns the requests that a planned stop still waits for, and whether the stop
// is part of the configuration in force.
func (f *runtimeInfo) remainingWork(stop string) (drain.Remaining, bool) {
	fact, known := f.Stop(stop)
	return drain.Remaining{InFlight: fact.InFlight, AllReported: known && fact.AllReported}, known
}

// entryVMStop reports the requests in flight of an entry VM that a planned stop covers. The stop is
// complete once the member is gone.
func (f *runtimeInfo) entryVMStop(stop *routing.Stop) (operator.StopFact, bool) {
	for _, m := range f.components.members.All() {
		if string(m.VM) == stop.Subject && m.State != seam.MemberGone {
			return operator.StopFact{InFlight: m.InFlight, AllReported: false}, true
		}
	}
	return operator.StopFact{AllReported: true}, true
}

func (f *runtimeInfo) targetStop(s *routing.Snapshot, stop *routing.Stop, now time.Time) operator.StopFact {
	pending := stopTargetsByPool(s, stop)
	fact := operator.StopFact{}
	for _, entry := range f.pools(now) {
		key := poolKey{steering.Place(entry.fact.Place), steering.Service(entry.fact.Service)}
		targets, covered := pending[key]
		if !covered {
			continue
		}
		delete(pending, key)
		for _, draining := range entry.fact.Draining {
			if targets[steering.Target(draining.Target)] {
				fact.InFlight += int(draining.InFlight)
			}
		}
	}
	fact.AllReported = len(pending) == 0
	return fact
}

// stopTargetsByPool returns the targets that the stop covers, grouped by pool.
func stopTargetsByPool(s *routing.Snapshot, stop *routing.Stop) map[poolKey]map[steering.Target]bool {
	pools := make(map[poolKey]map[steering.Target]bool)
	for _, place := range s.Places {
		for _, target := range place.Targets {
			if !covers(stop, place, target) {
				continue
			}
			key := poolKey{place.Name, target.Service}
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

// Cap implements operator.Runtime. It reports the permits held by all seats according to the
// configuration in force, and the permits in use as reported by the seats' holders within the last
// seconds. The number in use is unknown until the holders have been polled, and while one of them
// does not answer.
func (f *runtimeInfo) Cap(name string) (operator.CapFact, bool) {
	s := f.components.configs.Snapshot()
	if s == nil || s.Caps[name] == nil {
		return operator.CapFact{}, false
	}
	total, known := f.components.caps.TotalUsage(name)
	fact := operator.CapFact{PermitsInUse: total.InUse, InUseKnown: known && total.Unresponsive == 0}
	if seats := s.Seats[name]; seats != nil {
		for _, seat := range seats.Seats {
			fact.PermitsHeld += seat.Permits
		}
	}
	return fact, true
}

// zoneStatus returns the contents of the zone's status on the platform, except for the
// configuration version.
func (f *runtimeInfo) zoneStatus() runtime.ZoneFacts {
	now := time.Now()
	zoneStatus := runtime.ZoneFacts{}
	for _, m := range f.components.members.All() {
		if m.Zone != f.node.settings.Zone {
			continue
		}
		zoneStatus.Members = append(zoneStatus.Members, runtime.MemberStatus{
			VM: m.VM, State: string(memberState(m.State)), ConfigVersion: m.ConfigVersion, InFlight: m.InFlight,
			AgeMs: ageOf(m.LastReceived, now).Milliseconds(),
		})
	}
	for _, entry := range f.pools(now) {
		place := f.place(steering.Place(entry.fact.Place))
		if place == nil || place.Zone != f.node.settings.Zone {
			continue
		}
		zoneStatus.Pools = append(zoneStatus.Pools, runtime.PoolStatus{
			Place: place.Name, Service: steering.Service(entry.fact.Service), Slots: int(entry.fact.Slots),
			InFlight: int(entry.fact.InFlight), Queued: int(entry.fact.Queued), AgeMs: ageOf(entry.asOf, now).Milliseconds(),
		})
		for _, draining := range entry.fact.Draining {
			zoneStatus.Draining = append(zoneStatus.Draining, runtime.DrainStatus{
				Target: steering.Target(draining.Target), InFlight: int(draining.InFlight),
			})
		}
	}
	return zoneStatus
}

func operatorTokens(s static.Settings) []operator.Token {
	var tokens []operator.Token
	for _, t := range s.OperatorTokens {
		tokens = append(tokens, operator.Token{Name: t.Name, SHA256: t.SHA256})
	}
	return tokens
}
