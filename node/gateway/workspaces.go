package gateway

import (
	"net"

	"github.com/go-faster/errors"

	"heatherlock/node/gateway/allowances"
	"heatherlock/node/gateway/volume"
	"heatherlock/platform"
	"heatherlock/steering"
	"heatherlock/steering/allowance"
)

// newAllowances makes what holds workspaces to their allowances.
func (g *Gateway) newAllowances() error {
	address, err := platform.AllowanceAddressOf(g.settings.PeerAddress())
	if err != nil {
		return errors.Wrap(err, "gateway: address for allowances")
	}
	conn, err := net.ListenPacket("udp4", address)
	if err != nil {
		return errors.Wrap(err, "gateway: listen for allowances")
	}
	b := g.settings.Bounds
	g.credits = allowances.New(allowances.Config{Self: g.settings.VM, Log: g.log, Scope: g.metrics.Scope,
		Slack: allowance.Slack{Window: b.AllowanceWindow, Share: b.AllowanceShare, Requests: b.AllowanceRequests},
		Low:   func() { g.fleet.Announce() }, Sent: g.countAllowances}, conn)
	return nil
}

func (g *Gateway) countAllowances(to steering.VM, bytes int) {
	g.meter.Count(volume.Allowances, g.fleet.PlaceOf(to), int64(bytes))
}

// tellAllowances tells who lives, and how many entry VMs there are.
func (g *Gateway) tellAllowances() {
	live := g.fleet.Live()
	peers := make([]allowances.Peer, 0, len(live))
	for _, m := range live {
		address, err := platform.AllowanceAddressOf(m.Peer)
		if err != nil {
			_ = g.log.Log("msg", "entry VM without an address for allowances", "peer", m.Name, "err", err) // the writer counts what it drops
			continue
		}
		peers = append(peers, allowances.Peer{Name: m.Name, Address: address, Weight: float64(m.Capacity)})
	}
	g.credits.SetFleet(peers, g.fleet.Standing())
}

// logWorkspaces writes one line of what became of the requests of workspaces with an
// allowance since the last, and counts them.
func (g *Gateway) logWorkspaces() {
	counts := g.credits.Take()
	if len(counts) == 0 {
		return
	}
	_ = g.log.Log("msg", "workspaces", "zone", g.settings.Zone, "counts", counts) // the writer counts what it drops
	for name, n := range counts {
		scope := g.metrics.Scope.Tagged(map[string]string{"workspace": string(name)})
		scope.Counter("gateway_workspace_admitted").Inc(n.Admitted)
		scope.Counter("gateway_workspace_beyond").Inc(n.Beyond)
		scope.Counter("gateway_workspace_not_run").Inc(n.NotRun)
	}
}
