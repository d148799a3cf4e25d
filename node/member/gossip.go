package member

import (
	"context"
	"sync"
	"time"

	"heatherlock/node/seam"
	"heatherlock/peer/peerpb"
	"heatherlock/steering/membership"
)

// Run exchanges heartbeats and reads the platform's list until ctx ends.
func (m *Members) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { m.readListLoop(ctx) })
	wg.Go(func() { m.runPeriodically(ctx, m.adaptiveInterval(m.config.CrossZoneInterval), m.exchangeCrossZone) })
	wg.Go(func() { m.runPeriodically(ctx, fixedInterval(m.config.ProbeInterval), m.probeRegion) })
	wg.Go(func() { m.runPeriodically(ctx, fixedInterval(expiryInterval), m.removeExpired) })
	m.runPeriodically(ctx, m.adaptiveInterval(m.config.HeartbeatInterval), m.tick)
	return ctx.Err()
}

const (
	// jitterPercent is how much a loop's interval varies in either direction.
	jitterPercent = 10
	jitterChoices = 2*jitterPercent + 1
)

const (
	// After a change of configuration, members exchange fastExchangeFactor times as often for
	// fastExchangeDuration, because operators wait for the change to be in force.
	fastExchangeDuration = 3 * time.Second
	fastExchangeFactor   = 3
)

// adaptiveInterval returns a loop's interval, which is shorter after a change of configuration.
func (m *Members) adaptiveInterval(d time.Duration) func() time.Duration {
	return func() time.Duration {
		configVersionInForce := m.config.Hooks.ConfigVersion()
		m.mu.Lock()
		defer m.mu.Unlock()
		if configVersionInForce != m.configVersionInForce || time.Since(m.configVersionSince) < fastExchangeDuration {
			return d / fastExchangeFactor
		}
		return d
	}
}

func fixedInterval(d time.Duration) func() time.Duration { return func() time.Duration { return d } }

// runPeriodically calls f until ctx ends. It adds jitter to each interval so that members do not
// synchronize.
func (m *Members) runPeriodically(ctx context.Context, interval func() time.Duration, f func(context.Context)) {
	for {
		d := interval()
		jitter := d * time.Duration(m.config.Random(jitterChoices)-jitterPercent) / 100
		select {
		case <-ctx.Done():
			return
		case <-time.After(d + jitter):
			f(ctx)
		}
	}
}

// tick advances the heartbeat number and exchanges with a member of the own zone.
func (m *Members) tick(ctx context.Context) {
	if p, ok := m.nextTick(time.Now()); ok {
		m.startExchange(ctx, p)
	}
}

func (m *Members) nextTick(now time.Time) (partner, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.noticePause(now)
	m.lastTick = now
	m.heartbeat++
	if m.changed || now.Sub(m.publishedAt) >= maxPublishInterval {
		m.publish(now)
	}
	return m.inZonePartner(now)
}

// exchangeCrossZone exchanges with a member of another zone if this member is a reporter of its
// zone. A member that is alone in its zone always is.
func (m *Members) exchangeCrossZone(ctx context.Context) {
	m.mu.Lock()
	now := time.Now()
	p, ok := partner{}, false
	if m.isReporter(now) {
		p, ok = m.crossZonePartner(reporterRole, func(x membership.Member) string { return string(x.Location.Zone) }, now)
	}
	m.mu.Unlock()
	if ok {
		m.startExchange(ctx, p)
	}
}

// probeRegion measures the round trip to another region.
func (m *Members) probeRegion(ctx context.Context) {
	m.mu.Lock()
	p, ok := m.crossZonePartner("probe\x00"+string(m.self.VM), m.otherRegion, time.Now())
	m.mu.Unlock()
	if ok {
		m.startExchange(ctx, p)
	}
}

func (m *Members) removeExpired(context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view.RemoveExpired(time.Now())
}

// startExchange exchanges with a partner in the background. It skips the exchange if maxExchanges
// are in flight.
func (m *Members) startExchange(ctx context.Context, p partner) {
	select {
	case m.exchangeSlots <- struct{}{}:
	default:
		m.scope.Counter("beats_skipped").Inc(1)
		return
	}
	go func() {
		defer func() { <-m.exchangeSlots }()
		m.exchange(ctx, p)
	}()
}

// exchange sends a heartbeat, merges the reply, and synchronizes facts if the views differ.
func (m *Members) exchange(ctx context.Context, p partner) {
	viewsDiffer, ok := m.callPartner(ctx, p, m.request(p.crossZone))
	if ok && viewsDiffer && m.syncAllowed(time.Now()) {
		m.sync(ctx, p)
	}
}

// callPartner makes one call and records its outcome. It reports whether the views differ and
// whether the call succeeded.
func (m *Members) callPartner(ctx context.Context, p partner, request *peerpb.BeatRequest) (viewsDiffer, ok bool) {
	reply, took, ok := m.send(ctx, p, request)
	if !ok {
		return false, false
	}
	return m.applyReply(reply, took), true
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
	// If another incarnation answers at the address, the expected one no longer runs there.
	ok := err == nil && (p.id == anyIncarnation || membership.ID(reply.From) == p.id)
	m.recordCall(p, ok, took)
	if err != nil {
		return nil, 0, false
	}
	m.countBytes(request, reply)
	return reply, took, true
}

// recordCall records the outcome of a call as evidence, and the round trip it took.
func (m *Members) recordCall(p partner, ok bool, took time.Duration) {
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
	if ok && p.crossZone && p.region != m.self.Location.Region {
		m.roundTrips[p.region] = smoothRoundTrip(m.roundTrips[p.region], took)
	}
}

// smoothRoundTrip follows lower samples at once and higher ones slowly: a new connection or a
// busy peer makes a round trip longer, but nothing makes it shorter.
func smoothRoundTrip(old, sample time.Duration) time.Duration {
	const increaseDivisor = 8
	if old == 0 || sample < old {
		return sample
	}
	return old + (sample-old)/increaseDivisor
}

// syncAllowed limits how often this member synchronizes complete facts.
func (m *Members) syncAllowed(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(m.lastSync) < syncInterval {
		return false
	}
	m.lastSync = now
	return true
}

// sync fetches the facts of the buckets that differ, then sends this member's facts of the
// buckets that still differ.
func (m *Members) sync(ctx context.Context, p partner) {
	request := m.request(p.crossZone)
	m.mu.Lock()
	request.Buckets = bucketsToWire(m.view.Buckets())
	m.mu.Unlock()
	reply, took, ok := m.send(ctx, p, request)
	if !ok {
		return
	}
	m.scope.Counter("syncs").Inc(1)
	m.applyReply(reply, took)
	peerBuckets, ok := bucketsFromWire(reply.Buckets)
	if !ok {
		return
	}
	m.mu.Lock()
	missing := m.view.Differing(peerBuckets, maxSyncedFacts)
	m.mu.Unlock()
	if len(missing) == 0 {
		return
	}
	request = m.request(p.crossZone)
	request.Members = append(request.Members, factsToWire(missing)...)
	m.callPartner(ctx, p, request)
}

// Leave marks this entry VM as leaving and sends that to a few members at once.
func (m *Members) Leave() {
	now := time.Now()
	m.mu.Lock()
	m.leaving = true
	m.refreshSelf(localState{configVersion: m.config.Hooks.ConfigVersion(), inFlight: m.config.Hooks.InFlight()}, now)
	m.publish(now)
	var partners []partner
	for range leaveFanout {
		if p, ok := m.inZonePartner(now); ok {
			partners = append(partners, p)
		}
	}
	m.mu.Unlock()
	for _, p := range partners {
		m.startExchange(context.Background(), p)
	}
}

// leaveFanout is the number of exchanges that Leave starts at once.
const leaveFanout = 3
