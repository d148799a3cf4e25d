package member

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"heatherlock/node/seam"
	"heatherlock/peer/peerpb"
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

// Run exchanges beats and reads the platform's list until ctx ends.
func (m *Members) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { m.readLists(ctx) })
	wg.Go(func() { m.every(ctx, m.hurried(m.config.CrossEvery), m.talkFar) })
	wg.Go(func() { m.every(ctx, steadily(m.config.ProbeEvery), m.probe) })
	wg.Go(func() { m.every(ctx, steadily(forgetEvery), m.forget) })
	m.every(ctx, m.hurried(m.config.BeatEvery), m.tick)
	return ctx.Err()
}

const (
	// jitterPercent is how much a loop's pause varies either way.
	jitterPercent = 10
	jitterChoices = 2*jitterPercent + 1
)

const (
	// hurryFor is how long after a change of configuration members exchange
	// more often, hurryFactor how much: operators wait to see it in force.
	hurryFor    = 3 * time.Second
	hurryFactor = 3
)

// hurried gives a loop's pause, shorter after a change of configuration.
func (m *Members) hurried(d time.Duration) func() time.Duration {
	return func() time.Duration {
		version := m.config.Hooks.ConfigVersion()
		m.mu.Lock()
		defer m.mu.Unlock()
		if version != m.version || time.Since(m.versionAt) < hurryFor {
			return d / hurryFactor
		}
		return d
	}
}

func steadily(d time.Duration) func() time.Duration { return func() time.Duration { return d } }

// every calls f at a rate, each time a little jittered so that members do not
// fall into step.
func (m *Members) every(ctx context.Context, pause func() time.Duration, f func(context.Context)) {
	for {
		d := pause()
		jitter := d * time.Duration(m.config.Random(jitterChoices)-jitterPercent) / 100
		select {
		case <-ctx.Done():
			return
		case <-time.After(d + jitter):
			f(ctx)
		}
	}
}

// tick advances this member's beat and exchanges with one of its zone.
func (m *Members) tick(ctx context.Context) {
	if p, ok := m.nextTick(time.Now()); ok {
		m.start(ctx, p)
	}
}

func (m *Members) nextTick(now time.Time) (partner, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.noticePause(now)
	m.lastTick = now
	m.beat++
	if m.changed || now.Sub(m.publishedAt) >= publishEvery {
		m.publish(now)
	}
	return m.nearPartner(now)
}

// nearPartner chooses whom to exchange with; m.mu is held. Every third time it
// is a member that is due to be called again, if there is one; else each
// member of the zone in its turn, in random order; and a seed while nobody is
// known.
func (m *Members) nearPartner(now time.Time) (partner, bool) {
	const retryEach = 3
	if due := m.view.Retry(now); len(due) > 0 {
		chosen := due[m.config.Random(len(due))]
		if chosen.Failures == 1 || m.beat%retryEach == 0 {
			return m.partnerOf(chosen)
		}
	}
	usable := map[steering.VM]partner{}
	for _, member := range m.view.ZoneMembers(now) {
		p, ok := m.partnerOf(member)
		if ok && !member.Failed.After(member.Reached) {
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
	seeds := slices.DeleteFunc(slices.Clone(m.config.Seeds), func(s string) bool { return s == m.self.Place.PeerAddress })
	if len(seeds) == 0 {
		return partner{}, false
	}
	return partner{address: seeds[m.config.Random(len(seeds))], far: true}, true
}

// partnerOf returns false for a member that cannot or need not be called.
func (m *Members) partnerOf(member membership.Member) (partner, bool) {
	if member.VM == m.self.VM || member.State == membership.StateGone || member.Place.PeerAddress == "" {
		return partner{}, false
	}
	p := partner{vm: member.VM, id: anyOne, region: member.Place.Region, address: member.Place.PeerAddress,
		far: member.Place.Zone != m.self.Place.Zone}
	if member.Known() {
		p.id = member.ID()
	}
	return p, true
}

// talkFar exchanges with a member of another zone if this member reports for
// its zone, or is alone in it.
func (m *Members) talkFar(ctx context.Context) {
	m.mu.Lock()
	now := time.Now()
	p, ok := partner{}, false
	if m.reports(now) {
		p, ok = m.farPartner(reportDuty, func(x membership.Member) string { return string(x.Place.Zone) }, now)
	}
	m.mu.Unlock()
	if ok {
		m.start(ctx, p)
	}
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
	ranked := membership.Rank(name+"\x00"+string(m.self.Place.Zone), live)
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
		if member.State == membership.StateLive && !member.Failed.After(member.Reached) {
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

// probe measures the distance to another region.
func (m *Members) probe(ctx context.Context) {
	m.mu.Lock()
	p, ok := m.farPartner("probe\x00"+string(m.self.VM), m.otherRegion, time.Now())
	m.mu.Unlock()
	if ok {
		m.start(ctx, p)
	}
}

// otherRegion groups members by region, this member's own left out.
func (m *Members) otherRegion(member membership.Member) string {
	if member.Place.Region == m.self.Place.Region {
		return ""
	}
	return string(member.Place.Region)
}

func (m *Members) forget(context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view.Forget(time.Now())
}

// start exchanges with a partner in the background, unless too many exchanges
// are waiting already.
func (m *Members) start(ctx context.Context, p partner) {
	select {
	case m.inFlight <- struct{}{}:
	default:
		m.scope.Counter("beats_skipped").Inc(1)
		return
	}
	go func() {
		defer func() { <-m.inFlight }()
		m.exchange(ctx, p)
	}()
}

// exchange sends a beat, takes in the reply, and synchronizes facts when the
// views differ.
func (m *Members) exchange(ctx context.Context, p partner) {
	differ, ok := m.call(ctx, p, m.request(p.far))
	if ok && differ && m.maySync(time.Now()) {
		m.sync(ctx, p)
	}
}

// call makes one call and records how it ended. It returns whether the views
// differ and whether the call succeeded.
func (m *Members) call(ctx context.Context, p partner, request *peerpb.BeatRequest) (differ, ok bool) {
	reply, took, ok := m.send(ctx, p, request)
	if !ok {
		return false, false
	}
	return m.take(reply, took), true
}

func (m *Members) send(ctx context.Context, p partner, request *peerpb.BeatRequest) (*peerpb.BeatReply, time.Duration, bool) {
	started := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, p.timeout())
	defer cancel()
	reply, err := m.config.Peers.To(p.address).Beat(callCtx, request)
	took := time.Since(started)
	if ctx.Err() != nil {
		return nil, 0, false
	}
	// Another incarnation at the address means that the one called is not there.
	ok := err == nil && (p.id == anyOne || membership.ID(reply.From) == p.id)
	m.record(p, ok, took)
	if err != nil {
		return nil, 0, false
	}
	m.countBytes(request, reply)
	return reply, took, true
}

// record keeps first-hand evidence of a call and the distance it showed.
func (m *Members) record(p partner, ok bool, took time.Duration) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.noticePause(now)
	if !ok {
		m.scope.Counter("beats_failed").Inc(1)
	} else {
		m.scope.Counter("beats_sent").Inc(1)
	}
	if p.vm == "" {
		return
	}
	m.view.Direct(p.vm, ok, now)
	if known := m.published.Load().byVM[p.vm]; !ok || known == nil || known.State != seam.MemberLive {
		m.publish(now)
	}
	if ok && p.far && p.region != m.self.Place.Region {
		m.distance[p.region] = smooth(m.distance[p.region], took)
	}
}

// smooth follows the lower figures quickly and the higher ones slowly: a new
// connection or a busy peer makes a round trip longer, nothing makes it shorter.
func smooth(old, sample time.Duration) time.Duration {
	const slow = 8
	if old == 0 || sample < old {
		return sample
	}
	return old + (sample-old)/slow
}

// maySync bounds how often this member asks for whole facts.
func (m *Members) maySync(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(m.lastSync) < syncEvery {
		return false
	}
	m.lastSync = now
	return true
}

// sync fetches the facts of the buckets that differ, then sends this member's
// own facts of those that still do.
func (m *Members) sync(ctx context.Context, p partner) {
	request := m.request(p.far)
	m.mu.Lock()
	request.Buckets = bucketsToWire(m.view.Buckets())
	m.mu.Unlock()
	reply, took, ok := m.send(ctx, p, request)
	if !ok {
		return
	}
	m.scope.Counter("syncs").Inc(1)
	m.take(reply, took)
	theirs, ok := bucketsFromWire(reply.Buckets)
	if !ok {
		return
	}
	m.mu.Lock()
	missing := m.view.Differing(theirs, maxSyncedFacts)
	m.mu.Unlock()
	if len(missing) == 0 {
		return
	}
	request = m.request(p.far)
	request.Members = append(request.Members, factsToWire(missing)...)
	m.call(ctx, p, request)
}

// Leave announces that this entry VM is leaving; it tells a few members at once.
func (m *Members) Leave() {
	now := time.Now()
	m.mu.Lock()
	m.leaving = true
	m.refreshSelf(own{configVersion: m.config.Hooks.ConfigVersion(), inFlight: m.config.Hooks.InFlight()}, now)
	m.publish(now)
	var partners []partner
	for range leaveFanout {
		if p, ok := m.nearPartner(now); ok {
			partners = append(partners, p)
		}
	}
	m.mu.Unlock()
	for _, p := range partners {
		m.start(context.Background(), p)
	}
}

// leaveFanout is how many members are told at once that this one leaves.
const leaveFanout = 3
