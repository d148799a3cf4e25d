package placement_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/steering"
	"heatherlock/steering/placement"
)

// newNoticeBalancer returns a balancer with n targets of one service in the region of the VM.
func newNoticeBalancer(n int) (*placement.Balancer, []placement.Target) {
	b := placement.NewBalancer("vm", "centro")
	var all []placement.Target
	for i := range n {
		all = append(all, placement.Target{Name: steering.Target(fmt.Sprint("t", i)), Generation: 7, Service: "svc", Address: fmt.Sprint("10.0.0.", i, ":1"), Zone: "a", Region: "centro", Slots: 4})
	}
	b.SetTargets(all)
	return b, all
}

// picked counts the picks of n requests with different keys by target, and the refusals.
func picked(b *placement.Balancer, now time.Time, n int) (picks map[steering.Target]int, refused []*placement.Refusal) {
	picks = make(map[steering.Target]int)
	for i := range n {
		p, refusal := b.Choose(now, placement.Request{Service: "svc", Key: fmt.Sprint("k", i), Region: "centro", Aim: 300 * time.Millisecond})
		if refusal != nil {
			refused = append(refused, refusal)
			continue
		}
		picks[p.Target.Name]++
	}
	return picks, refused
}

func limitOf(rate float64) placement.Notice {
	return placement.Notice{Limited: true, Limit: rate, Complete: true}
}

// Guards against requests that a VM sends to a target although the VMs use its limit up.
func TestTargetWithoutCreditsIsPassedOver(t *testing.T) {
	b, all := newNoticeBalancer(4)
	now := time.Unix(1000, 0)
	assert.Assert(t, b.Heard(now, all[0], limitOf(2)).Limit)
	assert.Assert(t, !b.Heard(now, all[0], limitOf(2)).Limit)
	b.LimitReached(now, all[0], 500*time.Millisecond)
	picks, refused := picked(b, now, 200)
	assert.Equal(t, picks["t0"], 0)
	assert.Equal(t, len(refused), 0)
	picks, _ = picked(b, now.Add(time.Second), 200)
	assert.Assert(t, picks["t0"] > 20, "%v", picks)
}

// Guards against a last resort that ignores the limits when all targets have used theirs up, and
// against a Retry-After that brings callers back before any target takes a request.
func TestRequestsAreRefusedWhileAllLimitsAreUsedUp(t *testing.T) {
	b, all := newNoticeBalancer(3)
	now := time.Unix(1000, 0)
	for _, target := range all {
		b.Heard(now, target, limitOf(2))
		b.LimitReached(now, target, 800*time.Millisecond)
	}
	picks, refused := picked(b, now, 100)
	assert.Equal(t, len(picks), 0)
	for _, r := range refused {
		assert.Equal(t, r.Reason, steering.ReasonNoSlot)
		assert.Assert(t, r.RetryAfter >= 600*time.Millisecond && r.RetryAfter <= time.Second, "%v", r.RetryAfter)
	}
}

// Guards against an older response, an entry that is removed and listed again, or a response without
// a run that make a VM forget a limit.
func TestLimitIsKeptUntilTheTargetEndsIt(t *testing.T) {
	b, all := newNoticeBalancer(3)
	now := time.Unix(1000, 0)
	b.Heard(now, all[0], limitOf(2))
	assert.Assert(t, !b.ApplyLimit(now, all[0], placement.NamedLimit{HeardAt: now.Add(-time.Second)}))
	assert.Assert(t, !b.Heard(now, all[0], placement.Notice{}).Limit)
	b.SetTargets(all[1:])
	assert.Equal(t, b.LimitedCount(), 0)
	b.SetTargets(all)
	assert.Equal(t, b.LimitedCount(), 1)
	limited := func(b *placement.Balancer, now time.Time) bool {
		for i := range 400 {
			p, _ := b.Choose(now, placement.Request{Service: "svc", Key: fmt.Sprint("k", i), Region: "centro"})
			if p.Target.Name == "t0" {
				return p.Limit != nil
			}
		}
		t.Fatal("t0 was not picked")
		return false
	}
	assert.Assert(t, limited(b, now))
	restarted := all[0]
	restarted.Generation++
	b.UpdateTargets([]placement.Target{restarted}, nil)
	assert.Equal(t, b.LimitedCount(), 0, "another start of the target")
}

// Guards against a target that gets its whole share of the keys in the moment in which it ends its
// limit, and is in need again.
func TestKeysReturnGraduallyAfterALimit(t *testing.T) {
	b, all := newNoticeBalancer(4)
	now := time.Unix(1000, 0)
	b.Heard(now, all[0], limitOf(2))
	b.Heard(now, all[0], placement.Notice{Complete: true})
	last := 0
	for _, after := range []time.Duration{time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second} {
		picks, _ := picked(b, now.Add(after), 400)
		assert.Assert(t, picks["t0"] >= last, "%v after %v", picks, after)
		last = picks["t0"]
		if after < 10*time.Millisecond {
			assert.Assert(t, last < 10, "%v", picks)
		}
	}
	assert.Assert(t, last > 50, "%d", last)
	picks, _ := picked(b, now.Add(time.Second), 400)
	assert.Assert(t, picks["t0"] > last/4 && picks["t0"] < last*3/4, "%d of %d after half of the time", picks["t0"], last)
}

// Guards against a request that is sent without a credit because it was placed before the target
// named its limit.
func TestPlacedRequestIsNotSentOnceTheTargetNamesALimit(t *testing.T) {
	b, _ := newNoticeBalancer(1)
	now := time.Unix(1000, 0)
	p, _ := b.Choose(now, placement.Request{Service: "svc", Key: "k", Region: "centro"})
	assert.Assert(t, b.MaySend(now, p))
	b.Heard(now, p.Target, limitOf(2))
	assert.Assert(t, !b.MaySend(now, p))
}

// Guards against a region that keeps more keys than targets with limits can serve.
func TestLimitedTargetCountsForWhatItTakes(t *testing.T) {
	b, all := newNoticeBalancer(2)
	now := time.Unix(1000, 0)
	assert.Equal(t, b.Slots(now)["svc"]["centro"], 8.0)
	b.Heard(now, all[0], limitOf(2))
	slots := b.Slots(now)["svc"]["centro"]
	assert.Assert(t, slots > 4 && slots < 4.5, "%v", slots)
}

// Guards against a target that gets requests again because an older state of its entry, or its entry
// listed anew, says that it is ready, and against one that is closed for a start after it.
func TestTargetThatSaidItLeavesStaysClosed(t *testing.T) {
	b, all := newNoticeBalancer(3)
	now := time.Unix(1000, 0)
	placed, _ := b.Choose(now, placement.Request{Service: "svc", Key: "k", Region: "centro"})
	leaving := placed.Target
	assert.Assert(t, b.Heard(now, leaving, placement.Notice{Leaving: true, Complete: true}).Leaving)
	assert.Assert(t, !b.MaySend(now, placed), "placed before the target said so")
	none := func(what string) {
		picks, _ := picked(b, now, 200)
		assert.Equal(t, picks[leaving.Name], 0, what)
	}
	none("said to leave")
	b.Heard(now, leaving, placement.Notice{Complete: true})
	b.UpdateTargets([]placement.Target{leaving}, nil)
	none("declared again")
	b.SetTargets(nil)
	b.SetTargets(all)
	none("removed and listed anew")
	restarted := leaving
	restarted.Generation++
	b.UpdateTargets([]placement.Target{restarted}, nil)
	picks, _ := picked(b, now, 200)
	assert.Assert(t, picks[leaving.Name] > 20, "%v", picks)
}

// Guards against a last resort that takes targets which leave, because all others leave too.
func TestNoRequestGoesToTargetsThatAllLeave(t *testing.T) {
	b, all := newNoticeBalancer(3)
	now := time.Unix(1000, 0)
	for _, target := range all {
		b.Heard(now, target, placement.Notice{Leaving: true})
	}
	picks, refused := picked(b, now, 50)
	assert.Equal(t, len(picks), 0)
	assert.Equal(t, refused[0].Reason, steering.ReasonNoTarget)
}

// Guards against a rest that a shorter one ends, that a last resort ignores, or that counts as a
// failure of the target, and against callers that are sent back before any target takes requests.
func TestRestingTargetsGetNoRequests(t *testing.T) {
	b, all := newNoticeBalancer(4)
	now := time.Unix(1000, 0)
	for _, target := range all[:3] {
		b.RequestPlaced(now, target, "k", false)
		assert.Assert(t, b.Heard(now, target, placement.Notice{Rest: 3 * time.Second}).Rest)
		b.RequestEnded(now, target, placement.Report{Outcome: placement.Shed}, false, false)
	}
	assert.Equal(t, len(b.Ejected()), 0)
	assert.Assert(t, !b.Heard(now.Add(time.Second), all[0], placement.Notice{Rest: 500 * time.Millisecond}).Rest)
	assert.Equal(t, b.Slots(now)["svc"]["centro"], 4.0)
	picks, _ := picked(b, now.Add(2900*time.Millisecond), 300)
	assert.Assert(t, len(picks) == 1 && picks["t3"] > 0, "%v", picks)
	picks, _ = picked(b, now.Add(6*time.Second), 300)
	assert.Equal(t, len(picks), 4)
	assert.Equal(t, b.Slots(now.Add(6 * time.Second))["svc"]["centro"], 16.0)

	for _, target := range all {
		b.Heard(now.Add(6*time.Second), target, placement.Notice{Rest: 1500 * time.Millisecond})
	}
	picks, refused := picked(b, now.Add(6*time.Second), 50)
	assert.Equal(t, len(picks), 0)
	for _, r := range refused {
		assert.Assert(t, r.RetryAfter > time.Second, "%v", r.RetryAfter)
	}
}

// Guards against VMs that all send a rested target its whole load in the same moment.
func TestKeysReturnGraduallyAfterARest(t *testing.T) {
	b, all := newNoticeBalancer(4)
	now := time.Unix(1000, 0)
	b.Heard(now, all[0], placement.Notice{Rest: time.Second})
	at := func(d time.Duration) int {
		picks, _ := picked(b, now.Add(d), 400)
		return picks["t0"]
	}
	soon, half, whole := at(1020*time.Millisecond), at(1500*time.Millisecond), at(2*time.Second)
	assert.Assert(t, soon < whole/5 && half > whole/4 && half < whole*3/4, "%d, %d, %d", soon, half, whole)
}

// Guards against a request that reaches a target in its rest because it was placed before.
func TestPlacedRequestIsNotSentOnceTheTargetRests(t *testing.T) {
	b, _ := newNoticeBalancer(1)
	now := time.Unix(1000, 0)
	p, _ := b.Choose(now, placement.Request{Service: "svc", Key: "k", Region: "centro"})
	b.Heard(now, p.Target, placement.Notice{Rest: time.Second})
	assert.Assert(t, !b.MaySend(now.Add(900*time.Millisecond), p))
	assert.Assert(t, b.MaySend(now.Add(1100*time.Millisecond), p))
}
