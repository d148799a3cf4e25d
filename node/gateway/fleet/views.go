package fleet

import (
	"cmp"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"heatherlock/node/gateway/catchup"
	"heatherlock/node/gateway/volume"
	"heatherlock/steering"
	"heatherlock/steering/placement"
	"heatherlock/steering/presence"
)

// Live returns the live members that are not leaving, by name. It includes this VM unless
// selfLeaves is set.
func (r *Roster) Live(now time.Time, selfLeaves bool) []Member {
	all := make([]Member, 0, len(r.members)+1)
	if !selfLeaves {
		all = append(all, r.self)
	}
	for _, h := range r.all {
		if r.live(now, h) && !h.leaving {
			all = append(all, h.Member)
		}
	}
	slices.SortFunc(all, func(a, b Member) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return all
}

// Process returns what is known of the process of another VM.
func (r *Roster) Process(now time.Time, name steering.VM) presence.Process {
	h := r.members[name]
	if h == nil {
		return presence.Process{}
	}
	return presence.Process{State: r.stateOf(now, h), Incarnation: presence.Incarnation(h.beat.Incarnation)}
}

func (r *Roster) stateOf(now time.Time, h *peerState) presence.State {
	return presence.Of(r.live(now, h), !h.lastSeen.IsZero(), h.leaving)
}

// ReadOrder returns the live VMs that are not leaving, in the order in which VMs read the store: those
// with the highest capacity first. Unlike in ReadRank, VMs whose reads fail keep their place.
func (r *Roster) ReadOrder(now time.Time, selfLeaves bool) []Member {
	type ordered struct {
		Member
		order uint64
	}
	all := make([]ordered, 0, len(r.members)+1)
	if !selfLeaves {
		all = append(all, ordered{r.self, r.order})
	}
	for _, h := range r.all {
		if r.live(now, h) && !h.leaving {
			all = append(all, ordered{h.Member, h.order})
		}
	}
	slices.SortFunc(all, func(a, b ordered) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.order, b.order))
	})
	members := make([]Member, 0, len(all))
	for _, m := range all {
		members = append(members, m.Member)
	}
	return members
}

// Left returns the VMs that announced that they leave and are no longer live.
func (r *Roster) Left(now time.Time) map[steering.VM]bool {
	left := make(map[steering.VM]bool)
	for _, h := range r.all {
		if h.leaving && !r.live(now, h) {
			left[h.Name] = true
		}
	}
	return left
}

// Changes are the VMs that became live, or are no longer, since the last call of Scan. Ended are those
// that left and are no longer heard.
type Changes struct {
	Heard, Lost, Ended []steering.VM
	// Live is the number of live VMs that are not leaving, and Leaving that of those that are, without
	// this one.
	Live, Leaving int
}

// Scan returns which VMs became live or are no longer since its last call, and updates the hash of
// the live VMs.
func (r *Roster) Scan(now time.Time) Changes {
	var c Changes
	r.liveSetHash = 0
	for _, h := range r.all {
		state := r.stateOf(now, h)
		if h.wasLeaving && state == presence.Ended {
			c.Ended = append(c.Ended, h.Name)
		}
		if h.wasLeaving = state == presence.Leaving; h.wasLeaving {
			c.Leaving++
		}
		live := state == presence.Live
		if live {
			c.Live++
			r.liveSetHash ^= uint32(h.id)
		}
		if live != h.wasLive {
			h.wasLive = live
			if live {
				c.Heard = append(c.Heard, h.Name)
			} else {
				c.Lost = append(c.Lost, h.Name)
			}
		}
	}
	return c
}

// fullSetHash returns the hash of the live VMs as of the last Scan, with this VM if self is set.
func (r *Roster) fullSetHash(self bool) uint32 {
	if self {
		return r.liveSetHash ^ uint32(r.id)
	}
	return r.liveSetHash
}

// liveForNewcomer returns the live members to introduce to a VM that knows none: all, but of other
// zones with standbys only the delegates.
func (r *Roster) liveForNewcomer(now time.Time, selfLeaves bool) []Member {
	return slices.DeleteFunc(r.Live(now, selfLeaves), func(m Member) bool {
		h := r.members[m.Name]
		return h != nil && h.Zone != r.self.Zone && h.standby
	})
}

// ZonePeers returns the other live members of this VM's zone.
func (r *Roster) ZonePeers(now time.Time) []Member {
	var peers []Member
	for _, h := range r.zones[r.self.Zone] {
		if r.live(now, h) && !h.leaving {
			peers = append(peers, h.Member)
		}
	}
	return peers
}

// Serving returns the live members that take requests. selfServes says whether this VM does.
func (r *Roster) Serving(now time.Time, selfServes bool) []Member {
	all := r.Live(now, !selfServes)
	kept := all[:0]
	for _, m := range all {
		if h := r.members[m.Name]; h == nil || h.serves() {
			kept = append(kept, m)
		}
	}
	return kept
}

// ServingIn returns the live members of a zone that take requests, in no particular order.
func (r *Roster) ServingIn(now time.Time, zone steering.Zone, selfServes bool) []Member {
	var all []Member
	if selfServes && zone == r.self.Zone {
		all = append(all, r.self)
	}
	for _, h := range r.zones[zone] {
		if r.live(now, h) && !h.leaving && h.serves() {
			all = append(all, h.Member)
		}
	}
	return all
}

// LeavingIn returns the number of other members of a zone that are heard and leave.
func (r *Roster) LeavingIn(now time.Time, zone steering.Zone) int {
	n := 0
	for _, h := range r.zones[zone] {
		if r.live(now, h) && h.leaving {
			n++
		}
	}
	return n
}

// WithoutCutOff returns the members that are not known to be cut off from all targets. selfCutOff says
// whether this VM is.
func (r *Roster) WithoutCutOff(all []Member, selfCutOff bool) []Member {
	return slices.DeleteFunc(slices.Clone(all), func(m Member) bool {
		if m.Name == r.self.Name {
			return selfCutOff
		}
		h := r.members[m.Name]
		return h != nil && h.beat.CutOff
	})
}

// serves reports whether a live VM takes requests, as far as is known. A VM that only its zone lists
// is assumed to, as nearly all do.
func (h *peerState) serves() bool { return h.beat.Serving || h.lastBeatAt.IsZero() }

// ZonePeersDemand returns the demand of the callers of the other live VMs of this zone. A standby
// goes by the latest report on the zone. A delegate sums what the delegates report, each with the
// standbys of which it is the first monitor.
func (r *Roster) ZonePeersDemand(now time.Time) placement.DemandOf {
	if r.standby {
		return r.reportedZoneDemand(now)
	}
	sum := r.StandbyDemand(now)
	for _, h := range r.zones[r.self.Zone] {
		if !h.standby && r.live(now, h) && !h.leaving {
			sum.AddAll(h.beat.Demand)
		}
	}
	return sum
}

// StandbyDemand returns the demand of the callers of the live standbys of which this VM is the first
// monitor.
func (r *Roster) StandbyDemand(now time.Time) placement.DemandOf {
	sum := make(placement.DemandOf)
	for _, h := range r.zones[r.self.Zone] {
		if h.standby && h.monitors[0] == r.id && r.live(now, h) && !h.leaving {
			sum.AddAll(h.beat.Demand)
		}
	}
	return sum
}

// reportedZoneDemand returns the demand of this zone in the latest report, without that of this
// VM's own callers.
func (r *Roster) reportedZoneDemand(now time.Time) placement.DemandOf {
	sum := make(placement.DemandOf)
	if last := r.latestDemand(now, r.self.Zone); last != nil {
		sum.AddAll(last.beat.Demand)
	}
	for service, own := range r.ownDemand {
		if zone, found := sum[service]; found {
			zone.Rate = max(zone.Rate-own.Rate, 0)
			sum[service] = zone
		}
	}
	return sum
}

// latestDemand returns the live VM of a zone that reported the demand of its zone last, or nil.
func (r *Roster) latestDemand(now time.Time, zone steering.Zone) *peerState {
	var last *peerState
	for _, h := range r.zones[zone] {
		if r.live(now, h) && h.beat.Demand != nil && (last == nil || h.demandAt.After(last.demandAt)) {
			last = h
		}
	}
	return last
}

// Demand returns the demand of the callers of other VMs, by region. For another zone only the
// latest report counts, since each of its senders reports the demand of the whole zone.
func (r *Roster) Demand(now time.Time) map[steering.Region]placement.DemandOf {
	demand := map[steering.Region]placement.DemandOf{r.self.Region: r.ZonePeersDemand(now)}
	for zone := range r.zones {
		if zone == r.self.Zone {
			continue
		}
		last := r.latestDemand(now, zone)
		if last == nil {
			continue
		}
		if demand[last.Region] == nil {
			demand[last.Region] = make(placement.DemandOf)
		}
		demand[last.Region].AddAll(last.beat.Demand)
	}
	return demand
}

// ZoneDemand returns the demand of the callers of a zone without those of this VM.
func (r *Roster) ZoneDemand(now time.Time, zone steering.Zone) placement.DemandOf {
	if zone == r.self.Zone {
		return r.ZonePeersDemand(now)
	}
	sum := make(placement.DemandOf)
	if last := r.latestDemand(now, zone); last != nil {
		sum.AddAll(last.beat.Demand)
	}
	return sum
}

// ConfigStatus says which configuration another entry VM uses, as far as this VM knows.
type ConfigStatus struct {
	Member
	// Live is set while the VM is live, Leaving once it is shutting down.
	Live    bool
	Leaving bool
	Serving bool
	// Version is in force on the VM, 0 for none, and Newest is the newest version that it knows of.
	Version uint64
	Newest  uint64
	// Content is a hash of the content in force; 0 if it is not known.
	Content uint32
	Wait    catchup.Wait
	// Since is when the first heartbeat with this version was received, LastHeartbeat when the last
	// heartbeat was; zero if none was. VMs of other zones rarely send heartbeats.
	Since         time.Time
	LastHeartbeat time.Time
}

// ConfigStatus returns which configuration each other VM on record uses, by zone and name.
func (r *Roster) ConfigStatus(now time.Time) []ConfigStatus {
	all := make([]ConfigStatus, 0, len(r.members))
	for _, h := range r.all {
		k := h.beat.StoreDigest
		all = append(all, ConfigStatus{Member: h.Member, Live: r.live(now, h), Leaving: h.leaving, Serving: h.beat.Serving, Version: k.Config,
			Newest: max(k.Newest, k.Config), Content: h.beat.ConfigContent, Wait: h.beat.ConfigWait, Since: h.configSince, LastHeartbeat: h.lastBeatAt})
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].Zone != all[j].Zone {
			return all[i].Zone < all[j].Zone
		}
		return all[i].Name < all[j].Name
	})
	return all
}

// ConfigHolder is a live VM and the version of the configuration that it has in force.
type ConfigHolder struct {
	Member
	Version uint64
}

// ConfigHolders returns the live VMs whose configuration is newer than the version above.
func (r *Roster) ConfigHolders(now time.Time, above uint64) []ConfigHolder {
	var all []ConfigHolder
	for _, h := range r.all {
		if version := h.beat.StoreDigest.Config; version > above && r.live(now, h) && !h.leaving {
			all = append(all, ConfigHolder{Member: h.Member, Version: version})
		}
	}
	return all
}

// RequestRank returns how many live VMs of this VM's zone, and of its region, rank before this VM
// in requesting data from peers.
func (r *Roster) RequestRank(now time.Time) (zone, region int) {
	for _, h := range r.all {
		if h.Region != r.self.Region || !r.live(now, h) || h.leaving || !r.before(h) {
			continue
		}
		region++
		if h.Zone == r.self.Zone {
			zone++
		}
	}
	return zone, region
}

// ReadRank returns how many live VMs read the store before this one.
func (r *Roster) ReadRank(now time.Time, fails bool) int {
	rank := 0
	for _, h := range r.all {
		if !r.live(now, h) || h.leaving || h.beat.StoreReadsFail && !fails {
			continue
		}
		if fails && !h.beat.StoreReadsFail || r.before(h) {
			rank++
		}
	}
	return rank
}

// LastReadStart returns when a live VM that reads before this one first reported its last read of
// the store.
func (r *Roster) LastReadStart(now time.Time) time.Time {
	var last time.Time
	for _, h := range r.all {
		if r.live(now, h) && !h.leaving && r.before(h) {
			last = maxTime(last, h.readBegan)
		}
	}
	return last
}

// readOrder is a hash, so that the order does not depend on how VMs are named.
func readOrder(name steering.VM) uint64 { return xxhash.Sum64String("read\x00" + string(name)) }

// LocationOf returns the location of a VM, or the zero value if it is not known.
func (r *Roster) LocationOf(name steering.VM) volume.Location {
	if name == r.self.Name {
		return volume.Location{Zone: r.self.Zone, Region: r.self.Region}
	}
	if h := r.members[name]; h != nil {
		return volume.Location{Zone: h.Zone, Region: h.Region}
	}
	return volume.Location{}
}

// MemberCount returns the number of VMs on record that have not left, this VM included. A VM has
// left once it reported that it is leaving and is no longer live.
func (r *Roster) MemberCount(now time.Time) int {
	standing := 1
	for _, h := range r.all {
		if !h.leaving || r.live(now, h) {
			standing++
		}
	}
	return standing
}

// RecordCount returns the number of members on record, this VM included.
func (r *Roster) RecordCount() int { return 1 + len(r.members) }

// UnreachableZones returns the other zones whose entry VMs were seen live before and from which no
// heartbeat has come for unreachableMissedBeats. Targets there are most likely unreachable as well.
func (r *Roster) UnreachableZones(now time.Time) map[steering.Zone]bool {
	timeout := unreachableMissedBeats * r.crossZoneInterval()
	if r.standby {
		timeout = unreachableMissedBeats * reportInterval
	}
	unreachable, reachable := make(map[steering.Zone]bool), map[steering.Zone]bool{r.self.Zone: true}
	for _, h := range r.all {
		switch {
		case !h.lastSeen.IsZero() && now.Sub(h.lastSeen) < timeout:
			reachable[h.Zone] = true
		case !h.lastSeen.IsZero() && !h.leaving:
			unreachable[h.Zone] = true
		}
	}
	for zone := range reachable {
		delete(unreachable, zone)
	}
	return unreachable
}
