package member

import (
	"context"
	"sync"
	"time"

	"heatherlock/node/seam"
	"heatherlock/peer/peerpb"
	"heatherlock/steering/membership"
)

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

// talkFar exchanges with a member of another zone if this member reports for
// its zone, or is alone in it.
func (m *Members) talkFar(ctx context.Context) {
	m.mu.Lock()
	now := time.Now()
	p, ok := partner{}, false
	if m.reports(now) {
		p, ok = m.farPartner(reportDuty, func(x membership.Member) string { return string(x.Location.Zone) }, now)
	}
	m.mu.Unlock()
	if ok {
		m.start(ctx, p)
	}
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

func (m *Members) forget(context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view.RemoveExpired(time.Now())
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
	m.view.RecordCall(p.vm, ok, now)
	if known := m.published.Load().byVM[p.vm]; !ok || known == nil || known.State != seam.MemberLive {
		m.publish(now)
	}
	if ok && p.far && p.region != m.self.Location.Region {
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
