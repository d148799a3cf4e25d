package admit

import (
	"time"

	"heatherlock/steering"
	"heatherlock/steering/routing"
)

// poolKey identifies a pool: the targets of a service at a place or, if service
// is empty, the link into the place.
type poolKey struct {
	place   steering.Place
	service steering.Service
}

func linkOf(place steering.Place) poolKey { return poolKey{place: place} }

func (k poolKey) isLink() bool { return k.service == "" }

// linkTarget returns the single target of the pool that stands for a link.
func linkTarget(p *routing.Place) routing.Target {
	return routing.Target{Name: steering.Target("link/" + string(p.Name)), Place: p.Name, Slots: p.LinkInFlight}
}

// poolConfig is the configuration of one pool.
type poolConfig struct {
	key     poolKey
	class   routing.Criticality // criticality of the service; unused for a link, see classOf
	targets []routing.Target
}

// poolsOf returns the pools of a zone, including limited links.
func poolsOf(s *routing.Snapshot, zone steering.Zone) map[poolKey]poolConfig {
	pools := map[poolKey]poolConfig{}
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
			pools[key] = poolConfig{key: key, targets: []routing.Target{linkTarget(place)}}
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

// slotRequest is a request for one slot, local or from another entry VM.
type slotRequest struct {
	id       string // unique within the holder's incarnation
	holder   holder
	class    routing.Criticality
	foreign  bool
	patient  bool
	deadline time.Time
	avoid    []steering.Target
}

// holder is the entry VM process that holds a grant.
type holder struct {
	vm          steering.VM
	incarnation steering.Incarnation
}

// slot is a granted slot as recorded by its holder.
type slot struct {
	grant  string
	owner  steering.VM // entry VM that granted it
	target routing.Target
}
