package fleet

import (
	"maps"
	"net"
	"net/netip"
	"time"

	"heatherlock/steering/placement"
)

// sendAll sends near to VMs of this zone, and far, which speaks for the zone, to
// those of others. Addresses are for VMs that were never heard; whoever lacks them
// asks.
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
		_ = f.cfg.Log.Log("msg", "heartbeat not sent", "err", err) // the writer counts what it drops
	}
}

// zoneNews is what a VM tells other zones of the others of its own.
type zoneNews struct {
	mates  []uint32
	demand placement.DemandOf
}

func (f *Fleet) zoneNews(now time.Time) zoneNews {
	return zoneNews{mates: f.roster.MateIDs(now), demand: f.roster.MatesDemand(now)}
}

// spoken returns a beat as other zones get it.
func (z zoneNews) spoken(b Beat) Beat {
	own := b.Demand
	b.Mates, b.Demand = z.mates, maps.Clone(z.demand)
	b.Demand.AddAll(own)
	return b
}

// AnnounceInZone sends a heartbeat to the VMs of this zone.
func (f *Fleet) AnnounceInZone() {
	f.mu.Lock()
	b := f.next()
	mates := f.roster.Mates(time.Now())
	f.mu.Unlock()
	f.own(&b)
	b.Demand = nil
	f.sendAll(b, b, mates, false)
}

// split parts members that were heard before from those that were not.
func (f *Fleet) split(all []Member) (met, unmet []Member) {
	for _, m := range all {
		if f.roster.Met(m.Name) {
			met = append(met, m)
		} else {
			unmet = append(unmet, m)
		}
	}
	return met, unmet
}

// own fills in what a heartbeat says of this VM and of whom it hears.
func (f *Fleet) own(b *Beat) {
	f.cfg.Own(b)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaving, b.Crowd = b.Leaving, f.crowd
}

func (f *Fleet) next() Beat {
	f.number++
	return Beat{From: f.cfg.Self, Incarnation: f.incarnation, Number: f.number}
}

// send sends a beat to one VM, with this VM's addresses. It tells no demand: a VM of
// another zone would take that of this VM's callers for that of the whole zone.
func (f *Fleet) send(b Beat, address string) {
	b.Demand = nil
	raw, err := encode(b, true)
	if err != nil {
		_ = f.cfg.Log.Log("msg", "heartbeat not sent", "err", err) // the writer counts what it drops
		return
	}
	f.write(raw, Member{Peer: address})
}

// write sends a datagram to a VM, of which no more than the address need be known.
func (f *Fleet) write(raw []byte, m Member) {
	to, err := netip.ParseAddrPort(m.Peer)
	if err != nil {
		_ = f.cfg.Log.Log("msg", "heartbeat not sent", "to", m.Peer, "err", err)
		return
	}
	if f.cfg.Sent != nil {
		f.cfg.Sent(m, len(raw))
	}
	// A datagram that cannot be sent counts as lost: the other side notices a
	// missing heartbeat, whatever the reason.
	_, _ = f.conn.WriteTo(raw, net.UDPAddrFromAddrPort(to))
}
