package gateway

import (
	"time"

	"heatherlock/node/gateway/catchup"
	"heatherlock/node/gateway/feed"
	"heatherlock/node/gateway/fleet"
	"heatherlock/node/gateway/relay"
	"heatherlock/node/gateway/volume"
	"heatherlock/steering"
	"heatherlock/steering/spread"
)

const (
	// discoveryTime is how long a VM may take to learn that a newer configuration exists: the
	// interval between reads of the store, plus a heartbeat.
	discoveryTime = 1400 * time.Millisecond
	// defaultStaleLimit applies when the settings do not bound how soon a configuration must be
	// active: the bound for the largest deployments that are supported.
	defaultStaleLimit = 4 * time.Second
)

// outdated reports whether this VM must stop serving by its active configuration: it has known of
// a newer one for longer than that may take to become active, and receives heartbeats from a VM
// that has it.
//
// Without such a VM it goes on serving, so that a VM that is partitioned from the others still
// serves the requests it can.
func (g *Gateway) outdated() bool {
	_, behindFor, behind := g.reader.Behind()
	table := g.relay.Table()
	if !behind || table == nil || behindFor < g.staleLimit() {
		return false
	}
	return len(g.fleet.ConfigHolders(table.Version)) > 0
}

// staleLimit returns for how long a VM that has learned of a newer configuration may still serve
// by its own: the bound on activating the newer one, less the time that this VM may have taken to
// learn of it.
func (g *Gateway) staleLimit() time.Duration {
	bound := g.bounds.Load().MaxConfigApplyTime
	if bound <= 0 {
		return defaultStaleLimit
	}
	return max(bound-discoveryTime, bound/2)
}

// configKnowledge returns what this VM knows of the configuration.
func (g *Gateway) configKnowledge() relay.ConfigKnowledge {
	newest, _, _ := g.reader.Behind()
	at, since := g.reader.ConfigReadUntil()
	return relay.ConfigKnowledge{Newest: newest, ReadUntil: at, InForceSince: since}
}

// maxLoggedRoutes bounds the names of routes in one log line.
const maxLoggedRoutes = 12

// logConfigChange logs a configuration that is in force from now on, and which routes it brings, takes away or changes.
func (g *Gateway) logConfigChange(c feed.ConfigChange) {
	line := []any{"msg", "configuration in force", "config", c.Table.Version, "routes", len(c.Table.Routes), "known_ms", c.Known.Milliseconds(),
		"from", c.From, "config_read_until", c.ReadUntil}
	if c.Replaced != nil {
		difference := c.Table.Compare(c.Replaced)
		for _, part := range []struct {
			name   string
			routes []string
		}{{"added", difference.Added}, {"removed", difference.Removed}, {"changed", difference.Changed}} {
			if len(part.routes) > 0 {
				line = append(line, "routes_"+part.name, len(part.routes), part.name, part.routes[:min(len(part.routes), maxLoggedRoutes)])
			}
		}
	}
	_ = g.log.Log(line...) // the log writer counts dropped lines
}

// newestConfig is the newest version known to exist, and the VM that first announced it.
type newestConfig struct {
	version uint64
	vm      steering.VM
}

// recordNewest records the sender of a heartbeat that announces a newer version than any known
// before.
func (g *Gateway) recordNewest(before uint64, b fleet.Beat) {
	if announced := max(b.StoreDigest.Config, b.StoreDigest.Newest); announced > before {
		g.newest.Store(&newestConfig{announced, b.From.Name})
	}
}

// newConfigHandler returns the handler that serves the configuration to peers.
func (g *Gateway) newConfigHandler() *catchup.Handler {
	return &catchup.Handler{Index: g.reader.Index, SendLimiter: g.sendLimiter, Scope: g.metrics.Scope, Log: g.log}
}

// newFetcher returns the fetcher of newer configurations, whose traffic is metered by distance.
func (g *Gateway) newFetcher() *catchup.Fetcher {
	return catchup.NewFetcher(catchup.Config{Reader: g.reader, Peers: g.peersWithNewer, Requester: g.requester, HTTP: g.peerClient,
		Self: g.settings.VM, PieceBytes: spread.PieceBytes(g.settings.LinkMbps), Scope: g.metrics.Scope, Log: g.log,
		OnResponse: func(from catchup.Peer, bytes int64) {
			g.meter.Count(volume.Configuration, volume.Location{Zone: from.Zone, Region: from.Region}, bytes)
		}})
}

// peersWithNewer returns the live VMs whose configuration is newer than a version.
func (g *Gateway) peersWithNewer(above uint64) []catchup.Peer {
	var all []catchup.Peer
	for _, h := range g.fleet.ConfigHolders(above) {
		all = append(all, catchup.Peer{Address: h.Control,
			Source: spread.Source{VM: h.Name, Zone: h.Zone, Region: h.Region, Version: h.Version}})
	}
	return all
}

// requester returns the zone and region of this VM, and how many live VMs in each of them fetch
// before it.
func (g *Gateway) requester() spread.Requester {
	zone, region := g.fleet.RequestRank()
	return spread.Requester{Zone: g.settings.Zone, Region: g.settings.Region, ZoneRank: zone, RegionRank: region}
}
