package gateway

import (
	"heatherlock/steering/reach"
)

// linksChanged is called when this VM is cut off from all targets, and when it reaches them again. It
// tells all peers, so that the directory no longer names this VM, or does again.
func (g *Gateway) linksChanged() {
	g.fleet.Announce()
	g.signalMembersChanged()
	g.updateHelpers()
}

// updateHelpers chooses the VMs that pass on this VM's requests while it is cut off from all targets.
func (g *Gateway) updateHelpers() {
	if !g.relay.CutOff() {
		return
	}
	var all []reach.Helper
	for _, m := range g.fleet.WithoutCutOff(g.fleet.Serving(false), true) {
		all = append(all, reach.Helper{VM: m.Name, Incarnation: g.fleet.Process(m.Name).Incarnation, Region: m.Region, Address: m.Peer, Capacity: float64(m.Capacity)})
	}
	g.relay.SetHelpers(reach.NewHelpers(g.settings.VM, g.settings.Region, all, g.regionDemand()))
}

// regionDemand returns the request rate of all callers of this VM's region, in requests per second.
func (g *Gateway) regionDemand() float64 {
	sum := 0.0
	for zone, region := range g.settings.Zones {
		if region == g.settings.Region {
			sum += g.recentDemand(zone)
		}
	}
	return sum
}
