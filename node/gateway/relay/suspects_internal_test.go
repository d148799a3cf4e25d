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

const testBeat = 500 * time.Millisecond

var (
	start = time.Date(2026, 6, 1, 12, 0, 0, 0, time.UTC)
	one   = placement.Target{Name: "t-1", Generation: 7}
	two   = placement.Target{Name: "t-2", Generation: 7}
)

// at returns a time so many milliseconds after the start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func markOfPage(content poison.ID) poison.Mark { return poison.Mark{Content: content, Whole: true} }

// broke notes that a target broke off a request that it was given at sent.
func (s *suspects) broke(now, sent time.Time, m poison.Mark, target placement.Target) {
	s.ended(now, m, poison.Verdict{}, target, sent, placement.Broken)
}

func (s *suspects) refused(now time.Time, m poison.Mark) bool {
	_, allowed := s.enter(now, m)
	return !allowed
}

// Symptom: a read is refused as harmful seconds after the last fault. Sequence: two
// targets die within seconds; the proxies in front of them take connections and break
// them; for 0.7 s, until a connection is refused, requests go to each of them one after
// the other, among them the read. Cause: all that broke off counted as in the target's
// hands when it died. Evidence: of 13 requests that one entry VM held against a target
// the last had been sent 0.6 s after the first broke off.
func TestRequestsSentAfterTheFirstBreakAreNotAccused(t *testing.T) {
	s := newSuspects(testBeat, log.NewNopLogger())
	read, inHand := markOfPage(1), markOfPage(2)
	for n, target := range []placement.Target{one, two} {
		began := n * 2000
		s.broke(at(began+100), at(began), inHand, target)
		s.broke(at(began+200), at(began+150), read, target)
		s.ended(at(began+700), markOfPage(3), poison.Verdict{}, target, time.Time{}, placement.Unreachable)
	}
	assert.Assert(t, !s.refused(at(4000), read))
	assert.Assert(t, s.refused(at(4000), inHand), "it was in hand both times")
}

// What a target had in hand at the first break and broke off later was in its hands when
// it died.
func TestRequestInHandAtTheFirstBreakIsAccusedWheneverItBreaks(t *testing.T) {
	s := newSuspects(testBeat, log.NewNopLogger())
	slow := markOfPage(1)
	for n, target := range []placement.Target{one, two} {
		began := n * 2000
		s.broke(at(began+100), at(began+50), markOfPage(poison.ID(10+n)), target)
		s.broke(at(began+400), at(began), slow, target)
		s.ended(at(began+500), markOfPage(3), poison.Verdict{}, target, time.Time{}, placement.Unreachable)
	}
	assert.Assert(t, s.refused(at(4000), slow))
}

// links plays two links that reset connections with a page in hand, for targets that live
// on, and returns when both targets have answered again.
func links(s *suspects, page poison.Mark) (answered time.Time) {
	for n, target := range []placement.Target{one, two} {
		began := n * 1000
		s.broke(at(began+100), at(began), page, target)
		s.ended(at(began+200), markOfPage(3), poison.Verdict{}, target, time.Time{}, placement.Unreachable)
	}
	s.tick(at(1300), at(1000), known(7))
	for _, target := range []placement.Target{one, two} {
		s.ended(at(2000), markOfPage(4), poison.Verdict{}, target, at(1950), placement.Served)
	}
	return at(2000)
}

// known returns targets as the store knows them, all of one generation.
func known(g steering.Generation) func(steering.Target) (steering.Generation, bool) {
	return func(steering.Target) (steering.Generation, bool) { return g, true }
}

// Symptom: a page is refused for a quarter of an hour though both targets that it is said
// to have taken down answer. Sequence: two links reset connections for a second. Cause:
// losses were never corrected. They are as soon as a read of the store, three heartbeats
// after the answers, still knows the same start of both targets.
func TestPageIsBackOnceItsTargetsProveToHaveLivedOn(t *testing.T) {
	s := newSuspects(testBeat, log.NewNopLogger())
	page := markOfPage(1)
	answered := links(s, page)
	assert.Assert(t, s.refused(answered, page))
	s.tick(at(4000), answered.Add(missedBeats*testBeat-time.Millisecond), known(7))
	assert.Assert(t, s.refused(at(4000), page), "the targets may have started again since")
	s.tick(at(4000), answered.Add(missedBeats*testBeat), known(7))
	assert.Assert(t, !s.refused(at(4000), page))
}

// Targets that have started again under their names answer as well, and prove nothing.
func TestTargetsThatStartedAgainProveNothing(t *testing.T) {
	s := newSuspects(testBeat, log.NewNopLogger())
	page := markOfPage(1)
	answered := links(s, page)
	s.tick(at(9000), answered.Add(9*testBeat), known(8))
	assert.Assert(t, s.refused(at(9000), page))
	gone := func(steering.Target) (steering.Generation, bool) { return 0, false }
	s.tick(at(9500), answered.Add(9*testBeat), gone)
	assert.Assert(t, s.refused(at(9500), page))
}

// A request that crashes each target that runs it takes no third one, also where the
// targets start again under their names and answer.
func TestHarmfulRequestIsRefusedAfterTheSecondTarget(t *testing.T) {
	s := newSuspects(testBeat, log.NewNopLogger())
	harm := markOfPage(1)
	for n, target := range []placement.Target{one, two} {
		began := n * 1000
		s.ended(at(began), markOfPage(9), poison.Verdict{}, target, at(began-100), placement.Served)
		v, allowed := s.enter(at(began), harm)
		assert.Assert(t, allowed)
		s.ended(at(began+100), harm, v, target, at(began), placement.Broken)
		s.ended(at(began+200), markOfPage(3), poison.Verdict{}, target, time.Time{}, placement.Unreachable)
	}
	assert.Assert(t, s.refused(at(3000), harm))
	restarted := placement.Target{Name: one.Name, Generation: 8}
	s.restarted(at(4000), restarted.Name)
	s.ended(at(4500), markOfPage(4), poison.Verdict{}, restarted, at(4400), placement.Served)
	s.tick(at(9000), at(9000), known(8))
	assert.Assert(t, s.refused(at(9000), harm))
}
