package gateway

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"time"

	"heatherlock/node/gateway/status"
	"heatherlock/steering"
	"heatherlock/steering/placement"
	"heatherlock/steering/retry"
)

// answerStatus tells operators what this VM goes by.
func (g *Gateway) answerStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(g.status(time.Now())); err != nil {
		_ = g.log.Log("msg", "status not written", "err", err) // the writer counts what it drops
	}
}

func (g *Gateway) status(now time.Time) status.Status {
	s := g.settings
	known := g.reader.Digest()
	shown := status.Status{VM: s.VM, Zone: s.Zone, Region: s.Region, Ready: g.relay.Ready() && !g.leaving.Load(), Leaving: g.leaving.Load(),
		StoreAgeMs: known.AgeMs, StoreFails: g.reader.Failing(), ReadRank: g.reader.Rank(),
		PeersLive: len(g.fleet.Live()), PeersKnown: g.fleet.Known(), EvacuatedZones: known.Evacuated,
		DarkZones:       slices.Sorted(maps.Keys(g.fleet.DarkZones())),
		RequestsRunning: g.callers.Running(), CallerConnections: g.callers.Connections()}
	if known.Revision == 0 {
		shown.StoreAgeMs = -1
	}
	if t := g.relay.Table(); t != nil {
		shown.ConfigVersion = t.Version
	}
	g.relay.WithBalancer(func(b *placement.Balancer, budget *retry.SharedBudget) {
		shown.Services = servicesOf(now, b, budget, g.lending, s.Region)
	})
	return shown
}

func servicesOf(now time.Time, b *placement.Balancer, budget *retry.SharedBudget, lending placement.Lending, region steering.Region) []status.Service {
	demand, left := b.Demand(now), budget.Left(now)
	services := []status.Service{}
	for _, c := range b.Counts(now) {
		services = append(services, status.Service{Name: c.Service, Targets: c.Targets, Closed: c.Closed, Cold: c.Cold, Ejected: c.Ejected,
			KeysKept: lending.Kept(c.Service, region), TriesLeft: left[c.Service],
			RequestsPerSecond: float64(demand[c.Service].Rate), RunMs: float64(demand[c.Service].RunMs)})
	}
	return services
}
