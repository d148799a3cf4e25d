package member

import (
	"maps"
	"slices"
	"time"

	"heatherlock/steering"
	"heatherlock/steering/membership"
)

// partner is a member to exchange with. vm is empty for a seed.
type partner struct {
	vm steering.VM
	// id is the incarnation expected at the address, or anyIncarnation for a seed or a member
	// that is known only from the platform's list.
	id        membership.ID
	region    steering.Region
	address   string
	crossZone bool
}

// anyIncarnation accepts a reply from any incarnation.
const anyIncarnation = membership.ID(0)

func (p partner) timeout() time.Duration {
	if p.crossZone {
		return crossZoneTimeout
	}
	return inZoneTimeout
}

// inZonePartner chooses the next member to exchange with. The caller holds m.mu. A member that is
// due for a retry comes first: immediately after its first failure, later on every third
// heartbeat. Otherwise it is the next member of the zone, each called once per round in random
// order, or a seed if no member can be called.
func (m *Members) inZonePartner(now time.Time) (partner, bool) {
	const retryPeriod = 3
	if due := m.view.DueForRetry(now); len(due) > 0 {
		chosen := due[m.config.Random(len(due))]
		if chosen.Failures == 1 || m.heartbeat%retryPeriod == 0 {
			return m.partnerOf(chosen)
		}
	}
	usable := map[steering.VM]partner{}
	for _, member := range m.view.ZoneMembers(now) {
		p, ok := m.partnerOf(member)
		if ok && !member.LastFailure.After(member.LastSuccess) {
			usable[p.vm] = p
		}
	}
	if p, ok := m.nextInRound(usable); ok {
		return p, true
	}
	return m.seedPartner()
}

// nextInRound returns the next usable member of the round and starts a new round when the current
// one is over.
func (m *Members) nextInRound(usable map[steering.VM]partner) (partner, bool) {
	if len(usable) == 0 {
		return partner{}, false
	}
	for {
		if len(m.roundRemaining) == 0 {
			m.roundRemaining = m.shuffled(usable)
		}
		vm := m.roundRemaining[0]
		m.roundRemaining = m.roundRemaining[1:]
		if p, ok := usable[vm]; ok {
			return p, true
		}
	}
}

func (m *Members) shuffled(usable map[steering.VM]partner) []steering.VM {
	vms := make([]steering.VM, 0, len(usable))
	for vm := range usable {
		vms = append(vms, vm)
	}
	slices.Sort(vms)
	for i := len(vms) - 1; i > 0; i-- {
		j := m.config.Random(i + 1)
		vms[i], vms[j] = vms[j], vms[i]
	}
	return vms
}

// seedPartner returns a random seed other than this member's own address.
func (m *Members) seedPartner() (partner, bool) {
	seeds := slices.DeleteFunc(slices.Clone(m.config.Seeds), func(s string) bool { return s == m.self.Location.PeerAddress })
	if len(seeds) == 0 {
		return partner{}, false
	}
	return partner{address: seeds[m.config.Random(len(seeds))], crossZone: true}, true
}

// partnerOf returns false for a member that cannot be called (no peer address) or need not be
// (gone, or this member itself).
func (m *Members) partnerOf(member membership.Member) (partner, bool) {
	if member.VM == m.self.VM || member.State == membership.StateGone || member.Location.PeerAddress == "" {
		return partner{}, false
	}
	p := partner{vm: member.VM, id: anyIncarnation, region: member.Location.Region, address: member.Location.PeerAddress,
		crossZone: member.Location.Zone != m.self.Location.Zone}
	if member.Known() {
		p.id = member.ID()
	}
	return p, true
}

// isReporter reports whether this member exchanges with other zones.
func (m *Members) isReporter(now time.Time) bool {
	return slices.Contains(m.roleHolders(reporterRole, reportersPerZone, now), m.self.VM)
}

// reporterRole is the role of exchanging with other zones. Callers and callees are ranked the
// same way, so the members that make these calls are mostly those that receive them.
const reporterRole = "report"

// roleHolders ranks the zone's live members for a role and returns the first n.
func (m *Members) roleHolders(role string, n int, now time.Time) []steering.VM {
	var live []steering.VM
	for _, member := range m.view.ZoneMembers(now) {
		if member.State == membership.StateLive && member.Known() {
			live = append(live, member.VM)
		}
	}
	ranked := membership.Rank(role+"\x00"+string(m.self.Location.Zone), live)
	return ranked[:min(n, len(ranked))]
}

// crossZonePartner chooses a random group of members and then one of the first few members of
// that group in rank order. The caller holds m.mu. Choosing among few members keeps connections
// in use: a connection to each member of the fleet would be closed as idle before its next use,
// and a new one costs a handshake. Members whose last call failed are skipped if there are
// others.
func (m *Members) crossZonePartner(role string, groupOf func(membership.Member) string, now time.Time) (partner, bool) {
	groups := map[string][]membership.Member{}
	for _, member := range m.view.Members(now) {
		if p, ok := m.partnerOf(member); ok && p.crossZone {
			groups[groupOf(member)] = append(groups[groupOf(member)], member)
		}
	}
	delete(groups, "")
	if len(groups) == 0 {
		return partner{}, false
	}
	names := slices.Sorted(maps.Keys(groups))
	name := names[m.config.Random(len(names))]
	first := topRanked(role+"\x00"+name, groups[name], reportersPerZone)
	return m.partnerOf(first[m.config.Random(len(first))])
}

// topRanked ranks members for a role and returns the first n of those that are live and whose
// last call did not fail. If there are none, it returns the first n of all members.
func topRanked(role string, members []membership.Member, n int) []membership.Member {
	byVM := map[steering.VM]membership.Member{}
	var reachable, all []steering.VM
	for _, member := range members {
		byVM[member.VM] = member
		all = append(all, member.VM)
		if member.State == membership.StateLive && !member.LastFailure.After(member.LastSuccess) {
			reachable = append(reachable, member.VM)
		}
	}
	if len(reachable) == 0 {
		reachable = all
	}
	ranked := membership.Rank(role, reachable)
	var first []membership.Member
	for _, vm := range ranked[:min(n, len(ranked))] {
		first = append(first, byVM[vm])
	}
	return first
}

// otherRegion returns the region of a member as its group, or an empty name for the own region.
func (m *Members) otherRegion(member membership.Member) string {
	if member.Location.Region == m.self.Location.Region {
		return ""
	}
	return string(member.Location.Region)
}
