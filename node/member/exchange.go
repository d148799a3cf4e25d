package member

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"heatherlock/peer/peerpb"
	"heatherlock/steering"
	"heatherlock/steering/membership"
)

// news is the part that requests and replies share.
type news struct {
	from          membership.ID
	beat          uint32
	configVersion int64
	members       []*peerpb.MemberFact
	liveness      *peerpb.Liveness
	reports       []*peerpb.ZoneReport
	pools         []*peerpb.PoolFact
	suspects      []*peerpb.SuspectFact
}

// hooked is what to hand to the hooks once m.mu is free.
type hooked struct {
	pools       []*peerpb.PoolFact
	suspects    []*peerpb.SuspectFact
	peerAddress string
	version     int64
}

func (m *Members) runHooks(h hooked) {
	if len(h.pools) > 0 {
		m.config.Hooks.OnPools(h.pools)
	}
	if len(h.suspects) > 0 {
		m.config.Hooks.OnSuspectRequests(h.suspects)
	}
	if h.peerAddress != "" {
		m.config.Hooks.OnConfigVersion(h.peerAddress, h.version)
	}
}

// own is what the other parts of this entry VM contribute; it is asked for
// before m.mu is taken.
type own struct {
	pools         []*peerpb.PoolFact
	suspects      []*peerpb.SuspectFact
	configVersion int64
	inFlight      int32
}

func (m *Members) own() own {
	h := m.config.Hooks
	o := own{pools: h.Pools(), suspects: h.SuspectRequests(), configVersion: h.ConfigVersion(), inFlight: h.InFlight()}
	o.suspects = o.suspects[:min(maxSuspects, len(o.suspects))]
	return o
}

// tell composes what this member has to say; m.mu is held.
func (m *Members) tell(o own, far bool, now time.Time) news {
	m.refreshSelf(o, now)
	m.pools.learn(o.pools, 0, now)
	m.turn++
	n := news{
		from: m.self.ID(), beat: m.beat, configVersion: o.configVersion, suspects: o.suspects,
		members: factsToWire(m.view.Recent(recentWindow, maxRecentFacts, now)),
	}
	reports := m.view.Reports(maxReportsNear, m.turn*maxReportsNear, now)
	if far {
		reports = append(m.view.Reports(maxReportsFar-1, m.turn*maxReportsFar, now), m.view.OwnReport(m.beat, now))
		n.pools = m.pools.pick(maxPoolsFar, m.config.Random, now)
	} else {
		n.liveness = livenessToWire(m.view.Heartbeats(maxBeats, now), o.configVersion)
		n.pools = m.pools.pick(maxPoolsNear, m.config.Random, now)
	}
	for _, r := range reports {
		n.reports = append(n.reports, reportToWire(r))
	}
	return n
}

// refreshSelf updates this member's own fact. Its load is told only while it
// leaves: that is when somebody waits for it to reach zero.
func (m *Members) refreshSelf(o own, now time.Time) {
	status, load := membership.Live, membership.Load{}
	if m.leaving {
		status = membership.Leaving
		load = membership.Load{Beat: uint64(m.beat), InFlight: o.inFlight}
		if now.Sub(m.lastLoad) < leavingLoadEach {
			load = m.selfLoad
		}
		if load != m.selfLoad {
			m.selfLoad, m.lastLoad = load, now
		}
	}
	if o.configVersion != m.version {
		m.version, m.versionAt = o.configVersion, now
	}
	m.view.SetSelf(status, load, o.configVersion, now)
}

// hear takes in what another member said; m.mu is held. An exchange's own
// length is added to ages, which is more than they can have lost on the way.
func (m *Members) hear(n news, took time.Duration, now time.Time) hooked {
	changed := false
	for _, w := range n.members {
		changed = m.view.Merge(factFromWire(w), now) || changed
	}
	changed = m.view.RecordHeartbeat(membership.Beat{ID: n.from, Beat: n.beat, ConfigVersion: n.configVersion}, now) || changed
	for _, b := range livenessFromWire(n.liveness, n.configVersion) {
		changed = m.view.RecordHeartbeat(b, now) || changed
	}
	for _, w := range n.reports {
		changed = m.view.RecordReport(reportFromWire(w), now) || changed
	}
	m.changed = m.changed || changed
	if m.changed && now.Sub(m.publishedAt) >= publishGap {
		m.publish(now)
	}
	for _, s := range n.suspects {
		s.AgeMs += ageMs(took)
	}
	h := hooked{pools: m.pools.learn(n.pools, took, now), suspects: n.suspects, version: n.configVersion}
	if address, ok := m.view.AddressOf(n.from); ok {
		h.peerAddress = address
	}
	return h
}

// Beat answers another member's beat; it is served on the peer listener.
func (m *Members) Beat(_ context.Context, r *peerpb.BeatRequest) (*peerpb.BeatReply, error) {
	o := m.own()
	reply, h := m.answer(r, o, time.Now())
	m.runHooks(h)
	m.scope.Counter("beats_answered").Inc(1)
	m.countBytes(r, reply)
	return reply, nil
}

func (m *Members) answer(r *peerpb.BeatRequest, o own, now time.Time) (*peerpb.BeatReply, hooked) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.noticePause(now)
	from := membership.IDOf(steering.VM(r.FromVm), steering.Incarnation(r.FromIncarnation))
	h := m.hear(news{from: from, beat: r.Beat, configVersion: r.ConfigVersion, members: r.Members, liveness: r.Liveness,
		reports: r.Reports, pools: r.Pools, suspects: r.Suspects}, 0, now)
	zone, known := m.view.ZoneOf(from)
	n := m.tell(o, known && zone != m.self.Location.Zone, now)
	reply := &peerpb.BeatReply{From: uint32(n.from), Beat: n.beat, ConfigVersion: n.configVersion, Members: n.members,
		Liveness: n.liveness, Reports: n.reports, Pools: n.pools, Suspects: n.suspects, ViewDigest: m.view.Digest()}
	if theirs, ok := bucketsFromWire(r.Buckets); ok {
		reply.Members = factsToWire(m.view.Differing(theirs, maxSyncedFacts))
		reply.Buckets = bucketsToWire(m.view.Buckets())
	}
	return reply, h
}

// request composes a beat; m.mu is taken.
func (m *Members) request(far bool) *peerpb.BeatRequest {
	o := m.own()
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	n := m.tell(o, far, now)
	return &peerpb.BeatRequest{FromVm: string(m.self.VM), FromIncarnation: string(m.self.Incarnation), Beat: n.beat,
		ConfigVersion: n.configVersion, Members: n.members, Liveness: n.liveness, Reports: n.reports, Pools: n.pools,
		Suspects: n.suspects, ViewDigest: m.view.Digest()}
}

// take hears a reply and tells whether the views still differ.
func (m *Members) take(reply *peerpb.BeatReply, took time.Duration) (differ bool) {
	now := time.Now()
	m.mu.Lock()
	m.noticePause(now)
	m.settle(now.Add(-took))
	h := m.hear(news{from: membership.ID(reply.From), beat: reply.Beat, configVersion: reply.ConfigVersion, members: reply.Members,
		liveness: reply.Liveness, reports: reply.Reports, pools: reply.Pools, suspects: reply.Suspects}, took, now)
	differ = reply.ViewDigest != m.view.Digest()
	m.mu.Unlock()
	m.runHooks(h)
	return differ
}

// countBytes counts the messages of an exchange, without HTTP headers.
func (m *Members) countBytes(messages ...proto.Message) {
	for _, message := range messages {
		m.scope.Counter("beat_bytes").Inc(int64(proto.Size(message)))
	}
}
