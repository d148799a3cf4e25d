package fairshare

import (
	"cmp"
	"slices"
	"time"

	"heatherlock/steering"
)

// Usage is the state of a workspace's requests of one rank to a service on this VM.
type Usage struct {
	Request
	// Demand and Share are in requests per second on this VM. While nothing is held back, they are
	// equal.
	Demand, Share float64
	// Refused counts the requests that were refused since the VM started.
	Refused int64
	// Divided is set while the service is divided.
	Divided bool
}

// Usages returns the state of all workspaces that sent requests lately or were refused any, sorted.
func (d *Divider) Usages(now time.Time) []Usage {
	var all []Usage
	for _, g := range d.groups {
		for _, f := range g.flows {
			if u := d.usage(now, g, f); u.Demand >= negligible || u.Refused > 0 {
				all = append(all, u)
			}
		}
	}
	slices.SortFunc(all, func(a, b Usage) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Workspace, b.Workspace))
	})
	return all
}

// Usage returns the state of the workspace of a request that was recorded.
func (d *Divider) Usage(now time.Time, r Request) Usage {
	g := d.group(now, r.Service, r.Rank)
	return d.usage(now, g, g.flow(r.Workspace))
}

func (d *Divider) usage(now time.Time, g *group, f *flow) Usage {
	u := Usage{Request: Request{d.services[g.key.service], f.workspace, int(g.key.rank)}, Demand: f.demand.value(now), Refused: f.refused, Divided: g.divided(now)}
	u.Share = u.Demand
	if u.Divided {
		u.Share = f.rate(now)
	}
	return u
}

// Room is the state of one rank of a service.
type Room struct {
	Service steering.Service
	Rank    int
	// Divided is set while the service is divided. Room and Demand are in requests per second over all
	// VMs that reported; 0 while nothing is divided.
	Divided      bool
	Room, Demand float64
}

// Rooms returns the state of the ranks of all services, sorted.
func (d *Divider) Rooms(now time.Time) []Room {
	var all []Room
	for key, g := range d.groups {
		r := Room{Service: d.services[key.service], Rank: int(key.rank), Divided: g.divided(now)}
		if r.Divided {
			r.Room, r.Demand = g.room, g.demand
		}
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b Room) int { return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Rank, b.Rank)) })
	return all
}
