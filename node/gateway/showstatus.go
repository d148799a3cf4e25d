package gateway

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"

	"heatherlock/node/gateway/fleet"
	"heatherlock/node/gateway/status"
	"heatherlock/steering"
	"heatherlock/steering/placement"
	"heatherlock/steering/retry"
)

// headerConfig is the header that names the version of the active configuration in status
// responses.
const headerConfig = "Heatherlock-Config"

// setConfigHeader sets headerConfig, unless no configuration is active yet.
func (g *Gateway) setConfigHeader(w http.ResponseWriter) {
	if t := g.relay.Table(); t != nil {
		w.Header().Set(headerConfig, strconv.FormatUint(t.Version, 10))
	}
}

// serveStatus serves the status of this VM to operators.
func (g *Gateway) serveStatus(w http.ResponseWriter, _ *http.Request) {
	g.setConfigHeader(w)
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(g.status(time.Now())); err != nil {
		_ = g.log.Log("msg", "cannot write status", "err", err) // the log writer counts dropped lines
	}
}

func (g *Gateway) status(now time.Time) status.Status {
	s := g.settings
	known := g.reader.Digest()
	result := status.Status{VM: s.VM, Zone: s.Zone, Region: s.Region, Ready: g.relay.Ready() && !g.leaving.Load(), Leaving: g.leaving.Load(),
		StoreAgeMs: known.AgeMs, StoreFails: g.reader.Failing(), ReadRank: g.reader.Rank(),
		PeersLive: len(g.fleet.Live()), PeersKnown: g.fleet.RecordCount(), EvacuatedZones: known.Evacuated,
		UnreachableZones: slices.Sorted(maps.Keys(g.fleet.UnreachableZones())),
		RequestsRunning:  g.callers.InFlight(), CallerConnections: g.callers.Connections()}
	if known.Revision == 0 {
		result.StoreAgeMs = -1
	}
	if t := g.relay.Table(); t != nil {
		result.ConfigVersion = t.Version
	}
	result.Workspaces = g.workspaceRows(now)
	result.Config, result.Fleet = g.configStatus(now), peerRows(now, g.fleet.ConfigStatus())
	g.relay.WithBalancer(func(b *placement.Balancer, budget *retry.SharedBudget) {
		result.Services = serviceRows(now, b, budget, g.regionSplit, s.Region)
		addWeights(result.Services, b.WeightsByService())
	})
	result.Balancers = g.balancerRows(now)
	return result
}

// configStatus returns which configuration this VM follows, and its progress in fetching a newer
// one.
func (g *Gateway) configStatus(now time.Time) status.Config {
	newest, behind, _ := g.reader.Behind()
	progress := g.fetcher.Progress()
	c := status.Config{Newest: newest, BehindMs: behind.Milliseconds(), PartsMissing: progress.Missing, Parts: progress.Total, Wait: progress.Wait.String()}
	if from := g.newest.Load(); from != nil && from.version == newest {
		c.NewestFrom = from.vm
	}
	if _, content, since, ok := g.reader.InForce(); ok {
		c.InForceMs, c.Content = now.Sub(since).Milliseconds(), contentText(uint32(content))
	}
	if r := g.reader.Rejected(); r != nil {
		c.Rejected = &status.Rejected{Version: r.Version, Reason: r.Reason}
	}
	return c
}

// contentText formats the hash of a configuration's content; it is empty if the hash is 0, which
// means unknown.
func contentText(hash uint32) string {
	if hash == 0 {
		return ""
	}
	return fmt.Sprintf("%08x", hash)
}

func peerRows(now time.Time, all []fleet.ConfigStatus) []status.Peer {
	peers := make([]status.Peer, 0, len(all))
	for _, f := range all {
		p := status.Peer{VM: f.Name, Zone: f.Zone, Region: f.Region, Control: f.Control, Live: f.Live, Ready: f.Serving && f.Live && !f.Leaving,
			Leaving: f.Leaving, ConfigVersion: f.Version, Newest: f.Newest, Content: contentText(f.Content), Wait: f.Wait.String(), ToldMs: -1}
		if !f.LastHeartbeat.IsZero() {
			p.ToldMs, p.InForceMs = now.Sub(f.LastHeartbeat).Milliseconds(), now.Sub(f.Since).Milliseconds()
		}
		peers = append(peers, p)
	}
	return peers
}

func serviceRows(now time.Time, b *placement.Balancer, budget *retry.SharedBudget, lending placement.RegionSplit, region steering.Region) []status.Service {
	demand, left := b.Demand(now), budget.Available(now)
	runTimes := runTimeRows(now, b)
	services := []status.Service{}
	for _, c := range b.Counts(now) {
		services = append(services, status.Service{Name: c.Service, Targets: c.Targets, Closed: c.Closed, Cold: c.Cold, Ejected: c.Ejected,
			Limited: c.Limited, Resting: c.Resting, SaidLeaving: c.SaidLeaving,
			KeysKept: lending.LocalShare(c.Service, region), TriesLeft: left[c.Service],
			RequestsPerSecond: float64(demand[c.Service].Rate), RunMs: float64(demand[c.Service].RunMs),
			RunTimes: runTimes[c.Service]})
	}
	return services
}
