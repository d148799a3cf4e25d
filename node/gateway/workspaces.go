package gateway

import (
	"cmp"
	"net"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"heatherlock/node/gateway/allowances"
	"heatherlock/node/gateway/status"
	"heatherlock/node/gateway/volume"
	"heatherlock/platform"
	"heatherlock/steering"
	"heatherlock/steering/allowance"
	"heatherlock/steering/identity"
)

// newAllowances creates the service that enforces the request allowances of workspaces.
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
	g.allowanceService = allowances.New(allowances.Config{Self: g.settings.VM, Log: g.log, Scope: g.metrics.Scope,
		Slack:       allowance.Slack{Window: b.AllowanceWindow, Share: b.AllowanceShare, Requests: b.AllowanceRequests},
		OnLowBucket: func() { g.fleet.Announce() }, OnFirstLimit: g.updateAllowancePeers, OnSend: g.countAllowanceTraffic}, conn)
	return nil
}

func (g *Gateway) countAllowanceTraffic(to steering.VM, bytes int) {
	g.meter.Count(volume.Allowances, g.fleet.LocationOf(to), int64(bytes))
}

// configureAllowances puts the workspaces of a configuration in force. If they are the first with an
// allowance, the allowance service does not know the other VMs yet.
func (g *Gateway) configureAllowances(d *identity.Directory) {
	g.shares.Configure(d)
	first := !g.allowanceService.HasLimits()
	g.allowanceService.Configure(d)
	if first {
		g.updateAllowancePeers()
	}
}

// updateAllowancePeers passes the entry VMs to the allowance service, which needs them only for workspaces with an
// allowance and targets that name a limit. A VM that leaves owns none any more: the others have chosen another
// owner, and two that lend would lend twice as much.
func (g *Gateway) updateAllowancePeers() {
	if !g.allowanceService.HasLimits() {
		return
	}
	live := g.fleet.Live()
	peers := make([]allowances.Peer, 0, len(live))
	for _, m := range live {
		if m.Name == g.settings.VM && g.leaving.Load() && len(live) > 1 {
			continue
		}
		address, err := platform.AllowanceAddressOf(m.Peer)
		if err != nil {
			_ = g.log.Log("msg", "entry VM has no valid address for allowances", "peer", m.Name, "err", err) // the log writer counts dropped lines
			continue
		}
		peers = append(peers, allowances.Peer{Name: m.Name, Region: m.Region, Address: address, Weight: float64(m.Capacity)})
	}
	g.allowanceService.SetFleet(allowances.Fleet{Live: peers, Answering: g.fleet.AnsweringCount(), Members: g.fleet.MemberCount()})
}

// workspaceRows returns the status of the workspaces: what their allowances let run, and what they ask of
// services.
func (g *Gateway) workspaceRows(now time.Time) []status.Workspace {
	rows := g.allowanceService.WorkspaceStatus()
	for _, u := range g.shares.Usages(now) {
		at, found := slices.BinarySearchFunc(rows, u.Workspace, func(w status.Workspace, name steering.Workspace) int { return cmp.Compare(w.Name, name) })
		if !found {
			rows = slices.Insert(rows, at, status.Workspace{Name: u.Workspace})
		}
		rows[at].Shares = append(rows[at].Shares, status.Share{Service: u.Service, Rank: u.Rank, Demand: u.Demand, Share: u.Share, Refused: u.Refused, Short: u.Divided})
	}
	return rows
}

// agreementInterval is the interval at which the share of VMs with the same view of the fleet is passed on.
const agreementInterval = 250 * time.Millisecond

func (g *Gateway) updateAgreement() {
	if g.allowanceService.HasLimits() {
		g.allowanceService.SetAgreeingShare(g.fleet.AgreeingShare())
	}
}

// logWorkspaces logs in one line how many requests of workspaces with an allowance were admitted,
// refused and not run since the last call, and adds them to the metrics.
func (g *Gateway) logWorkspaces() {
	counts := g.allowanceService.TakeCounts()
	if len(counts) == 0 {
		return
	}
	_ = g.log.Log("msg", "workspaces", "zone", g.settings.Zone, "counts", counts) // the log writer counts dropped lines
	for name, n := range counts {
		scope := g.metrics.Scope.Tagged(map[string]string{"workspace": string(name)})
		scope.Counter("gateway_workspace_admitted").Inc(n.Admitted)
		scope.Counter("gateway_workspace_beyond").Inc(n.Beyond)
		scope.Counter("gateway_workspace_not_run").Inc(n.NotRun)
	}
}
