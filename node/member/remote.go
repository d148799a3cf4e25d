package member

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"heatherlock/node/seam"
	"heatherlock/peer/peerpb"
	"heatherlock/steering"
	"heatherlock/steering/routing"
	"heatherlock/steering/spill"
)

// RemoteZonesConfig configures a RemoteZones.
type RemoteZonesConfig struct {
	Members *Members
	Configs seam.Configs
	Params  spill.Params
	Scope   tally.Scope // nil disables metrics
}

// RemoteZones keeps hints about the free slots of places outside the own zone. It implements
// seam.RemoteZones. Package steering/spill orders the places.
type RemoteZones struct {
	members *Members
	configs seam.Configs
	scope   tally.Scope

	mu         sync.Mutex
	table      *spill.Table
	lastExpiry time.Time
	// placesByService holds the places of each service in the snapshot of that version.
	version         int64
	placesByService map[steering.Service][]*routing.Place
}

var _ seam.RemoteZones = (*RemoteZones)(nil)

// NewRemoteZones returns a RemoteZones without hints.
func NewRemoteZones(c RemoteZonesConfig) *RemoteZones {
	if c.Scope == nil {
		c.Scope = tally.NoopScope
	}
	return &RemoteZones{members: c.Members, configs: c.Configs, scope: c.Scope.SubScope("remote"),
		table: spill.NewTable(c.Params), version: -1}
}

// OnPools records the free slots that heartbeats carried. It is meant for Hooks.OnPools.
func (r *RemoteZones) OnPools(facts []*peerpb.PoolFact) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range facts {
		r.table.RecordFree(poolOf(f), int(f.Free), now.Add(-time.Duration(f.AgeMs)*time.Millisecond))
	}
}

// Hint implements seam.RemoteZones.
func (r *RemoteZones) Hint(place steering.Place, service steering.Service, free int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.RecordFree(spill.Pool{Place: place, Service: service}, free, time.Now())
}

// RecordRefusal implements seam.RemoteZones.
func (r *RemoteZones) RecordRefusal(place steering.Place, service steering.Service, refusal *steering.Refusal) {
	r.scope.Counter("refused").Inc(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.RecordRefusal(spill.Pool{Place: place, Service: service}, refusal.Reason, refusal.RetryAfter, time.Now())
}

// Candidates implements seam.RemoteZones. The request is counted against the hint of the first
// place, because it is sent there next.
func (r *RemoteZones) Candidates(service steering.Service, home steering.Place) []steering.Place {
	snapshot := r.configs.Snapshot()
	if snapshot == nil {
		return nil
	}
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.removeExpired(now)
	places := r.table.Order(service, r.candidates(snapshot, service, home), now)
	if len(places) == 0 {
		r.scope.Counter("no_candidate").Inc(1)
		return nil
	}
	r.table.RecordSent(spill.Pool{Place: places[0], Service: service})
	return places
}

// removeExpired drops expired hints, at most once a second.
func (r *RemoteZones) removeExpired(now time.Time) {
	if now.Sub(r.lastExpiry) > time.Second {
		r.lastExpiry = now
		r.table.RemoveExpired(now)
	}
}

// candidates lists the places outside the own zone that have targets for the service and whose
// zone has a live entry VM to forward to.
func (r *RemoteZones) candidates(snapshot *routing.Snapshot, service steering.Service, home steering.Place) []spill.Candidate {
	self := r.members.Self()
	var list []spill.Candidate
	for _, place := range r.placesWith(snapshot, service) {
		if place.Zone == self.Zone || !r.reachable(place.Zone) {
			continue
		}
		list = append(list, spill.Candidate{Place: place.Name, Distance: r.distanceRank(place, self.Region, home, snapshot)})
	}
	return list
}

func (r *RemoteZones) placesWith(snapshot *routing.Snapshot, service steering.Service) []*routing.Place {
	if r.version != snapshot.Version {
		r.version = snapshot.Version
		r.placesByService = map[steering.Service][]*routing.Place{}
		for _, place := range snapshot.Places {
			for _, name := range servicesOf(place) {
				r.placesByService[name] = append(r.placesByService[name], place)
			}
		}
	}
	return r.placesByService[service]
}

func servicesOf(place *routing.Place) []steering.Service {
	seen := map[steering.Service]bool{}
	var services []steering.Service
	for _, t := range place.Targets {
		if !seen[t.Service] {
			seen[t.Service] = true
			services = append(services, t.Service)
		}
	}
	return services
}

func (r *RemoteZones) reachable(zone steering.Zone) bool {
	usable := r.members.InZone(zone)
	return len(usable) > 0 && usable[0].State == seam.MemberLive
}

// Distance ranks. Regions beyond the home region are ranked by their round trip in units of
// distanceStep.
const (
	distanceHome = iota
	distanceOwnRegion
	distanceHomeRegion
	distanceOtherRegion
)

// distanceStep is the difference in round trip between two ranks.
const distanceStep = 10 * time.Millisecond

func (r *RemoteZones) distanceRank(place *routing.Place, own steering.Region, home steering.Place, snapshot *routing.Snapshot) int {
	homePlace := snapshot.Places[home]
	switch {
	case place.Name == home:
		return distanceHome
	case place.Region == own:
		return distanceOwnRegion
	case homePlace != nil && place.Region == homePlace.Region:
		return distanceHomeRegion
	}
	return distanceOtherRegion + int(r.members.RoundTrip(place.Region)/distanceStep)
}
