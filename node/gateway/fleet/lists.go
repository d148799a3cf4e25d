package fleet

import (
	"slices"
	"time"

	"heatherlock/node/gateway/feed"
	"heatherlock/steering"
)

const (
	// settledAfter is how long all heartbeats received must have named the same set of live VMs as
	// this VM's before its reports leave out the lists of live VMs, which are most of their size.
	settledAfter = 2 * time.Second
	// viewsDifferAfter is how long the set of live VMs of another VM must have differed to count as different.
	viewsDifferAfter = 500 * time.Millisecond
	// minAskInterval is the time between two questions for the members of one zone, and
	// maxAskedMembers how many members one question names.
	minAskInterval  = time.Second
	maxAskedMembers = 64
	// unlistedReports is how many reports of a zone must leave out a VM of it before the VM counts as
	// gone in other zones.
	unlistedReports = 3
	// staleLeaveAfter is how long after its last heartbeat a VM that was leaving counts as restarted
	// if its zone lists it.
	staleLeaveAfter = 5 * time.Second
)

// applyList applies what a heartbeat says about the other VMs of the sender's zone. What it says
// about further zones is never passed on as if it came from them: it may be older than what is known
// here, and two zones that report a third one to each other would keep it live forever.
func (r *Roster) applyList(now time.Time, from *peerState, b Beat) {
	if from.Zone == r.self.Zone && !r.standby && !r.takenForStandby(from, b) {
		r.applyStandbyList(now, from, b.Mates)
		return
	}
	switch {
	case len(b.Mates) > 0:
		r.applyZoneList(now, from, b)
	case b.ZoneReport:
		r.keepZone(now, from.Zone)
	}
}

// takenForStandby reports whether a VM of this zone takes this VM for a standby, and comes before it.
// Then the other delegates send this VM only reports, without which it would consider all of them
// gone. Of two VMs that take each other for standbys only one goes by the reports of the other, so
// that they cannot keep an ended VM live by reporting it to each other.
func (r *Roster) takenForStandby(from *peerState, b Beat) bool { return b.ZoneReport && r.before(from) }

// applyStandbyList marks the standbys of this zone as seen that another delegate monitors and
// receives heartbeats from. A monitor itself goes only by the standby's own heartbeats; otherwise
// two monitors that report an ended standby to each other would keep it live forever.
func (r *Roster) applyStandbyList(now time.Time, from *peerState, listed []uint32) {
	if len(listed) == 0 || !r.hasStandbys(from.Zone) {
		return
	}
	r.markListed(now, from, listed, func(h *peerState) bool {
		return h.standby && !r.monitorsStandby(h) && slices.Contains(h.monitors[:], from.id)
	})
}

// applyZoneList marks the VMs of a zone as seen that are listed, and lets those soon count as gone
// that are not: the sender has waited for the timeout already.
func (r *Roster) applyZoneList(now time.Time, from *peerState, b Beat) {
	large := b.ZoneReport || r.hasStandbys(from.Zone)
	r.markListed(now, from, b.Mates, func(h *peerState) bool { return large || !h.lastSeen.IsZero() })
	if !b.ZoneReport {
		return
	}
	for _, h := range r.zones[from.Zone] {
		if h != from && h.lastSeen.Before(now) && r.live(now, h) && !(h.sameZone && now.Sub(h.lastBeatAt) < r.timeouts.delegate) {
			r.shortenTimeout(now, h)
		}
	}
}

// shortenTimeout makes a live VM that its zone does not list any more count as gone: at once on a
// standby, and on a delegate unless one of the next reports lists it, since the VMs of a zone notice
// the end of a VM one after the other.
func (r *Roster) shortenTimeout(now time.Time, h *peerState) {
	left := unlistedReports * r.crossZoneInterval()
	if r.standby {
		left = 0
	}
	if latest := now.Add(left - r.timeoutOf(h)); h.lastSeen.After(latest) {
		h.lastSeen = latest
	}
}

// markListed marks the VMs of the sender's zone as seen that are listed and accepted. It records which
// listed VMs are not on record, to ask for them.
func (r *Roster) markListed(now time.Time, from *peerState, listed []uint32, accept func(*peerState) bool) {
	var unknown []uint32
	known := r.byShortID[from.Zone]
	own := shortID(r.id)
	for _, id := range listed {
		h := known[id]
		switch {
		case h == nil && !(from.sameZone && id == own):
			unknown = append(unknown, id)
			continue
		case h == nil || h == from || !accept(h):
			continue
		}
		if h.leaving && now.Sub(h.lastBeatAt) > staleLeaveAfter {
			h.leaving = false
		}
		if !h.leaving {
			h.lastSeen = now
		}
	}
	r.unknown[from.Zone] = unknown[:min(len(unknown), maxAskedMembers)]
}

// keepZone marks the live VMs of a zone as seen, of which the sender leaves out the list because all
// VMs that it receives heartbeats from know it.
func (r *Roster) keepZone(now time.Time, zone steering.Zone) {
	for _, h := range r.zones[zone] {
		if r.live(now, h) && !h.leaving {
			h.lastSeen = now
		}
	}
}

// takeUnknown returns the short IDs of listed VMs of a zone that are not on record and the address of a
// VM to ask for them, at most once in minAskInterval. It is a different VM on each VM that asks and
// each time: in a fleet that starts, hundreds ask for the VMs of the same zone.
func (r *Roster) takeUnknown(now time.Time, zone steering.Zone) (unknown []uint32, address string) {
	unknown = r.unknown[zone]
	if len(unknown) == 0 || now.Sub(r.askedAt[zone]) < minAskInterval {
		return nil, ""
	}
	var delegates []*peerState
	for _, h := range r.zones[zone] {
		if !h.standby && r.live(now, h) {
			delegates = append(delegates, h)
		}
	}
	if len(delegates) == 0 {
		return nil, ""
	}
	r.askedAt[zone] = now
	delete(r.unknown, zone)
	return unknown, delegates[(r.id+uint64(r.ticks))%uint64(len(delegates))].Peer
}

// membersByShortID returns the VMs of this zone with the short IDs, this VM included.
func (r *Roster) membersByShortID(ids []uint32) []Member {
	var found []Member
	if slices.Contains(ids, shortID(r.id)) {
		found = append(found, r.self)
	}
	for _, h := range r.zones[r.self.Zone] {
		if slices.Contains(ids, shortID(h.id)) {
			found = append(found, h.Member)
		}
	}
	return found
}

// noteLiveSet records whether a member's heartbeat named the same set of live VMs as this VM's.
func (r *Roster) noteLiveSet(now time.Time, from steering.VM, same bool) {
	if !same {
		r.disagreedAt = now
	}
	switch h := r.members[from]; {
	case h == nil:
	case same:
		h.differsSince = time.Time{}
	case h.differsSince.IsZero():
		h.differsSince = now
	}
}

// AgreeingShare estimates the share of the live VMs, from above 0 to 1, that see the same set of live VMs as this
// one, from those that send it heartbeats. A set that differs for less than viewsDifferAfter counts as the same:
// changes are noticed at different times.
func (r *Roster) AgreeingShare(now time.Time) float64 {
	heard, agreeing := 1, 1
	for _, h := range r.all {
		if h.leaving || !r.heardDirectly(now, h) {
			continue
		}
		heard++
		if h.differsSince.IsZero() || now.Sub(h.differsSince) < viewsDifferAfter {
			agreeing++
		}
	}
	return float64(agreeing) / float64(heard)
}

// settled reports whether all heartbeats of late named the same set of live VMs as this VM's.
func (r *Roster) settled(now time.Time) bool { return now.Sub(r.disagreedAt) > settledAfter }

// zoneList returns the short IDs of the live VMs of a zone other than the sender of a report on it,
// or nil if they can be left out.
func (r *Roster) zoneList(now time.Time, zone steering.Zone, sender uint64) []uint32 {
	if r.hasStandbys(zone) && r.settled(now) {
		return nil
	}
	var ids []uint32
	if zone == r.self.Zone && sender != r.id {
		ids = append(ids, shortID(r.id))
	}
	for _, h := range r.zones[zone] {
		if h.id != sender && r.live(now, h) && !h.leaving {
			ids = append(ids, shortID(h.id))
		}
	}
	return ids
}

// monitoredStandbys returns the short IDs of the standbys that this VM monitors and receives
// heartbeats from.
func (r *Roster) monitoredStandbys(now time.Time) []uint32 {
	if r.standby || !r.hasStandbys(r.self.Zone) {
		return nil
	}
	var ids []uint32
	for _, h := range r.zones[r.self.Zone] {
		if h.standby && !h.leaving && r.monitorsStandby(h) && r.heardDirectly(now, h) {
			ids = append(ids, shortID(h.id))
		}
	}
	return ids
}

// relayedBeats returns, for each other zone, a heartbeat of the delegate of it that was heard last,
// with the live VMs and the demand of its zone as known here. Standbys receive no others from there.
func (r *Roster) relayedBeats(now time.Time, hash uint32) []Beat {
	var beats []Beat
	for _, zone := range r.sortedZones() {
		if zone == r.self.Zone {
			continue
		}
		var last *peerState
		for _, h := range r.zones[zone] {
			if r.heardDirectly(now, h) && !h.leaving && (last == nil || h.lastBeatAt.After(last.lastBeatAt)) {
				last = h
			}
		}
		if last == nil {
			continue
		}
		b := Beat{From: last.Member, Incarnation: last.beat.Incarnation, Number: last.beat.Number, Serving: last.beat.Serving, Crowd: hash,
			StoreDigest: configDigest(last.beat.StoreDigest), Mates: r.zoneList(now, zone, last.id), ZoneReport: r.hasStandbys(zone)}
		if d := r.latestDemand(now, zone); d != nil {
			b.Demand = d.beat.Demand
		}
		beats = append(beats, b)
	}
	return beats
}

// configDigest returns the part of a digest about the configuration.
func configDigest(d feed.Digest) feed.Digest { return feed.Digest{Config: d.Config, Newest: d.Newest} }

// sortedZones returns the zones on record by name.
func (r *Roster) sortedZones() []steering.Zone {
	zones := make([]steering.Zone, 0, len(r.zones))
	for zone := range r.zones {
		zones = append(zones, zone)
	}
	slices.Sort(zones)
	return zones
}
