package fleet

import (
	"slices"
	"time"

	"heatherlock/steering"
	"heatherlock/steering/placement"
)

// Member is an entry VM.
type Member struct {
	_       struct{} `cbor:",toarray"`
	Name    steering.VM
	Zone    steering.Zone
	Region  steering.Region
	Peer    string
	Control string
	Callers string
	// Capacity is the load that the VM can take, in requests per second.
	Capacity float32
}

const (
	// minInterval is the time between two heartbeats in a small zone.
	minInterval = 300 * time.Millisecond
	// intervalPerPeer bounds what a VM sends as its zone grows: at most one datagram to a VM of its
	// zone in this time.
	intervalPerPeer = 20 * time.Millisecond
	// minSameZoneTimeout and maxMissedBeats determine how long a VM of this zone stays live without
	// a heartbeat: for five heartbeats, or for four in a zone so large that they are less frequent.
	minSameZoneTimeout = 5 * minInterval
	maxMissedBeats     = 4
	// standbyMissedBeats is the same for a standby on its monitors. listedMissedBeats is how many
	// heartbeats of both monitors may leave it out on the other delegates.
	standbyMissedBeats = 3
	listedMissedBeats  = 2
	// minCrossZoneInterval is the time between two heartbeats that a VM of another zone receives
	// from this zone, whichever VM sends them. Few VMs of the zone need to send, as each heartbeat
	// says which VMs of its zone are live.
	minCrossZoneInterval = 400 * time.Millisecond
	// sendersPerReceiver is how many VMs of a zone send heartbeats to a VM of another zone. With
	// one, the zone would seem gone when that one ends. If all VMs of a large zone took turns, each
	// would send so rarely that, as turns fall at random, sometimes none would send for longer than
	// crossZoneMissedBeats heartbeats, and a live zone would be considered gone.
	sendersPerReceiver = 3
	// maxSenderMissedBeats is how many heartbeats of a VM of this zone may be missing before
	// another VM sends to other zones in its place. This is sooner than the VM counts as gone, so
	// that other zones receive heartbeats again before they consider the zone unreachable if all
	// its senders end at the same time.
	maxSenderMissedBeats = 3
	// zonesPerInterval is how many zones are sent a heartbeat in each minCrossZoneInterval. With
	// more zones each is sent heartbeats less often; otherwise what a VM sends would grow with the
	// number of zones.
	zonesPerInterval = 10
	// A VM of another zone stays live until crossZoneMissedBeats heartbeats of its zone are
	// missing, and the zone stays reachable until unreachableMissedBeats are.
	crossZoneMissedBeats   = 5
	unreachableMissedBeats = 4
	// removeAfter is how long a VM that is gone is kept on record and is sent an occasional
	// heartbeat, so that both sides of a network partition find each other again.
	removeAfter = 10 * time.Minute
	// goneRetryTicks is the number of ticks between two rounds of heartbeats to VMs that are gone,
	// and maxGoneRetries how many of them receive one in a round. After the loss of half of a large
	// fleet there are hundreds.
	goneRetryTicks = 6
	maxGoneRetries = 16
)

// peerState is what is known of another member.
type peerState struct {
	Member
	id       uint64
	order    uint64 // see before
	sameZone bool   // whether it is in this VM's zone
	// lastSeen is when it was last known to be live, by its own heartbeat or by that of a VM of its
	// zone; zero if it never was.
	lastSeen   time.Time
	knownSince time.Time // when it was put on record
	leaving    bool
	// standby is its role as of the last tick, and monitors holds the delegates that a standby of
	// this zone sends heartbeats to.
	standby  bool
	monitors [monitorsPerStandby]uint64
	// wasLive is set if it was live and not leaving at the last tick, wasLeaving if it was leaving.
	wasLive, wasLeaving bool
	beat                Beat
	// lastBeatAt is when its own last heartbeat was received, configSince when the first one was
	// that reported its configuration in force.
	lastBeatAt  time.Time
	configSince time.Time
	// demandAt is when it last reported its demand or that of its zone.
	demandAt time.Time
	// readBegan is when it first reported its last read of the store. With the time of the last
	// heartbeat that reported the read instead, a read that hangs would delay all other VMs for as
	// long as it lasts.
	readBegan time.Time
	// differsSince is when the first of its heartbeats named another set of live VMs than this VM's, without one
	// since that named the same; zero if the last one did.
	differsSince time.Time
	// lastSent is when a heartbeat was last sent to it.
	lastSent time.Time
}

// Roster holds all known entry VMs. It is not safe for concurrent use.
type Roster struct {
	self     Member
	id       uint64
	order    uint64
	members  map[steering.VM]*peerState
	byID     map[uint64]*peerState
	all      []*peerState // the members in no particular order
	lastTick time.Time
	ticks    int
	// stoodSince is when this VM last did something before it stood still, and backlogUntil until when heartbeats may
	// be handled that arrived meanwhile.
	stoodSince, backlogUntil time.Time
	// zones holds the VMs on record without this one, in the order of before, and byShortID the same
	// by short ID.
	zones     map[steering.Zone][]*peerState
	byShortID map[steering.Zone]map[uint32]*peerState
	timeouts  timeouts
	// standby is the role of this VM, and delegates holds the other delegates of its zone, both as
	// of the last tick.
	standby   bool
	delegates []*peerState
	// ownDemand is the demand of this VM's callers, which a report on the zone includes.
	ownDemand placement.DemandOf
	// nextGone is the position in all after the last VM that is gone and received a heartbeat.
	nextGone int
	// liveSetHash is the hash of the live VMs as of the last Scan, without this one.
	liveSetHash uint32
	// disagreedAt is when a heartbeat last named another set of live VMs than this VM's.
	disagreedAt time.Time
	// unknown holds short IDs that were listed for a zone and belong to no VM on record, and
	// askedAt when a VM of the zone was last asked for its members.
	unknown map[steering.Zone][]uint32
	askedAt map[steering.Zone]time.Time
}

// NewRoster returns the roster of a VM that knows no other VM.
func NewRoster(self Member) *Roster {
	return &Roster{self: self, id: idOf(self.Name), order: readOrder(self.Name), members: make(map[steering.VM]*peerState), byID: make(map[uint64]*peerState),
		zones: make(map[steering.Zone][]*peerState), byShortID: make(map[steering.Zone]map[uint32]*peerState), timeouts: timeoutsFor(0, 0), unknown: make(map[steering.Zone][]uint32), askedAt: make(map[steering.Zone]time.Time)}
}

// Add adds a member whose record was read or that another member introduced. It reports whether the
// member is new.
func (r *Roster) Add(now time.Time, m Member) bool {
	if m.Name == r.self.Name || m.Name == "" || m.Peer == "" {
		return false
	}
	if old := r.members[m.Name]; old != nil {
		if old.lastSeen.IsZero() {
			r.updateMember(old, m)
		}
		return false
	}
	r.insert(m.Name, &peerState{Member: m, knownSince: now})
	return true
}

func (r *Roster) insert(name steering.VM, h *peerState) {
	h.id, h.order = idOf(name), readOrder(name)
	r.members[name] = h
	r.byID[h.id] = h
	r.all = append(r.all, h)
	r.addToZone(h)
}

// updateMember updates a member's addresses, zone and capacity, which can differ after a restart.
func (r *Roster) updateMember(h *peerState, m Member) {
	if h.Zone == m.Zone && h.Capacity == m.Capacity {
		h.Member = m
		return
	}
	r.removeFromZone(h)
	h.Member = m
	r.addToZone(h)
}

func (r *Roster) remove(h *peerState) {
	delete(r.members, h.Name)
	if r.byID[h.id] == h {
		delete(r.byID, h.id)
	}
	r.all = slices.DeleteFunc(r.all, func(other *peerState) bool { return other == h })
	r.removeFromZone(h)
}

func (r *Roster) addToZone(h *peerState) {
	peers := r.zones[h.Zone]
	at, _ := slices.BinarySearchFunc(peers, h, compareOrder)
	r.zones[h.Zone] = slices.Insert(peers, at, h)
	if r.byShortID[h.Zone] == nil {
		r.byShortID[h.Zone] = make(map[uint32]*peerState)
	}
	r.byShortID[h.Zone][shortID(h.id)] = h
	h.sameZone = h.Zone == r.self.Zone
	r.timeouts = timeoutsFor(len(r.zones[r.self.Zone]), len(r.zones))
}

func (r *Roster) removeFromZone(h *peerState) {
	left := slices.DeleteFunc(r.zones[h.Zone], func(other *peerState) bool { return other == h })
	r.zones[h.Zone] = left
	if r.byShortID[h.Zone][shortID(h.id)] == h {
		delete(r.byShortID[h.Zone], shortID(h.id))
	}
	if len(left) == 0 {
		delete(r.zones, h.Zone)
		delete(r.byShortID, h.Zone)
	}
	r.timeouts = timeoutsFor(len(r.zones[r.self.Zone]), len(r.zones))
}

// HandleBeat applies a heartbeat. It reports whether the member was not live before or has
// restarted.
func (r *Roster) HandleBeat(now time.Time, b Beat) bool {
	if b.From.Name == r.self.Name {
		return false
	}
	h := r.members[b.From.Name]
	if h == nil {
		h = &peerState{Member: b.From, knownSince: now}
		r.insert(b.From.Name, h)
	}
	if h.beat.Incarnation == b.Incarnation && b.Number <= h.beat.Number {
		return false // late or duplicated
	}
	fresh := !r.live(now, h) || h.beat.Incarnation != b.Incarnation
	if b.Demand != nil {
		h.demandAt = now
	} else if h.beat.Incarnation == b.Incarnation {
		b.Demand = h.beat.Demand // as reported before
	}
	if b.StoreDigest.Config != h.beat.StoreDigest.Config || h.beat.Incarnation != b.Incarnation {
		h.configSince = now
	} else if b.ConfigContent == 0 {
		b.ConfigContent = h.beat.ConfigContent // as reported before
	}
	h.lastBeatAt = now
	stillReading := h.beat.ReadingStore && h.beat.Incarnation == b.Incarnation
	r.updateMember(h, b.From)
	h.lastSeen, h.leaving, h.beat = now, b.Leaving, b
	if b.ReadingStore && !b.StoreReadsFail && !stillReading {
		h.readBegan = now
	}
	if !b.WantsMembers {
		r.applyList(now, h, b)
	}
	return fresh
}

// ByID returns the member with an ID, and false if it is not known.
func (r *Roster) ByID(id uint64) (Member, bool) {
	if h := r.byID[id]; h != nil {
		return h.Member, true
	}
	return Member{}, false
}

// Tick returns the members to which to send a heartbeat now. With all set these include every live
// member that announcements are sent to. A gap since the last tick means that this VM was paused and
// could not receive heartbeats, so the gap is not counted towards the timeouts of other VMs.
func (r *Roster) Tick(now time.Time, all bool) []Member {
	if gap := now.Sub(r.lastTick) - r.Interval(); !r.lastTick.IsZero() && gap > r.Interval() {
		for _, h := range r.all {
			if !h.lastSeen.IsZero() {
				h.lastSeen = h.lastSeen.Add(gap)
			}
		}
		r.stoodSince, r.backlogUntil = r.lastTick, now.Add(r.Interval())
	}
	r.lastTick = now
	r.ticks++
	if r.ticks%goneRetryTicks == 0 {
		r.removeExpired(now)
	}
	r.assignRoles(now)
	pause, senders := r.Interval(), r.eligibleSenders(now)
	abroad := r.announcesToOtherZones()
	to := r.retryGone(now)
	for _, h := range r.all {
		if r.gone(now, h) {
			continue
		}
		due := r.due(now, h, pause, senders)
		if due {
			h.lastSent = now
		}
		// A heartbeat that is sent only because of all does not update lastSent. Otherwise, after a
		// change that every VM announces, the senders of a zone would all send at the same time
		// from then on, and none would send in between for longer than the timeout of a live zone.
		if due || all && r.live(now, h) && !h.standby && (h.sameZone || abroad) {
			to = append(to, h.Member)
		}
	}
	return to
}

// heldUp returns for how long a heartbeat that is handled now may have waited here, because this VM stood still: 0 if
// it did not. What such a heartbeat says is older than it was when it arrived.
func (r *Roster) heldUp(now time.Time) time.Duration {
	switch gap := now.Sub(r.lastTick); {
	case r.lastTick.IsZero():
		return 0
	case gap > 2*r.Interval():
		return gap
	case now.Before(r.backlogUntil):
		return now.Sub(r.stoodSince)
	}
	return 0
}

// removeExpired removes the VMs that have been gone for removeAfter.
func (r *Roster) removeExpired(now time.Time) {
	for i := len(r.all) - 1; i >= 0; i-- {
		if h := r.all[i]; now.Sub(maxTime(h.lastSeen, h.knownSince)) > removeAfter {
			r.remove(h)
		}
	}
}

// gone reports whether a member has been neither seen nor put on record recently.
func (r *Roster) gone(now time.Time, h *peerState) bool {
	return !r.live(now, h) && now.Sub(maxTime(h.lastSeen, h.knownSince)) > r.sameZoneTimeout()
}

// retryGone returns the VMs that are gone and to which to send a heartbeat at this tick, in turn.
func (r *Roster) retryGone(now time.Time) []Member {
	if r.ticks%goneRetryTicks != 0 || len(r.all) == 0 {
		return nil
	}
	var to []Member
	first := r.nextGone % len(r.all)
	for i := range r.all {
		at := (first + i) % len(r.all)
		if h := r.all[at]; r.gone(now, h) {
			h.lastSent = now
			to = append(to, h.Member)
			r.nextGone = at + 1
		}
		if len(to) == maxGoneRetries {
			break
		}
	}
	return to
}

// due reports whether to send a member that is not gone a heartbeat at this tick.
func (r *Roster) due(now time.Time, h *peerState, pause time.Duration, senders []uint64) bool {
	unsent := now.Sub(h.lastSent)
	sameZone := h.sameZone
	interval := r.crossZoneInterval()
	switch {
	case r.standby:
		return sameZone && !h.standby && (r.monitoredBy(h) || h.lastSeen.IsZero() && unsent >= reportInterval)
	case sameZone && !h.standby:
		return true
	case sameZone:
		interval = reportInterval
	case h.standby:
		return false
	}
	if !r.live(now, h) {
		return unsent >= interval
	}
	rank, of := r.senderRank(senders, h.id)
	// Half an interval early, since ticks are always a little late.
	return rank < of && unsent >= time.Duration(of)*interval-pause/2
}

// eligibleSenders returns the IDs of the other VMs of this zone that currently may send to other
// zones, and to the standbys of this one, on its behalf.
func (r *Roster) eligibleSenders(now time.Time) []uint64 {
	var senders []uint64
	for _, h := range r.delegates {
		if !h.lastSeen.IsZero() && now.Sub(h.lastSeen) <= maxSenderMissedBeats*r.Interval() {
			senders = append(senders, h.id)
		}
	}
	return senders
}

// senderRank returns this VM's rank among those of its zone that may send to a member of another
// zone or to a standby, and how many of them do. The order differs from receiver to receiver, which
// spreads the work over the zone.
func (r *Roster) senderRank(senders []uint64, to uint64) (rank, of int) {
	own := pairHash(r.id, to)
	for _, id := range senders {
		if pairHash(id, to) < own {
			rank++
		}
	}
	return rank, min(len(senders)+1, sendersPerReceiver)
}

// pairHash returns a 32-bit hash of a pair of IDs.
func pairHash(a, b uint64) uint64 { return (a*0x9e3779b1 ^ b*0x85ebca6b) & (1<<32 - 1) }

// Interval returns the time between two ticks.
func (r *Roster) Interval() time.Duration { return r.timeouts.interval }

// Contacted reports whether a heartbeat was ever received from a member.
func (r *Roster) Contacted(name steering.VM) bool {
	h := r.members[name]
	return h != nil && !h.lastSeen.IsZero()
}

// LiveSetHash returns a hash of the set of live VMs that are not leaving, which is the same on VMs
// with the same set. With self set, this VM is part of it.
func (r *Roster) LiveSetHash(now time.Time, self bool) uint32 {
	var hash uint32
	if self {
		hash = uint32(r.id)
	}
	for _, h := range r.all {
		if r.live(now, h) && !h.leaving {
			hash ^= uint32(h.id)
		}
	}
	return hash
}

// ZonePeerIDs returns the short IDs of the live VMs of this zone, to send to VMs of other zones.
func (r *Roster) ZonePeerIDs(now time.Time) []uint32 {
	var ids []uint32
	for _, m := range r.ZonePeers(now) {
		ids = append(ids, shortID(idOf(m.Name)))
	}
	return ids
}

func (r *Roster) live(now time.Time, h *peerState) bool {
	return !h.lastSeen.IsZero() && now.Sub(h.lastSeen) < r.timeoutOf(h)
}

// timeouts are the intervals between heartbeats and how long VMs stay live without a sign of them.
type timeouts struct {
	interval  time.Duration // between two ticks
	crossZone time.Duration // between two heartbeats of a zone to a VM of another zone
	delegate  time.Duration // of delegates of this zone
	monitored time.Duration // of standbys of this zone that this VM monitors
	listed    time.Duration // of other standbys of this zone
	far       time.Duration // of VMs of other zones
	report    time.Duration // of all VMs if this one is a standby
}

// timeoutsFor returns the timeouts with peers in this VM's zone and a number of zones.
func timeoutsFor(peers, zones int) timeouts {
	t := timeouts{interval: max(minInterval, time.Duration(min(peers, maxDelegates-1))*intervalPerPeer),
		crossZone: max(minCrossZoneInterval, minCrossZoneInterval*time.Duration(zones)/zonesPerInterval)}
	t.delegate = max(minSameZoneTimeout, maxMissedBeats*t.interval)
	t.monitored = max(minSameZoneTimeout, standbyMissedBeats*t.interval)
	t.listed = max(minSameZoneTimeout, listedMissedBeats*t.interval)
	t.far = max(t.delegate, crossZoneMissedBeats*t.crossZone)
	t.report = max(t.delegate, crossZoneMissedBeats*reportInterval)
	return t
}

// timeoutOf returns how long a member stays live without a sign of it.
func (r *Roster) timeoutOf(h *peerState) time.Duration {
	switch {
	case r.standby:
		return r.timeouts.report
	case !h.sameZone:
		return r.timeouts.far
	case h.standby && r.monitorsStandby(h):
		return r.timeouts.monitored
	case h.standby:
		return r.timeouts.listed
	}
	return r.timeouts.delegate
}

func (r *Roster) sameZoneTimeout() time.Duration { return r.timeouts.delegate }

// crossZoneInterval returns the time between two heartbeats of a zone to a VM of another zone.
func (r *Roster) crossZoneInterval() time.Duration { return r.timeouts.crossZone }

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
