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

// Members is this entry VM's view of the others. It implements seam.Members.
type Members struct {
	config   Config
	self     membership.Fact
	scope    tally.Scope
	logger   log.Logger
	inFlight chan struct{} // bounds exchanges

	// published is the view that readers use; it is replaced whole.
	published atomic.Pointer[published]
	listed    atomic.Bool // the platform's list was read

	mu       sync.Mutex
	view     *membership.View
	beat     uint32
	leaving  bool
	lastTick time.Time
	// settled is false from a pause until a peer or the platform has answered.
	settled  bool
	pausedAt time.Time // when the last pause was noticed
	lastSync time.Time
	lastLoad time.Time
	selfLoad membership.Load
	// version is the configuration in force here, since versionAt.
	version   int64
	versionAt time.Time
	turn      int // rotates through the reports to relay
	pools     *poolTable
	distance  map[steering.Region]time.Duration
	// changed says that facts changed since publishedAt.
	changed     bool
	publishedAt time.Time
	order       []steering.VM // members of the zone still to be called this round
}

var _ seam.Members = (*Members)(nil)

// New returns a view that knows this entry VM only. Nothing is called before Run.
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
		inFlight: make(chan struct{}, maxExchanges),
		view:     membership.NewView(self, c.Params, now), settled: true, lastTick: now,
		pools: newPoolTable(), distance: map[steering.Region]time.Duration{},
	}
	m.publish(now)
	return m
}

// published is one state of the view as readers see it; it never changes.
type published struct {
	self          seam.Member
	all           []seam.Member
	usable        map[steering.Zone][]seam.Member
	byVM          map[steering.VM]*publishedMember
	byIncarnation map[steering.Incarnation]seam.Member
	zones         []membership.ZoneStatus
	zoneKnown     bool // see ZoneDiscovered
}

type publishedMember struct {
	seam.Member
	// noted is when RecordReachability last recorded success, so that the data
	// path takes the lock once a second per member at most.
	noted atomic.Int64
}

// evidenceEvery is how often success with a live member is recorded.
const evidenceEvery = time.Second

// Self implements seam.Members.
func (m *Members) Self() seam.Member { return m.published.Load().self }

// All implements seam.Members.
func (m *Members) All() []seam.Member { return m.published.Load().all }

// InZone implements seam.Members: the live members, or the suspect ones where
// none is live. When all of a zone look dead the signal is more likely wrong
// than the zone, and trying costs a refused round trip.
func (m *Members) InZone(zone steering.Zone) []seam.Member { return m.published.Load().usable[zone] }

// ByIncarnation implements seam.Members.
func (m *Members) ByIncarnation(incarnation steering.Incarnation) (seam.Member, bool) {
	member, ok := m.published.Load().byIncarnation[incarnation]
	return member, ok
}

// Zones returns what is known of each zone, in order of name.
func (m *Members) Zones() []membership.ZoneStatus { return m.published.Load().zones }

// RecordReachability implements seam.Members.
func (m *Members) RecordReachability(vm steering.VM, reachable bool) {
	now := time.Now()
	known, ok := m.published.Load().byVM[vm]
	if !ok {
		return
	}
	if reachable && known.State == seam.MemberLive && now.UnixNano()-known.noted.Load() < int64(evidenceEvery) {
		return
	}
	known.noted.Store(now.UnixNano())
	m.mu.Lock()
	defer m.mu.Unlock()
	m.noticePause(now)
	m.view.RecordCall(vm, reachable, now)
	if !reachable {
		m.scope.Counter("evidence_unreachable").Inc(1)
	}
	m.publish(now)
}

// ConfirmedSincePause tells whether what this process knows is from after its
// last pause: a peer or the platform has answered since. Whoever holds something
// that others may have taken over must wait for it, and then look at Self.
func (m *Members) ConfirmedSincePause() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.noticePause(time.Now())
	return m.settled && !m.view.Replaced()
}

// Distance returns the round trip measured to a region, or 0 when none was.
func (m *Members) Distance(region steering.Region) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.distance[region]
}

// noticePause compares the time with the last tick; m.mu is held.
//
// What can go wrong: a paused process wakes up, still believes what it
// believed, and acts on it, although others have moved on. One would notice
// two owners of one thing. Every entry into the view looks for a missing tick
// first; the clocks are compared with and without the monotonic reading,
// because a suspended VM may stop the latter.
func (m *Members) noticePause(now time.Time) {
	gap := max(now.Sub(m.lastTick), now.Round(0).Sub(m.lastTick.Round(0)))
	if gap <= m.config.BeatEvery+pauseAfter {
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

// settle records that an answer arrived to a call begun at a time. An answer to
// a call from before a pause may itself be from before it, and settles nothing.
func (m *Members) settle(begun time.Time) {
	if !begun.Before(m.pausedAt) {
		m.settled = true
	}
}

// publish replaces what readers see; m.mu is held.
func (m *Members) publish(now time.Time) {
	m.changed, m.publishedAt = false, now
	p := &published{
		usable:        map[steering.Zone][]seam.Member{},
		byVM:          map[steering.VM]*publishedMember{},
		byIncarnation: map[steering.Incarnation]seam.Member{},
		zones:         m.view.Zones(now),
	}
	suspects := map[steering.Zone][]seam.Member{}
	p.zoneKnown = m.listed.Load()
	for _, fact := range m.view.Members(now) {
		p.zoneKnown = p.zoneKnown && !m.untried(fact)
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

// logChanges writes a line per member of the zone whose state changed, and one
// per zone that fell silent or came back.
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
