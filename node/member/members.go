package member

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/uber-go/tally/v4"

	"heatherlock/node/seam"
	"heatherlock/steering"
	"heatherlock/steering/membership"
)

// Members is this entry VM's view of the other entry VMs. It implements seam.Members.
type Members struct {
	config        Config
	self          membership.Fact
	scope         tally.Scope
	logger        log.Logger
	exchangeSlots chan struct{} // limits concurrent exchanges

	// published is the view that readers use. It is replaced as a whole.
	published atomic.Pointer[published]
	listRead  atomic.Bool // set once the platform's list was read

	mu        sync.Mutex
	view      *membership.View
	heartbeat uint32
	leaving   bool
	lastTick  time.Time
	// settled is false from a pause until a peer or the platform has answered.
	settled       bool
	pausedAt      time.Time // when the last pause was detected
	lastSync      time.Time
	loadUpdatedAt time.Time
	selfLoad      membership.Load
	// configVersionInForce is the configuration version in force here, since configVersionSince.
	configVersionInForce int64
	configVersionSince   time.Time
	relayRound           int // selects the reports to relay in turn
	pools                *poolTable
	roundTrips           map[steering.Region]time.Duration
	// changed is set if facts changed since publishedAt.
	changed        bool
	publishedAt    time.Time
	roundRemaining []steering.VM // members of the zone still to be called in this round
}

var _ seam.Members = (*Members)(nil)

// New returns a view that contains only this entry VM. No calls are made before Run.
func New(c Config) *Members {
	c = c.withDefaults()
	now := time.Now()
	self := membership.Fact{
		VM:             c.Self.VM,
		IncarnationKey: membership.IncarnationKey{Started: c.Started.UnixNano(), Incarnation: c.Self.Incarnation},
		Location: membership.Location{Zone: c.Self.Zone, Region: c.Self.Region, CallerAddress: c.Self.CallerAddress,
			PeerAddress: c.Self.PeerAddress, OperatorAddress: c.Self.OperatorAddress},
	}
	m := &Members{
		config: c, self: self, scope: c.Scope.SubScope("member"), logger: log.With(c.Logger, "part", "member"),
		exchangeSlots: make(chan struct{}, maxExchanges),
		view:          membership.NewView(self, c.Params, now), settled: true, lastTick: now,
		pools: newPoolTable(), roundTrips: map[steering.Region]time.Duration{},
	}
	m.publish(now)
	return m
}

// published is an immutable copy of the view for readers.
type published struct {
	self          seam.Member
	all           []seam.Member
	usable        map[steering.Zone][]seam.Member
	byVM          map[steering.VM]*publishedMember
	byIncarnation map[steering.Incarnation]seam.Member
	zones         []membership.ZoneStatus
	zoneKnown     bool // see Members.ZoneDiscovered
}

type publishedMember struct {
	seam.Member
	// successRecordedAt is when RecordReachability last recorded a success in Unix nanoseconds.
	// It lets the data path take the lock at most once a second per member.
	successRecordedAt atomic.Int64
}

// evidenceInterval limits how often successful calls to a live member are recorded.
const evidenceInterval = time.Second

// Self implements seam.Members.
func (m *Members) Self() seam.Member { return m.published.Load().self }

// All implements seam.Members.
func (m *Members) All() []seam.Member { return m.published.Load().all }

// InZone implements seam.Members. It returns the live members, or the suspect ones if none is
// live: if all members of a zone appear to have failed, the signal is more likely wrong than the
// zone, and an attempt costs only a refused round trip.
func (m *Members) InZone(zone steering.Zone) []seam.Member { return m.published.Load().usable[zone] }

// ByIncarnation implements seam.Members.
func (m *Members) ByIncarnation(incarnation steering.Incarnation) (seam.Member, bool) {
	member, ok := m.published.Load().byIncarnation[incarnation]
	return member, ok
}

// Zones returns the status of each zone, ordered by name.
func (m *Members) Zones() []membership.ZoneStatus { return m.published.Load().zones }

// RecordReachability implements seam.Members.
func (m *Members) RecordReachability(vm steering.VM, reachable bool) {
	now := time.Now()
	known, ok := m.published.Load().byVM[vm]
	if !ok {
		return
	}
	if reachable && known.State == seam.MemberLive && now.UnixNano()-known.successRecordedAt.Load() < int64(evidenceInterval) {
		return
	}
	known.successRecordedAt.Store(now.UnixNano())
	m.mu.Lock()
	defer m.mu.Unlock()
	m.noticePause(now)
	m.view.RecordCall(vm, reachable, now)
	if !reachable {
		m.scope.Counter("evidence_unreachable").Inc(1)
	}
	m.publish(now)
}

// ConfirmedSincePause reports whether the state of this process is newer than its last pause: a
// peer or the platform has answered since, and this incarnation was not replaced. A holder of
// anything that others may have taken over must wait until ConfirmedSincePause returns true
// and then check Self.
func (m *Members) ConfirmedSincePause() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.noticePause(time.Now())
	return m.settled && !m.view.Replaced()
}

// RoundTrip returns the round trip measured to a region, or 0 if there is none.
func (m *Members) RoundTrip(region steering.Region) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roundTrips[region]
}

// noticePause detects a pause of this process by a late tick. The caller holds m.mu.
//
// After a pause the process would act on outdated state although other members have taken over
// its work, and two owners would use the same resource. Every method that records received
// information in the view, and ConfirmedSincePause, therefore checks for a late tick first. The gap
// is computed with and without the monotonic clock, because a suspended VM may stop that clock.
func (m *Members) noticePause(now time.Time) {
	gap := max(now.Sub(m.lastTick), now.Round(0).Sub(m.lastTick.Round(0)))
	if gap <= m.config.HeartbeatInterval+pauseThreshold {
		return
	}
	m.lastTick = now
	m.settled = false
	m.pausedAt = now
	m.view.CompensatePause(gap, now)
	m.scope.Counter("pauses").Inc(1)
	level.Warn(m.logger).Log("event", "pause", "for", gap, "remedy", "check the load and the scheduling of this VM")
	go m.config.Hooks.OnPause(gap)
}

// markSettled records that a call started at startedAt was answered. The answer to a call from
// before the last pause may itself predate the pause, so it does not settle the view.
func (m *Members) markSettled(startedAt time.Time) {
	if !startedAt.Before(m.pausedAt) {
		m.settled = true
	}
}

// publish replaces the view that readers use. The caller holds m.mu.
func (m *Members) publish(now time.Time) {
	m.changed, m.publishedAt = false, now
	p := &published{
		usable:        map[steering.Zone][]seam.Member{},
		byVM:          map[steering.VM]*publishedMember{},
		byIncarnation: map[steering.Incarnation]seam.Member{},
		zones:         m.view.Zones(now),
	}
	suspects := map[steering.Zone][]seam.Member{}
	p.zoneKnown = m.listRead.Load()
	for _, fact := range m.view.Members(now) {
		p.zoneKnown = p.zoneKnown && !m.onlyListed(fact)
		member := toSeam(fact)
		p.add(member)
		if member.State == seam.MemberSuspect {
			suspects[member.Zone] = append(suspects[member.Zone], member)
		}
	}
	for zone, members := range suspects {
		if len(p.usable[zone]) == 0 {
			p.usable[zone] = members
		}
	}
	p.self = p.byVM[m.self.VM].Member
	old := m.published.Swap(p)
	m.logChanges(old, p)
}

func (p *published) add(member seam.Member) {
	p.all = append(p.all, member)
	p.byVM[member.VM] = &publishedMember{Member: member}
	if member.Incarnation != "" {
		p.byIncarnation[member.Incarnation] = member
	}
	if member.State == seam.MemberLive {
		p.usable[member.Zone] = append(p.usable[member.Zone], member)
	}
}

// logChanges logs each member of the own zone whose state changed, and each zone that stopped
// reporting or reports again.
func (m *Members) logChanges(old, now *published) {
	if old == nil {
		return
	}
	for _, member := range now.all {
		before, known := old.byVM[member.VM]
		if member.Zone == m.self.Location.Zone && known && before.State != member.State {
			level.Info(m.logger).Log("event", "member", "vm", member.VM, "state", stateNames[member.State])
			m.scope.Tagged(map[string]string{"state": stateNames[member.State]}).Counter("state_changes").Inc(1)
		}
	}
	silent := map[steering.Zone]bool{}
	for _, z := range old.zones {
		silent[z.Zone] = z.Silent
	}
	for _, z := range now.zones {
		if was, known := silent[z.Zone]; known && was != z.Silent {
			level.Info(m.logger).Log("event", "zone", "zone", z.Zone, "silent", z.Silent)
		}
	}
}
