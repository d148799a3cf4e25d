package gateway

import (
	"maps"
	"net"
	"slices"

	"github.com/go-faster/errors"

	"heatherlock/node/gateway/fleet"
	"heatherlock/node/gateway/loadreport"
	"heatherlock/node/gateway/volume"
	"heatherlock/platform"
	"heatherlock/steering"
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
	return nil
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
