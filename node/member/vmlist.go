package member

import (
	"context"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"heatherlock/objects"
	"heatherlock/steering/membership"
)

// firstReadSpread is the period over which the members of a fleet that starts together spread
// their first reads.
const firstReadSpread = 2 * time.Second

// readListLoop reads the platform's list of VMs once at the start, and later at a low rate while
// this member is the list reader of its zone. Heartbeats carry the result to the other members.
func (m *Members) readListLoop(ctx context.Context) {
	if m.config.Platform == nil {
		return
	}
	wait := time.Duration(m.config.Random(int(firstReadSpread)))
	backoff := objects.NewBackoff(m.config.ListInterval, maxListBackoff, m.randomFraction)
	first := true
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		wait = m.config.ListInterval/2 + time.Duration(m.config.Random(int(m.config.ListInterval)))
		if !first && !m.isListReader(time.Now()) {
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

// ZoneDiscovered reports whether the published view includes the platform's list and every listed
// entry VM of this zone either sent a heartbeat or was called without success. A member that is
// only listed counts as suspect; before ZoneDiscovered returns true, this entry VM would therefore
// claim the pools that such a member owns.
func (m *Members) ZoneDiscovered() bool { return m.published.Load().zoneKnown }

// onlyListed reports whether a member of the own zone is known from the list alone and was not
// called yet.
func (m *Members) onlyListed(other membership.Member) bool {
	return other.Location.Zone == m.self.Location.Zone && other.VM != m.self.VM &&
		!other.Known() && other.Failures == 0 && other.State != membership.StateGone
}

// maxListBackoff bounds the delay after failed reads of the list.
const maxListBackoff = time.Minute

// randomFraction returns a number in [0,1) from Config.Random, as objects.NewBackoff expects it.
func (m *Members) randomFraction() float64 {
	const steps = 1 << 20
	return float64(m.config.Random(steps)) / steps
}

func (m *Members) isListReader(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Contains(m.roleHolders("list", 1, now), m.self.VM)
}

func (m *Members) readList(ctx context.Context) error {
	startedAt := time.Now()
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
	m.markSettled(startedAt)
	m.scope.Counter("list_read").Inc(1)
	m.listRead.Store(true)
	if m.view.Platform(toListed(vms), now) {
		m.publish(now)
	}
	return nil
}
