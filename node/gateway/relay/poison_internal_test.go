package relay

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"heatherlock/steering"
	"heatherlock/steering/placement"
	"heatherlock/steering/poison"
)

const testHeartbeat = 500 * time.Millisecond

var (
	start = time.Date(2026, 6, 1, 12, 0, 0, 0, time.UTC)
	one   = placement.Target{Name: "t-1", Generation: 7}
	two   = placement.Target{Name: "t-2", Generation: 7}
)

// at returns a time ms milliseconds after start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func fingerprintsWith(content poison.ID) poison.Fingerprints {
	return poison.Fingerprints{Content: content, BodyComplete: true}
}

// breakExchange records that the exchange of a request that was sent to a target at sent broke.
func (s *poisonFilter) breakExchange(now, sent time.Time, m poison.Fingerprints, target placement.Target) {
	s.attemptEnded(now, m, poison.Verdict{}, target, sent, placement.Broken)
}

func (s *poisonFilter) refused(now time.Time, m poison.Fingerprints) bool {
	_, allowed := s.admit(now, m)
	return !allowed
}

// Guards against refusing a harmless read as poison. Two targets crash within seconds, and the
// proxies in front of them accept and break connections for 0.7 s, until a connection is refused;
// in that time the read is sent to each of them. Only requests in flight at the crash count: of 13
// requests that one entry VM counted against a target, the last had been sent 0.6 s after the first
// one broke.
func TestRequestsSentAfterTheCrashAreNotBlamed(t *testing.T) {
	s := newPoisonFilter(testHeartbeat, log.NewNopLogger())
	read, inFlight := fingerprintsWith(1), fingerprintsWith(2)
	for n, target := range []placement.Target{one, two} {
		began := n * 2000
		s.breakExchange(at(began+100), at(began), inFlight, target)
		s.breakExchange(at(began+200), at(began+150), read, target)
		s.attemptEnded(at(began+700), fingerprintsWith(3), poison.Verdict{}, target, time.Time{}, placement.Unreachable)
	}
	assert.Assert(t, !s.refused(at(4000), read))
	assert.Assert(t, s.refused(at(4000), inFlight), "it was in flight both times")
}

// A request that was in flight at the first break was in flight at the crash, even if it breaks
// later.
func TestRequestInFlightAtTheCrashIsBlamedWheneverItBreaks(t *testing.T) {
	s := newPoisonFilter(testHeartbeat, log.NewNopLogger())
	slow := fingerprintsWith(1)
	for n, target := range []placement.Target{one, two} {
		began := n * 2000
		s.breakExchange(at(began+100), at(began+50), fingerprintsWith(poison.ID(10+n)), target)
		s.breakExchange(at(began+400), at(began), slow, target)
		s.attemptEnded(at(began+500), fingerprintsWith(3), poison.Verdict{}, target, time.Time{}, placement.Unreachable)
	}
	assert.Assert(t, s.refused(at(4000), slow))
}

// resetLinks simulates two links that reset connections with a page request in flight, to targets
// that do not crash. It returns the time at which both targets have responded again.
func resetLinks(s *poisonFilter, page poison.Fingerprints) (respondedAt time.Time) {
	for n, target := range []placement.Target{one, two} {
		began := n * 1000
		s.breakExchange(at(began+100), at(began), page, target)
		s.attemptEnded(at(began+200), fingerprintsWith(3), poison.Verdict{}, target, time.Time{}, placement.Unreachable)
	}
	s.tick(at(1300), at(1000), generations(7))
	for _, target := range []placement.Target{one, two} {
		s.attemptEnded(at(2000), fingerprintsWith(4), poison.Verdict{}, target, at(1950), placement.Served)
	}
	return at(2000)
}

// generations returns a lookup in the store in which all targets have the generation g.
func generations(g steering.Generation) func(steering.Target) (steering.Generation, bool) {
	return func(steering.Target) (steering.Generation, bool) { return g, true }
}

// Guards against refusing a page for 15 minutes although both targets that it is said to have
// crashed respond: two links reset connections for a second. The losses are retracted as soon as a
// store read three heartbeats after the responses lists the same generation of both targets.
func TestRequestIsAllowedOnceItsTargetsProveNotCrashed(t *testing.T) {
	s := newPoisonFilter(testHeartbeat, log.NewNopLogger())
	page := fingerprintsWith(1)
	respondedAt := resetLinks(s, page)
	assert.Assert(t, s.refused(respondedAt, page))
	s.tick(at(4000), respondedAt.Add(maxMissedHeartbeats*testHeartbeat-time.Millisecond), generations(7))
	assert.Assert(t, s.refused(at(4000), page), "the targets may have restarted since")
	s.tick(at(4000), respondedAt.Add(maxMissedHeartbeats*testHeartbeat), generations(7))
	assert.Assert(t, !s.refused(at(4000), page))
}

// Targets that restarted under their names respond as well, which proves nothing.
func TestRestartedTargetsDoNotRetractLosses(t *testing.T) {
	s := newPoisonFilter(testHeartbeat, log.NewNopLogger())
	page := fingerprintsWith(1)
	respondedAt := resetLinks(s, page)
	s.tick(at(9000), respondedAt.Add(9*testHeartbeat), generations(8))
	assert.Assert(t, s.refused(at(9000), page))
	gone := func(steering.Target) (steering.Generation, bool) { return 0, false }
	s.tick(at(9500), respondedAt.Add(9*testHeartbeat), gone)
	assert.Assert(t, s.refused(at(9500), page))
}

// A request that crashes each target that runs it is not sent to a third one, even if the targets
// restart under their names and respond.
func TestHarmfulRequestIsRefusedAfterTheSecondTarget(t *testing.T) {
	s := newPoisonFilter(testHeartbeat, log.NewNopLogger())
	harm := fingerprintsWith(1)
	for n, target := range []placement.Target{one, two} {
		began := n * 1000
		s.attemptEnded(at(began), fingerprintsWith(9), poison.Verdict{}, target, at(began-100), placement.Served)
		v, allowed := s.admit(at(began), harm)
		assert.Assert(t, allowed)
		s.attemptEnded(at(began+100), harm, v, target, at(began), placement.Broken)
		s.attemptEnded(at(began+200), fingerprintsWith(3), poison.Verdict{}, target, time.Time{}, placement.Unreachable)
	}
	assert.Assert(t, s.refused(at(3000), harm))
	restarted := placement.Target{Name: one.Name, Generation: 8}
	s.restarted(at(4000), restarted.Name)
	s.attemptEnded(at(4500), fingerprintsWith(4), poison.Verdict{}, restarted, at(4400), placement.Served)
	s.tick(at(9000), at(9000), generations(8))
	assert.Assert(t, s.refused(at(9000), harm))
}
