package member

import (
	"context"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"heatherlock/objects"
	"heatherlock/steering/membership"
)

// firstListWithin spreads the first reads of a fleet that starts together.
const firstListWithin = 2 * time.Second

// readLists reads the platform's list of VMs once at the start and then, only
// while this member has the duty for its zone, at a low rate. What it finds
// reaches the others in beats.
func (m *Members) readLists(ctx context.Context) {
	if m.config.Platform == nil {
		return
	}
	wait := time.Duration(m.config.Random(int(firstListWithin)))
	backoff := objects.NewBackoff(m.config.ListEvery, listBackoffMax, m.random)
	first := true
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		wait = m.config.ListEvery/2 + time.Duration(m.config.Random(int(m.config.ListEvery)))
		if !first && !m.hasListDuty(time.Now()) {
			continue
		}
		if err := m.readList(ctx); err != nil {
			wait = backoff.Next()
			continue
		}
		first = false
		backoff.Reset()
	}
}

// ZoneDiscovered reports whether the published view holds the platform's list,
// and each entry VM that it names in this zone was heard from or called in
// vain. One that is only listed counts as suspect, and this entry VM would take
// its pools for its own.
func (m *Members) ZoneDiscovered() bool { return m.published.Load().zoneKnown }

// untried tells whether a member of the zone is only listed so far.
func (m *Members) untried(mate membership.Member) bool {
	return mate.Location.Zone == m.self.Location.Zone && mate.VM != m.self.VM &&
		!mate.Known() && mate.Failures == 0 && mate.State != membership.StateGone
}

// listBackoffMax bounds the pause after failed reads of the list.
const listBackoffMax = time.Minute

// random adapts Config.Random for a backoff.
func (m *Members) random() float64 {
	const steps = 1 << 20
	return float64(m.config.Random(steps)) / steps
}

func (m *Members) hasListDuty(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Contains(m.duty("list", 1, now), m.self.VM)
}

func (m *Members) readList(ctx context.Context) error {
	begun := time.Now()
	vms, err := m.config.Platform.VMs(ctx)
	if err != nil {
		m.scope.Counter("list_failed").Inc(1)
		level.Debug(m.logger).Log("event", "list", "err", err)
		return err
	}
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.noticePause(now)
	m.settle(begun)
	m.scope.Counter("list_read").Inc(1)
	m.listed.Store(true)
	if m.view.Platform(listedFrom(vms), now) {
		m.publish(now)
	}
	return nil
}
