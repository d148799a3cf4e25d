package gateway

import (
	"slices"
	"strings"

	"heatherlock/steering"
	"heatherlock/steering/presence"
	"heatherlock/steering/queueowner"
)

// updateOwners computes the owners of targets anew if the VMs that callers are directed to have changed, and
// gives up what was passed on to VMs that are not expected to answer any more.
func (g *Gateway) updateOwners() {
	var all []queueowner.VM
	for zone := range g.settings.Zones {
		for _, m := range g.namedIn(zone) {
			all = append(all, queueowner.VM{Name: m.Name, Incarnation: g.fleet.Process(m.Name).Incarnation, Zone: m.Zone, Region: m.Region, Address: m.Peer, Capacity: float64(m.Capacity)})
		}
	}
	slices.SortFunc(all, func(a, b queueowner.VM) int { return strings.Compare(string(a.Name), string(b.Name)) })
	g.setOwners(all)
	// Also if the owners are the same: a VM that leaves is no owner any more, and may be killed before it has answered.
	g.relay.GiveUpAbandoned(g.fleet.Process)
	g.relay.ReturnWaitingOf(func(vm steering.VM) presence.State { return g.fleet.Process(vm).State })
}

func (g *Gateway) setOwners(all []queueowner.VM) {
	g.ownersMu.Lock()
	defer g.ownersMu.Unlock()
	if slices.Equal(all, g.ownerVMs) {
		return
	}
	g.ownerVMs = all
	g.metrics.Scope.Gauge("gateway_target_owners").Update(float64(len(all)))
	g.relay.SetOwners(queueowner.New(g.settings.VM, all))
}
