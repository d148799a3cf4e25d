package member

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"heatherlock/peer/peerpb"
	"heatherlock/steering"
	"heatherlock/steering/membership"
)

// payload is the content that heartbeat requests and replies have in common.
type payload struct {
	from          membership.ID
	heartbeat     uint32
	configVersion int64
	members       []*peerpb.MemberFact
	liveness      *peerpb.Liveness
	reports       []*peerpb.ZoneReport
	pools         []*peerpb.PoolFact
	suspects      []*peerpb.SuspectFact
}

// hookCalls holds the arguments of the hooks to call once m.mu is released.
type hookCalls struct {
	pools       []*peerpb.PoolFact
	suspects    []*peerpb.SuspectFact
	peerAddress string
	version     int64
}

func (m *Members) runHooks(h hookCalls) {
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

// localState is what other parts of this entry VM contribute to a heartbeat. It is collected
// before m.mu is taken.
type localState struct {
	pools         []*peerpb.PoolFact
	suspects      []*peerpb.SuspectFact
	configVersion int64
	inFlight      int32
}

func (m *Members) localState() localState {
	h := m.config.Hooks
	o := localState{pools: h.Pools(), suspects: h.SuspectRequests(), configVersion: h.ConfigVersion(), inFlight: h.InFlight()}
	o.suspects = o.suspects[:min(maxSuspects, len(o.suspects))]
	return o
}

// composePayload returns this member's side of an exchange. The caller holds m.mu.
func (m *Members) composePayload(o localState, crossZone bool, now time.Time) payload {
	m.refreshSelf(o, now)
	m.pools.mergeNewer(o.pools, 0, now)
	m.relayRound++
	n := payload{
		from: m.self.ID(), heartbeat: m.heartbeat, configVersion: o.configVersion, suspects: o.suspects,
		members: factsToWire(m.view.Recent(recentWindow, maxRecentFacts, now)),
	}
	reports := m.view.Reports(maxReportsInZone, m.relayRound*maxReportsInZone, now)
	if crossZone {
		reports = append(m.view.Reports(maxReportsCrossZone-1, m.relayRound*maxReportsCrossZone, now), m.view.OwnReport(m.heartbeat, now))
		n.pools = m.pools.sample(maxPoolsCrossZone, m.config.Random, now)
	} else {
		n.liveness = livenessToWire(m.view.Heartbeats(maxHeartbeats, now), o.configVersion)
		n.pools = m.pools.sample(maxPoolsInZone, m.config.Random, now)
	}
	for _, r := range reports {
		n.reports = append(n.reports, reportToWire(r))
	}
	return n
}

// refreshSelf updates this member's own fact. The fact includes the load only while this member
// is leaving, because only then does another part wait for the load to reach zero.
func (m *Members) refreshSelf(o localState, now time.Time) {
	status, load := membership.Live, membership.Load{}
	if m.leaving {
		status = membership.Leaving
		load = membership.Load{Beat: uint64(m.heartbeat), InFlight: o.inFlight}
		if now.Sub(m.loadUpdatedAt) < leavingLoadInterval {
			load = m.selfLoad
		}
		if load != m.selfLoad {
			m.selfLoad, m.loadUpdatedAt = load, now
		}
	}
	if o.configVersion != m.configVersionInForce {
		m.configVersionInForce, m.configVersionSince = o.configVersion, now
	}
	m.view.SetSelf(status, load, o.configVersion, now)
}

// applyPayload merges what another member sent. The caller holds m.mu. took is the duration of
// the exchange; it is added to the ages in the payload and is an upper bound of the time the
// payload was in transit.
func (m *Members) applyPayload(n payload, took time.Duration, now time.Time) hookCalls {
	changed := false
	for _, w := range n.members {
		changed = m.view.Merge(factFromWire(w), now) || changed
	}
	changed = m.view.RecordHeartbeat(membership.Beat{ID: n.from, Beat: n.heartbeat, ConfigVersion: n.configVersion}, now) || changed
	for _, b := range livenessFromWire(n.liveness, n.configVersion) {
		changed = m.view.RecordHeartbeat(b, now) || changed
	}
	for _, w := range n.reports {
		changed = m.view.RecordReport(reportFromWire(w), now) || changed
	}
	m.changed = m.changed || changed
	if m.changed && now.Sub(m.publishedAt) >= minPublishInterval {
		m.publish(now)
	}
	for _, s := range n.suspects {
		s.AgeMs += ageMs(took)
	}
	h := hookCalls{pools: m.pools.mergeNewer(n.pools, took, now), suspects: n.suspects, version: n.configVersion}
	if address, ok := m.view.AddressOf(n.from); ok {
		h.peerAddress = address
	}
	return h
}

// Beat answers another member's heartbeat. The peer listener serves it.
func (m *Members) Beat(_ context.Context, r *peerpb.BeatRequest) (*peerpb.BeatReply, error) {
	o := m.localState()
	reply, h := m.handleHeartbeat(r, o, time.Now())
	m.runHooks(h)
	m.scope.Counter("beats_answered").Inc(1)
	m.countBytes(r, reply)
	return reply, nil
}

func (m *Members) handleHeartbeat(r *peerpb.BeatRequest, o localState, now time.Time) (*peerpb.BeatReply, hookCalls) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.noticePause(now)
	from := membership.IDOf(steering.VM(r.FromVm), steering.Incarnation(r.FromIncarnation))
	h := m.applyPayload(payload{from: from, heartbeat: r.Beat, configVersion: r.ConfigVersion, members: r.Members, liveness: r.Liveness,
		reports: r.Reports, pools: r.Pools, suspects: r.Suspects}, 0, now)
	zone, known := m.view.ZoneOf(from)
	n := m.composePayload(o, known && zone != m.self.Location.Zone, now)
	reply := &peerpb.BeatReply{From: uint32(n.from), Beat: n.heartbeat, ConfigVersion: n.configVersion, Members: n.members,
		Liveness: n.liveness, Reports: n.reports, Pools: n.pools, Suspects: n.suspects, ViewDigest: m.view.Digest()}
	if peerBuckets, ok := bucketsFromWire(r.Buckets); ok {
		reply.Members = factsToWire(m.view.Differing(peerBuckets, maxSyncedFacts))
		reply.Buckets = bucketsToWire(m.view.Buckets())
	}
	return reply, h
}

// request returns a heartbeat request. It takes m.mu.
func (m *Members) request(crossZone bool) *peerpb.BeatRequest {
	o := m.localState()
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	n := m.composePayload(o, crossZone, now)
	return &peerpb.BeatRequest{FromVm: string(m.self.VM), FromIncarnation: string(m.self.Incarnation), Beat: n.heartbeat,
		ConfigVersion: n.configVersion, Members: n.members, Liveness: n.liveness, Reports: n.reports, Pools: n.pools,
		Suspects: n.suspects, ViewDigest: m.view.Digest()}
}

// applyReply merges a reply and reports whether the two views still differ.
func (m *Members) applyReply(reply *peerpb.BeatReply, took time.Duration) (viewsDiffer bool) {
	now := time.Now()
	m.mu.Lock()
	m.noticePause(now)
	m.markSettled(now.Add(-took))
	h := m.applyPayload(payload{from: membership.ID(reply.From), heartbeat: reply.Beat, configVersion: reply.ConfigVersion, members: reply.Members,
		liveness: reply.Liveness, reports: reply.Reports, pools: reply.Pools, suspects: reply.Suspects}, took, now)
	viewsDiffer = reply.ViewDigest != m.view.Digest()
	m.mu.Unlock()
	m.runHooks(h)
	return viewsDiffer
}

// countBytes counts the encoded sizes of the messages of an exchange, without HTTP headers.
func (m *Members) countBytes(messages ...proto.Message) {
	for _, message := range messages {
		m.scope.Counter("beat_bytes").Inc(int64(proto.Size(message)))
	}
}
