package placement

import (
	"time"

	"heatherlock/steering"
)

const (
	// mixInterval is the time after which the routes of a service are counted anew.
	mixInterval = 2 * time.Second
	// minMixShare is the share of a service's requests that a route needs to count. Configurations hold
	// routes that get next to no requests, and those must not change how the service is treated.
	minMixShare = 0.05
	// minMixRequests is how many requests a count needs; with fewer it is continued.
	minMixRequests = 40
	// minFirstRequests is how many requests a route needs to count before the first count is complete. With one, a
	// route that gets next to no requests would decide.
	minFirstRequests = 2
	// maxMixRoutes bounds the routes that are counted for each service.
	maxMixRoutes = 64
)

// routeMix counts the requests of a service by route, to find out whether routes with different
// latency objectives or ranks share its targets.
type routeMix struct {
	since   time.Time
	total   int
	byRoute map[string]*routeCount
	// ofWorkspaces counts the requests of workspaces.
	ofWorkspaces int
	mixed        bool
	// counted is set once a count is complete. Until then, mixedSoFar says what the requests so far show.
	counted, mixedSoFar bool
	// urgent is the route with the shortest latency objective among those of the lowest rank.
	urgent routeCount
}

type routeCount struct {
	name     string
	aim      time.Duration
	rank     int
	requests int
}

// record counts a request.
func (m *routeMix) record(now time.Time, r Request) {
	if r.Route == "" {
		return
	}
	if m.byRoute == nil {
		m.byRoute, m.since = make(map[string]*routeCount), now
	}
	c := m.byRoute[r.Route]
	if c == nil {
		if len(m.byRoute) >= maxMixRoutes {
			return
		}
		c = &routeCount{name: r.Route}
		m.byRoute[r.Route] = c
	}
	c.aim, c.rank = r.RouteAim, r.RouteRank
	c.requests++
	m.total++
	if r.Workspace {
		m.ofWorkspaces++
	}
	if m.total >= minMixRequests && now.Sub(m.since) >= mixInterval {
		m.mixed, m.urgent = m.compare(1)
		m.byRoute, m.total, m.ofWorkspaces, m.counted = nil, 0, 0, true
		return
	}
	if !m.counted && !m.mixedSoFar {
		m.mixedSoFar, _ = m.compare(minFirstRequests)
	}
}

// compare finds out whether the service is mixed, and its most urgent route, by the routes with at least that many requests.
func (m *routeMix) compare(least int) (mixed bool, urgent routeCount) {
	if float64(m.ofWorkspaces) < minMixShare*float64(m.total) {
		return false, urgent
	}
	var first *routeCount
	for _, c := range m.byRoute {
		if float64(c.requests) < minMixShare*float64(m.total) || c.requests < least {
			continue
		}
		if first == nil {
			first = c
		}
		if c.aim != first.aim || c.rank != first.rank {
			mixed = true
		}
		if urgent.requests == 0 || c.before(&urgent) {
			urgent = *c
		}
	}
	return mixed, urgent
}

func (c *routeCount) before(o *routeCount) bool {
	if c.rank != o.rank {
		return c.rank < o.rank
	}
	return c.aim < o.aim
}

// mixedFromFirst reports whether the service is mixed as far as the requests before the first complete count show.
func (m *routeMix) mixedFromFirst() bool { return !m.counted && m.mixedSoFar }

// Mixed reports whether routes with different latency objectives or ranks, and workspaces, shared a service when
// its requests were last counted. Its callers compete for slots, and differ in how long they may wait for one.
func (b *Balancer) Mixed(service steering.Service) bool {
	v := b.services[service]
	return v != nil && v.routes.mixed
}

// MixedServices returns for each service whether it is mixed.
func (b *Balancer) MixedServices() map[steering.Service]bool {
	mixed := make(map[steering.Service]bool, len(b.services))
	for name, v := range b.services {
		mixed[name] = v.routes.mixed
	}
	return mixed
}
