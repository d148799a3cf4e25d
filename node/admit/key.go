package admit

import (
	"time"

	"heatherlock/steering"
	"heatherlock/steering/routing"
)

// poolKey names a pool: the targets of a service at a place, or, with no
// service, the link into the place.
type poolKey struct {
	place   steering.Place
	service steering.Service
}

func linkOf(place steering.Place) poolKey { return poolKey{place: place} }

func (k poolKey) isLink() bool { return k.service == "" }

// linkTarget is the one target of a link's pool.
func linkTarget(p *routing.Place) routing.Target {
	return routing.Target{Name: steering.Target("link/" + string(p.Name)), Place: p.Name, Slots: p.LinkInFlight}
}

// wanted is what one pool needs.
type wanted struct {
	key     poolKey
	class   routing.Criticality // of the service; a link takes it from each request
	targets []routing.Target
}

// poolsOf lists the pools of a zone, links included.
func poolsOf(s *routing.Snapshot, zone steering.Zone) map[poolKey]wanted {
	pools := map[poolKey]wanted{}
	for _, place := range s.Places {
		if place.Zone != zone {
			continue
		}
		for _, t := range place.Targets {
			key := poolKey{place.Name, t.Service}
			w := pools[key]
			w.key = key
			w.class = classOf(s, t.Service)
			w.targets = append(w.targets, t)
			pools[key] = w
		}
		if place.LinkInFlight > 0 {
			key := linkOf(place.Name)
			pools[key] = wanted{key: key, targets: []routing.Target{linkTarget(place)}}
		}
	}
	return pools
}

func classOf(s *routing.Snapshot, service steering.Service) routing.Criticality {
	if known, ok := s.Services[service]; ok {
		return known.Criticality
	}
	return routing.Normal
}

// ask is one request for a slot, local or from another entry VM.
type ask struct {
	id       string // unique within the holder's incarnation
	holder   holder
	class    routing.Criticality
	foreign  bool
	patient  bool
	deadline time.Time
	avoid    []steering.Target
}

// holder is who holds a grant.
type holder struct {
	vm          steering.VM
	incarnation steering.Incarnation
}

// slot is a granted slot as its holder knows it.
type slot struct {
	grant  string
	owner  steering.VM // that granted it
	target routing.Target
}
