package member

import (
	"maps"
	"slices"
	"time"

	"heatherlock/steering"
	"heatherlock/steering/membership"
)

// partner is a member to exchange with; vm is empty for a seed.
type partner struct {
	vm steering.VM
	// id is the incarnation expected at the address; anyOne for a seed or a
	// member that is known from the platform's list only.
	id      membership.ID
	region  steering.Region
	address string
	far     bool
}

// anyOne accepts whatever incarnation answers.
const anyOne = membership.ID(0)

func (p partner) timeout() time.Duration {
	if p.far {
		return farTimeout
	}
	return nearTimeout
}

// nearPartner chooses whom to exchange with; m.mu is held. Every third time it
// is a member that is due to be called again, if there is one; else each
// member of the zone in its turn, in random order; and a seed while nobody is
// known.
func (m *Members) nearPartner(now time.Time) (partner, bool) {
	const retryEach = 3
	if due := m.view.DueForRetry(now); len(due) > 0 {
		chosen := due[m.config.Random(len(due))]
		if chosen.Failures == 1 || m.beat%retryEach == 0 {
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
	return m.seed()
}

// nextInRound takes the next member of the round, or begins a new round.
func (m *Members) nextInRound(usable map[steering.VM]partner) (partner, bool) {
	if len(usable) == 0 {
		return partner{}, false
	}
	for {
		if len(m.order) == 0 {
			m.order = m.shuffled(usable)
		}
		vm := m.order[0]
		m.order = m.order[1:]
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

// seed chooses a seed other than this member itself.
func (m *Members) seed() (partner, bool) {
	seeds := slices.DeleteFunc(slices.Clone(m.config.Seeds), func(s string) bool { return s == m.self.Location.PeerAddress })
	if len(seeds) == 0 {
		return partner{}, false
	}
	return partner{address: seeds[m.config.Random(len(seeds))], far: true}, true
}

// partnerOf returns false for a member that cannot or need not be called.
func (m *Members) partnerOf(member membership.Member) (partner, bool) {
	if member.VM == m.self.VM || member.State == membership.StateGone || member.Location.PeerAddress == "" {
		return partner{}, false
	}
	p := partner{vm: member.VM, id: anyOne, region: member.Location.Region, address: member.Location.PeerAddress,
		far: member.Location.Zone != m.self.Location.Zone}
	if member.Known() {
		p.id = member.ID()
	}
	return p, true
}

// reports tells whether this member is one of those that talk to other zones.
func (m *Members) reports(now time.Time) bool {
	return slices.Contains(m.duty(reportDuty, reporters, now), m.self.VM)
}

// reportDuty is the duty to talk to other zones; both sides rank alike, so that
// those who talk are mostly those who are called.
const reportDuty = "report"

// duty ranks the zone's live members for a duty and returns the first n.
func (m *Members) duty(name string, n int, now time.Time) []steering.VM {
	var live []steering.VM
	for _, member := range m.view.ZoneMembers(now) {
		if member.State == membership.StateLive && member.Known() {
			live = append(live, member.VM)
		}
	}
	ranked := membership.Rank(name+"\x00"+string(m.self.Location.Zone), live)
	return ranked[:min(n, len(ranked))]
}

// farPartner chooses one of a few groups of members and then one of the
// group's first few, as a rank orders them; m.mu is held. Choosing among few
// keeps connections in use: one to each member of the fleet would be closed as
// idle before its next use, and a new one costs a handshake. Members that could
// not be reached lately are passed over where there are others.
func (m *Members) farPartner(duty string, groupOf func(membership.Member) string, now time.Time) (partner, bool) {
	groups := map[string][]membership.Member{}
	for _, member := range m.view.Members(now) {
		if p, ok := m.partnerOf(member); ok && p.far {
			groups[groupOf(member)] = append(groups[groupOf(member)], member)
		}
	}
	delete(groups, "")
	if len(groups) == 0 {
		return partner{}, false
	}
	names := slices.Sorted(maps.Keys(groups))
	name := names[m.config.Random(len(names))]
	first := firstOf(duty+"\x00"+name, groups[name], reporters)
	return m.partnerOf(first[m.config.Random(len(first))])
}

// firstOf ranks members for a duty and returns the first n that are not known
// to be out of reach, or the first n of all.
func firstOf(duty string, members []membership.Member, n int) []membership.Member {
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
	ranked := membership.Rank(duty, reachable)
	var first []membership.Member
	for _, vm := range ranked[:min(n, len(ranked))] {
		first = append(first, byVM[vm])
	}
	return first
}

// otherRegion groups members by region, this member's own left out.
func (m *Members) otherRegion(member membership.Member) string {
	if member.Location.Region == m.self.Location.Region {
		return ""
	}
	return string(member.Location.Region)
}
