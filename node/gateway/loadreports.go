package gateway

import (
	"maps"
	"net"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"heatherlock/node/gateway/fleet"
	"heatherlock/node/gateway/loadreport"
	"heatherlock/node/gateway/volume"
	"heatherlock/platform"
	"heatherlock/steering"
	"heatherlock/steering/placement"
	"heatherlock/steering/retry"
)

// newLoadReports creates the service that exchanges load reports. Without a reserved port for it,
// the service exchanges nothing.
func (g *Gateway) newLoadReports() error {
	var conn net.PacketConn
	if g.settings.HasLoadReportPort() {
		address, err := platform.LoadReportAddressOf(g.settings.PeerAddress())
		if err != nil {
			return errors.Wrap(err, "gateway: address for load reports")
		}
		if conn, err = net.ListenPacket("udp4", address); err != nil {
			return errors.Wrap(err, "gateway: listen for load reports")
		}
	} else {
		_ = g.log.Log("msg", "no load reports: peerPorts needs three ports", "ports", g.settings.PeerPorts) // the log writer counts dropped lines
	}
	g.loadReports = loadreport.New(loadreport.Config{Self: g.settings.VM, Region: g.settings.Region, Regions: g.regions(),
		Log: g.log, Scope: g.metrics.Scope, Peers: g.loadReportPeers, OnSend: func(to steering.VM, bytes int) {
			g.meter.Count(volume.LoadReports, g.fleet.LocationOf(to), int64(bytes))
		}}, conn)
	g.loadReports.UseWeights(loadreport.WeightsConfig{Samples: g.loadSamples, Targets: g.weightTargets, SetWeights: g.setWeights,
		Store: &weightStore{store: g.store}})
	return nil
}

func (g *Gateway) loadSamples(now time.Time) (samples []placement.LoadSample) {
	g.relay.WithBalancer(func(b *placement.Balancer, _ *retry.SharedBudget) { samples = b.LoadSamples(now) })
	return samples
}

func (g *Gateway) weightTargets(now time.Time, region steering.Region) (targets []placement.TargetWeight) {
	g.relay.WithBalancer(func(b *placement.Balancer, _ *retry.SharedBudget) { targets = b.TargetWeights(now, region) })
	return targets
}

func (g *Gateway) setWeights(weights map[steering.Target]float64) {
	g.relay.WithBalancer(func(b *placement.Balancer, _ *retry.SharedBudget) { b.SetWeights(weights) })
}

// updateWeightGauges exports how many targets of each service have a weight below 1, and which share of
// its keys moved for that. Services whose weights are 1 again are set to 0.
func (g *Gateway) updateWeightGauges(byService map[steering.Service]placement.ServiceWeights) {
	for service := range g.weightedServices {
		if _, found := byService[service]; !found {
			g.setWeightGauges(service, placement.ServiceWeights{})
			delete(g.weightedServices, service)
		}
	}
	for service, w := range byService {
		g.weightedServices[service] = true
		g.setWeightGauges(service, w)
	}
}

func (g *Gateway) setWeightGauges(service steering.Service, w placement.ServiceWeights) {
	scope := g.metrics.Scope.Tagged(map[string]string{"service": string(service)})
	scope.Gauge("gateway_weights_below_one").Update(float64(len(w.Targets)))
	scope.Gauge("gateway_weights_keys_moved").Update(w.Moved)
}

// regions returns the regions in the settings in alphabetical order.
func (g *Gateway) regions() []steering.Region {
	found := make(map[steering.Region]bool)
	for _, region := range g.settings.Zones {
		found[region] = true
	}
	return slices.Sorted(maps.Keys(found))
}

func (g *Gateway) loadReportPeers() loadreport.Peers {
	peers := loadreport.Peers{Live: loadReportPeersOf(g.fleet.ReadOrder(g.leaving.Load()))}
	for _, zone := range slices.Sorted(maps.Keys(g.settings.Zones)) {
		peers.Named = append(peers.Named, loadReportPeersOf(g.namedIn(zone))...)
	}
	return peers
}

func loadReportPeersOf(members []fleet.Member) []loadreport.Peer {
	peers := make([]loadreport.Peer, 0, len(members))
	for _, m := range members {
		if address, err := platform.LoadReportAddressOf(m.Peer); err == nil {
			peers = append(peers, loadreport.Peer{Name: m.Name, Region: m.Region, Address: address})
		}
	}
	return peers
}
