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

// RemoteZonesConfig holds what RemoteZones needs.
type RemoteZonesConfig struct {
	Members *Members
	Configs seam.Configs
	Params  spill.Params
	Scope   tally.Scope // nil means none
}

// RemoteZones keeps hints about places outside the own zone. It implements
// seam.RemoteZones; the decision is in steering/spill.
type RemoteZones struct {
	members *Members
	configs seam.Configs
	scope   tally.Scope

	mu     sync.Mutex
	table  *spill.Table
	forgot time.Time
	// sites holds the places per service of the snapshot of that version.
	version int64
	sites   map[steering.Service][]*routing.Place
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

// OnPools takes in headroom that beats carried; give it to Hooks.OnPools.
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

// Candidates implements seam.RemoteZones. Work is counted against the first
// place's hint, because that is where it goes next.
func (r *RemoteZones) Candidates(service steering.Service, home steering.Place) []steering.Place {
	snapshot := r.configs.Snapshot()
	if snapshot == nil {
		return nil
	}
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forget(now)
	places := r.table.Order(service, r.candidates(snapshot, service, home), now)
	if len(places) == 0 {
		r.scope.Counter("no_candidate").Inc(1)
		return nil
	}
	r.table.RecordSent(spill.Pool{Place: places[0], Service: service})
	return places
}

// forget drops old hints once a second.
func (r *RemoteZones) forget(now time.Time) {
	if now.Sub(r.forgot) > time.Second {
		r.forgot = now
		r.table.RemoveExpired(now)
	}
}

// candidates lists the places outside the own zone that have targets for the
// service and an entry VM to hand work to.
func (r *RemoteZones) candidates(snapshot *routing.Snapshot, service steering.Service, home steering.Place) []spill.Candidate {
	self := r.members.Self()
	var list []spill.Candidate
	for _, place := range r.sitesOf(snapshot, service) {
		if place.Zone == self.Zone || !r.reachable(place.Zone) {
			continue
		}
		list = append(list, spill.Candidate{Place: place.Name, Distance: r.distance(place, self.Region, home, snapshot)})
	}
	return list
}

func (r *RemoteZones) sitesOf(snapshot *routing.Snapshot, service steering.Service) []*routing.Place {
	if r.version != snapshot.Version {
		r.version = snapshot.Version
		r.sites = map[steering.Service][]*routing.Place{}
		for _, place := range snapshot.Places {
			for _, name := range servicesOf(place) {
				r.sites[name] = append(r.sites[name], place)
			}
		}
	}
	return r.sites[service]
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

// Ranks of distance; regions further away follow in steps of their round trip.
const (
	distanceHome = iota
	distanceOwnRegion
	distanceHomeRegion
	distanceElsewhere
)

// distanceStep is the difference in round trip that makes a region further.
const distanceStep = 10 * time.Millisecond

func (r *RemoteZones) distance(place *routing.Place, own steering.Region, home steering.Place, snapshot *routing.Snapshot) int {
	homePlace := snapshot.Places[home]
	switch {
	case place.Name == home:
		return distanceHome
	case place.Region == own:
		return distanceOwnRegion
	case homePlace != nil && place.Region == homePlace.Region:
		return distanceHomeRegion
	}
	return distanceElsewhere + int(r.members.Distance(place.Region)/distanceStep)
}
