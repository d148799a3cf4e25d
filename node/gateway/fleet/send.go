package fleet

import (
	"net"
	"net/netip"
	"time"
)

// forms are the forms of a heartbeat for different receivers, and the receivers.
type forms struct {
	// near is for the delegates of this zone, and far, which reports on the whole zone, for other
	// zones and for the standbys of this one.
	near, far Beat
	// relayed are heartbeats of other zones for the standbys of this one.
	relayed []Beat
	// addresses is set if relayed includes the addresses of the VMs that sent the heartbeats.
	addresses bool
	to        []receiver
}

// receiver is a VM to which a heartbeat is sent.
type receiver struct {
	Member
	far, standby bool
	// contacted is set if the VM is known to be live or was before. The others are sent the
	// addresses of this VM and are asked to reply.
	contacted bool
}

// formsOf returns the forms of the heartbeat b.
func (f *Fleet) formsOf(now time.Time, b Beat, full bool, to []Member) forms {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.roster
	r.ownDemand = b.Demand
	m := forms{near: b, far: b, addresses: full || !r.settled(now)}
	standbys := false
	for _, member := range to {
		h := r.members[member.Name]
		next := receiver{Member: member, contacted: h != nil && !h.lastSeen.IsZero(), far: member.Zone != r.self.Zone}
		next.standby = !next.far && h != nil && h.standby && !r.standby
		standbys = standbys || next.standby
		m.to = append(m.to, next)
	}
	m.near.Mates = r.monitoredStandbys(now)
	m.far.Mates, m.far.ZoneReport = r.zoneList(now, r.self.Zone, r.id), r.hasStandbys(r.self.Zone)
	m.far.Demand = r.ZonePeersDemand(now)
	m.far.Demand.AddAll(b.Demand)
	m.near.Demand = nil
	if full {
		m.near.Demand = r.StandbyDemand(now)
		m.near.Demand.AddAll(b.Demand)
	} else {
		m.near.ConfigContent, m.far.ConfigContent = 0, 0
	}
	if standbys {
		m.relayed = r.relayedBeats(now, f.liveSetHash)
	}
	return m
}

// sendAll sends a heartbeat in the form for each receiver.
func (f *Fleet) sendAll(m forms) {
	relayed := f.encodeAll(m.relayed, m.addresses)
	encoded := make(map[receiver][]byte) // by form: the receiver without its member
	for _, to := range m.to {
		form := receiver{far: to.far || to.standby, contacted: to.contacted}
		raw := encoded[form]
		if raw == nil {
			b := m.near
			if form.far {
				b = m.far
			}
			b.WantsReply = !to.contacted
			raw = f.encode(b, !to.contacted)
			encoded[form] = raw
		}
		f.write(raw, to.Member)
		if to.standby {
			f.write(relayed, to.Member)
		}
	}
}

// encode returns the datagram for a heartbeat, or nil and logs the error.
func (f *Fleet) encode(b Beat, addresses bool) []byte {
	raw, err := encode(b, addresses)
	if err != nil {
		_ = f.cfg.Log.Log("msg", "heartbeat not sent", "err", err) // the log writer counts the lines that it drops
	}
	return raw
}

// encodeAll returns a datagram that holds several heartbeats, or nil if there are none.
func (f *Fleet) encodeAll(beats []Beat, addresses bool) []byte {
	var all []byte
	for _, b := range beats {
		all = append(all, f.encode(b, addresses)...)
	}
	return all
}

// AnnounceInZone sends a heartbeat to the delegates of this zone at once, and a report to the
// standbys to which this VM sends most of theirs. A standby sends nothing: no VM waits for it.
func (f *Fleet) AnnounceInZone() {
	now := f.cfg.Clock()
	f.mu.Lock()
	if f.roster.standby {
		f.mu.Unlock()
		return
	}
	b := f.nextBeat()
	to := f.roster.zoneAudience(now)
	f.mu.Unlock()
	f.fillBeat(&b)
	m := f.formsOf(now, b, false, to)
	m.relayed = nil
	f.sendAll(m)
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
	f.write(f.encode(b, true), Member{Peer: address})
}

// write sends a datagram to a VM, of which only the address need be known.
func (f *Fleet) write(raw []byte, m Member) {
	if len(raw) == 0 {
		return
	}
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
