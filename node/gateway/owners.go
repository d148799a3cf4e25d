package gateway

import (
	"slices"
	"strings"

	"heatherlock/steering"
	"heatherlock/steering/queueowner"
)

// updateOwners computes the owners of targets anew if the VMs that callers are directed to have changed.
func (g *Gateway) updateOwners() {
	var all []queueowner.VM
	for zone := range g.settings.Zones {
		for _, m := range g.namedIn(zone) {
			all = append(all, queueowner.VM{Name: m.Name, Zone: m.Zone, Region: m.Region, Address: m.Peer, Capacity: float64(m.Capacity)})
		}
	}
	slices.SortFunc(all, func(a, b queueowner.VM) int { return strings.Compare(string(a.Name), string(b.Name)) })
	g.ownersMu.Lock()
	defer g.ownersMu.Unlock()
	if slices.Equal(all, g.ownerVMs) {
		return
	}
	g.ownerVMs = all
	g.metrics.Scope.Gauge("gateway_target_owners").Update(float64(len(all)))
	live := make(map[steering.VM]bool) // read here, because SetOwners holds the relay's lock
	for _, m := range g.fleet.Live() {
		live[m.Name] = true
	}
	g.relay.SetOwners(queueowner.New(g.settings.VM, all), func(vm steering.VM) bool { return live[vm] })
}
