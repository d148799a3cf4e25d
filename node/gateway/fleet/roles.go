package fleet

import (
	"cmp"
	"slices"
	"time"

	"heatherlock/node/gateway/feed"
	"heatherlock/steering"
)

const (
	// maxDelegates is how many VMs of a zone exchange heartbeats with each other and with other
	// zones. The other VMs of a larger zone are its standbys. So what a VM sends, and how soon it
	// notices that another one ended, do not depend on the size of the zone.
	maxDelegates = 32
	// monitorsPerStandby is how many delegates a standby sends heartbeats to. They report it to the
	// other delegates, and with two of them it stays live when one of them ends.
	monitorsPerStandby = 2
	// reportInterval is the time between two reports on the live VMs that a standby receives,
	// whichever delegate sends them.
	reportInterval = 800 * time.Millisecond
	// contactGrace is how long a VM of which only the record is known counts when the delegates of
	// its zone are determined. While a whole fleet starts, all VMs are in this state.
	contactGrace = 5 * time.Second
	// zoneAnnouncers is how many delegates of a zone with standbys send announcements to other
	// zones at once. The rest of the zone reports the same with its next regular heartbeats.
	zoneAnnouncers = 3
)

// compareOrder orders VMs by peerState.before.
func compareOrder(a, b *peerState) int {
	return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.order, b.order), cmp.Compare(a.Name, b.Name))
}

// before reports whether a VM comes before the VM of this roster in the order in which VMs read the
// store, fetch from peers and become delegates. VMs with more capacity come first, those of equal
// capacity in an arbitrary order that is the same on all VMs.
//
// All others wait until the first VM has read the store and sent what changed, so it must not be
// one with a slow link.
func (r *Roster) before(h *peerState) bool {
	if h.Capacity != r.self.Capacity {
		return h.Capacity > r.self.Capacity
	}
	return h.order < r.order
}

// candidate reports whether a VM can be a delegate.
func (r *Roster) candidate(now time.Time, h *peerState) bool {
	if h.lastSeen.IsZero() {
		return now.Sub(h.knownSince) < contactGrace
	}
	return r.live(now, h) && !h.leaving
}

// assignRoles determines the delegates of each zone: the first maxDelegates live VMs in the order of
// before.
func (r *Roster) assignRoles(now time.Time) {
	r.standby = r.rank(now) >= maxDelegates
	for zone, peers := range r.zones {
		seats := maxDelegates
		if zone == r.self.Zone && !r.standby {
			seats--
		}
		r.assignSeats(now, peers, seats)
	}
	r.findDelegates()
}

// assignSeats makes the first VMs of a zone that can be delegates to such, as many as there are
// seats, and the others to standbys.
func (r *Roster) assignSeats(now time.Time, peers []*peerState, seats int) {
	enough := len(peers) <= seats
	for _, h := range peers {
		h.standby = !enough && (seats == 0 || !r.candidate(now, h))
		if !h.standby {
			seats--
		}
	}
}

// findDelegates sets the other delegates of this zone and, in a zone with standbys, who monitors
// whom.
func (r *Roster) findDelegates() {
	r.delegates = r.delegates[:0]
	peers := r.zones[r.self.Zone]
	for _, h := range peers {
		if !h.standby && !h.leaving {
			r.delegates = append(r.delegates, h)
		}
	}
	if !r.hasStandbys(r.self.Zone) {
		return
	}
	for _, h := range peers {
		h.monitors = r.monitorsOf(h.id)
	}
}

// monitorsOf returns the IDs of the delegates to which a standby sends heartbeats. They are among
// those that send it reports. The order differs from standby to standby.
func (r *Roster) monitorsOf(id uint64) (monitors [monitorsPerStandby]uint64) {
	var hashes [monitorsPerStandby]uint64
	found := 0
	add := func(delegate uint64) {
		hash := pairHash(delegate, id)
		at := found
		for at > 0 && hash < hashes[at-1] {
			at--
		}
		if delegate == id || at == monitorsPerStandby {
			return
		}
		copy(hashes[at+1:], hashes[at:])
		copy(monitors[at+1:], monitors[at:])
		hashes[at], monitors[at] = hash, delegate
		found = min(found+1, monitorsPerStandby)
	}
	if !r.standby {
		add(r.id)
	}
	for _, h := range r.delegates {
		add(h.id)
	}
	return monitors
}

// monitoredBy reports whether a delegate is one of this standby's monitors.
func (r *Roster) monitoredBy(h *peerState) bool {
	ahead := 0
	own := pairHash(h.id, r.id)
	for _, other := range r.delegates {
		if pairHash(other.id, r.id) < own {
			ahead++
		}
	}
	return ahead < monitorsPerStandby
}

// monitorsStandby reports whether this VM is a monitor of a standby of its zone.
func (r *Roster) monitorsStandby(h *peerState) bool { return slices.Contains(h.monitors[:], r.id) }

// heardDirectly reports whether a heartbeat of the member itself was received within the timeout.
func (r *Roster) heardDirectly(now time.Time, h *peerState) bool {
	return !h.lastBeatAt.IsZero() && now.Sub(h.lastBeatAt) < r.timeoutOf(h)
}

// hasStandbys reports whether a zone has more VMs on record than delegates.
func (r *Roster) hasStandbys(zone steering.Zone) bool {
	seats := maxDelegates
	if zone == r.self.Zone {
		seats--
	}
	return len(r.zones[zone]) > seats
}

// announcesToOtherZones reports whether this VM sends announcements to other zones at once.
func (r *Roster) announcesToOtherZones() bool {
	if r.standby || !r.hasStandbys(r.self.Zone) {
		return !r.standby
	}
	ahead := 0
	for _, h := range r.delegates {
		if r.before(h) {
			ahead++
		}
	}
	return ahead < zoneAnnouncers
}

// zoneAudience returns the live VMs of this zone to which a delegate announces a change at once.
func (r *Roster) zoneAudience(now time.Time) []Member {
	senders := r.eligibleSenders(now)
	var to []Member
	for _, h := range r.zones[r.self.Zone] {
		if !r.live(now, h) || h.leaving {
			continue
		}
		if h.standby {
			if rank, _ := r.senderRank(senders, h.id); rank > 0 {
				continue
			}
		}
		to = append(to, h.Member)
	}
	return to
}

// rank returns how many VMs of this zone, live or just put on record, come before this one in the
// order of before.
func (r *Roster) rank(now time.Time) int {
	rank := 0
	for _, h := range r.zones[r.self.Zone] {
		if r.before(h) && r.candidate(now, h) {
			rank++
		}
	}
	return rank
}

// startView returns what this VM knows of the others at its start.
func (r *Roster) startView(now time.Time) feed.StartView {
	v := feed.StartView{Rank: r.rank(now)}
	for _, h := range r.all {
		if r.live(now, h) {
			v.Heard = true
			v.PeerKnows = v.PeerKnows || h.beat.StoreDigest.Revision > 0
		}
	}
	return v
}
