package gateway

import (
	"time"

	"heatherlock/node/gateway/catchup"
	"heatherlock/node/gateway/fleet"
	"heatherlock/node/gateway/volume"
	"heatherlock/steering"
	"heatherlock/steering/spread"
)

const (
	// newsTime is how long a VM may take to hear of a newer configuration: the pause
	// between reads of the store, and a heartbeat.
	newsTime = 1400 * time.Millisecond
	// unboundedAct holds where no bound on configurations is set: that of the size the
	// product is designed for.
	unboundedAct = 4 * time.Second
)

// outdated reports whether this VM is not to act on its configuration: for longer than a
// newer one may take to be in force it has known that there is one, and it hears a VM that
// has it.
//
// Without a VM to hear that has the newer one it goes on: what is cut off serves what it
// can.
func (g *Gateway) outdated() bool {
	_, late, behind := g.reader.Behind()
	table := g.relay.Table()
	if !behind || table == nil || late < g.actBound() {
		return false
	}
	return len(g.fleet.Holders(table.Version)) > 0
}

// actBound is how long after it has heard of a newer configuration a VM acts on its own:
// the bound on its being in force, less the time that the news may have taken.
func (g *Gateway) actBound() time.Duration {
	bound := g.bounds.Load().Apply
	if bound <= 0 {
		return unboundedAct
	}
	return max(bound-newsTime, bound/2)
}

// newestConfig is the newest version known to exist, and the VM that told of it first.
type newestConfig struct {
	version uint64
	vm      steering.VM
}

// noteNewest remembers who told of a version that is newer than all known before.
func (g *Gateway) noteNewest(before uint64, b fleet.Beat) {
	if told := max(b.Known.Config, b.Known.Newest); told > before {
		g.newest.Store(&newestConfig{told, b.From.Name})
	}
}

// newConfigHandler returns what tells the configuration to others.
func (g *Gateway) newConfigHandler() *catchup.Handler {
	return &catchup.Handler{Index: g.reader.Index, Room: g.room, Scope: g.metrics.Scope, Log: g.log}
}

// newFetcher returns what brings newer configurations from peers.
func (g *Gateway) newFetcher() *catchup.Fetcher {
	return catchup.NewFetcher(catchup.Config{Reader: g.reader, Peers: g.holders, Asker: g.asker, HTTP: g.peers,
		Self: g.settings.VM, PieceBytes: spread.PieceBytes(g.settings.LinkMbps), Scope: g.metrics.Scope, Log: g.log,
		OnResponse: func(from catchup.Peer, bytes int64) {
			g.meter.Count(volume.Configuration, volume.Place{Zone: from.Zone, Region: from.Region}, bytes)
		}})
}

// holders returns the live VMs that have a newer configuration than a version.
func (g *Gateway) holders(above uint64) []catchup.Peer {
	var all []catchup.Peer
	for _, h := range g.fleet.Holders(above) {
		all = append(all, catchup.Peer{Address: h.Control,
			Source: spread.Source{VM: h.Name, Zone: h.Zone, Region: h.Region, Version: h.Version}})
	}
	return all
}

// asker returns this VM's place among those that are behind.
func (g *Gateway) asker() spread.Asker {
	zone, region := g.fleet.AskRank()
	return spread.Asker{Zone: g.settings.Zone, Region: g.settings.Region, ZoneRank: zone, RegionRank: region}
}
