package fleet

import (
	"maps"
	"net"
	"net/netip"
	"time"

	"heatherlock/steering/placement"
)

// sendAll sends near to the VMs of this zone, and far, which reports for the whole zone, to those
// of other zones. Addresses are included for VMs from which no heartbeat was ever received; other
// VMs that lack them ask.
func (f *Fleet) sendAll(near, far Beat, to []Member, addresses bool) {
	forNear, err := encode(near, addresses)
	if err == nil {
		var forFar []byte
		forFar, err = encode(far, addresses)
		for _, m := range to {
			if m.Zone == f.cfg.Self.Zone {
				f.write(forNear, m)
				continue
			}
			f.write(forFar, m)
		}
	}
	if err != nil {
		_ = f.cfg.Log.Log("msg", "heartbeat not sent", "err", err) // the log writer counts the lines that it drops
	}
}

// zoneReport is what a VM reports to other zones about the other VMs of its own zone.
type zoneReport struct {
	peerIDs []uint32
	demand  placement.DemandOf
}

// zoneReport returns the report as of now. f.mu must be held.
func (f *Fleet) zoneReport(now time.Time) zoneReport {
	return zoneReport{peerIDs: f.roster.ZonePeerIDs(now), demand: f.roster.ZonePeersDemand(now)}
}

// beatFor returns a heartbeat in the form for other zones, with the live VMs and the demand of this
// zone.
func (z zoneReport) beatFor(b Beat) Beat {
	own := b.Demand
	b.Mates, b.Demand = z.peerIDs, maps.Clone(z.demand)
	b.Demand.AddAll(own)
	return b
}

// AnnounceInZone sends a heartbeat to the VMs of this zone at once.
func (f *Fleet) AnnounceInZone() {
	f.mu.Lock()
	b := f.nextBeat()
	peers := f.roster.ZonePeers(time.Now())
	f.mu.Unlock()
	f.fillBeat(&b)
	b.Demand = nil
	f.sendAll(b, b, peers, false)
}

// splitByContact separates the members from which a heartbeat was ever received from the others.
func (f *Fleet) splitByContact(all []Member) (contacted, uncontacted []Member) {
	for _, m := range all {
		if f.roster.Contacted(m.Name) {
			contacted = append(contacted, m)
		} else {
			uncontacted = append(uncontacted, m)
		}
	}
	return contacted, uncontacted
}

// fillBeat sets the fields of a heartbeat that describe this VM and its set of live VMs.
func (f *Fleet) fillBeat(b *Beat) {
	f.cfg.FillBeat(b)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaving, b.Crowd = b.Leaving, f.liveSetHash
}

// nextBeat returns a heartbeat with the next number. f.mu must be held.
func (f *Fleet) nextBeat() Beat {
	f.beatNumber++
	return Beat{From: f.cfg.Self, Incarnation: f.incarnation, Number: f.beatNumber}
}

// send sends a heartbeat with this VM's addresses to one VM. It leaves out the demand: a VM of
// another zone would take the demand of this VM's callers for that of the whole zone.
func (f *Fleet) send(b Beat, address string) {
	b.Demand = nil
	raw, err := encode(b, true)
	if err != nil {
		_ = f.cfg.Log.Log("msg", "heartbeat not sent", "err", err) // the log writer counts the lines that it drops
		return
	}
	f.write(raw, Member{Peer: address})
}

// write sends a datagram to a VM, of which only the address need be known.
func (f *Fleet) write(raw []byte, m Member) {
	to, err := netip.ParseAddrPort(m.Peer)
	if err != nil {
		_ = f.cfg.Log.Log("msg", "heartbeat not sent", "to", m.Peer, "err", err)
		return
	}
	if f.cfg.OnSend != nil {
		f.cfg.OnSend(m, len(raw))
	}
	// A datagram that cannot be sent counts as lost: the receiver notices a missing heartbeat
	// whatever the reason.
	_, _ = f.conn.WriteTo(raw, net.UDPAddrFromAddrPort(to))
}
