package pool

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/steering"
	"heatherlock/steering/routing"
)

func twoOf(slots int) []routing.Target {
	return []routing.Target{{Name: "a", Slots: slots}, {Name: "b", Slots: slots}}
}

var noReport = Outcome{ReportedInFlight: NoReport, ReportedSlots: NoReport}

// Symptom: a target with two working slots out of four declared refuses every
// third request. Sequence: the pool fills its four slots, the target sheds.
// Cause: the pool believed the configuration. The limit has to settle at two,
// try three only now and then, and find the truth once the target is mended.
func TestLimitFollowsTruth(t *testing.T) {
	const working = 2
	now := start
	p := New(now, Config{})
	p.SetTargets(now, []routing.Target{{Name: "a", Slots: 4}}, nil)
	run := func(d time.Duration, truth int) (sheds int) {
		for end := now.Add(d); now.Before(end); {
			var held []GrantID
			for {
				decision := p.Acquire(now, Request{Deadline: now.Add(time.Second)})
				if decision.Verdict != Granted {
					p.Cancel(decision.Ticket)
					break
				}
				held = append(held, decision.Grant)
			}
			now = now.Add(20 * time.Millisecond)
			for i := len(held) - 1; i >= 0; i-- {
				o := noReport
				if i >= truth {
					o.End = EndShed
					sheds++
				}
				p.Release(now, held[i], o)
			}
			p.Tick(now)
		}
		return sheds
	}
	run(5*time.Second, working)
	assert.Assert(t, p.Limit("a") <= working+1)
	sheds := run(time.Minute, working)
	assert.Assert(t, sheds <= 60, "%d sheds in a minute of 6000 requests", sheds)
	run(5*time.Minute, 4)
	assert.Equal(t, p.Limit("a"), 4)
}

// Symptom: a target serves well while callers queue. Sequence: its load report
// freezes at "all slots in use". Cause: the report outranked what the pool saw
// at first hand.
func TestFrozenReportIsDoubted(t *testing.T) {
	now := start
	p := New(now, Config{})
	p.SetTargets(now, []routing.Target{{Name: "a", Slots: 4}}, nil)
	peak := 0
	for range 200 {
		var held []GrantID
		for {
			d := p.Acquire(now, Request{Deadline: now.Add(time.Second)})
			if d.Verdict != Granted {
				p.Cancel(d.Ticket)
				break
			}
			held = append(held, d.Grant)
		}
		peak = max(peak, len(held))
		assert.Assert(t, len(held) > 0, "a report alone must not take the last slot")
		now = now.Add(20 * time.Millisecond)
		for _, id := range held {
			p.Release(now, id, Outcome{ReportedInFlight: 8, ReportedSlots: 4})
		}
		p.Tick(now)
	}
	assert.Equal(t, peak, 4)
}

// Symptom: a zone refuses work while a target that serves well is used with one
// slot out of four. Sequence: its reports say one slot and 99 requests in
// flight. Cause: its word lowered the limit although it ran more than that
// without shedding.
func TestReportedSlotsThatAreRefutedDoNotLowerTheLimit(t *testing.T) {
	now := start
	p := New(now, Config{})
	p.SetTargets(now, []routing.Target{{Name: "a", Slots: 4}}, nil)
	full := 0
	for range 100 {
		var held []GrantID
		for {
			d := p.Acquire(now, Request{Deadline: now.Add(time.Second)})
			if d.Verdict != Granted {
				p.Cancel(d.Ticket)
				break
			}
			held = append(held, d.Grant)
		}
		if len(held) == 4 {
			full++
		}
		now = now.Add(20 * time.Millisecond)
		for _, id := range held {
			p.Release(now, id, Outcome{ReportedInFlight: 99, ReportedSlots: 1})
		}
		p.Tick(now)
	}
	assert.Assert(t, full > 50, "all four slots were used in %d of 100 rounds", full)
	assert.Equal(t, p.Limit("a"), 4)
}

// Symptom: a target runs more than its slots after callers go away. Sequence:
// requests time out, their slots are given out again, the target still runs
// the first ones. Cause: an end at the caller's side is no end at the target.
func TestUncertainEndKeepsTheSlot(t *testing.T) {
	now := start
	p := New(now, Config{Linger: time.Second})
	p.SetTargets(now, twoOf(1), nil)
	first := p.Acquire(now, Request{Deadline: now.Add(time.Second)})
	o := noReport
	o.End = EndUncertain
	p.Release(now, first.Grant, o)
	assert.Equal(t, p.Free(), 1)
	p.Report(now, first.Target.Name, 0, NoReport)
	assert.Equal(t, p.Free(), 2, "the target's own word that it is idle ends the wait")
	again := p.Acquire(now, Request{Deadline: now.Add(time.Second)})
	p.Release(now, again.Grant, o)
	p.Tick(now.Add(time.Second))
	assert.Equal(t, p.Free(), 2, "the wait is bounded")
}

// Symptom: most requests fail although five of six targets are well. Sequence:
// one target fails each request at once, so that it always has free slots and
// looks fastest. Cause: quick failures counted as speed.
func TestTargetThatFailsAtOnceDrawsNoMoreWork(t *testing.T) {
	now := start
	p := New(now, Config{ServiceTime: 50 * time.Millisecond})
	var declared []routing.Target
	for i := range 6 {
		declared = append(declared, routing.Target{Name: steering.Target(fmt.Sprint("t", i)), Slots: 4})
	}
	p.SetTargets(now, declared, nil)
	type running struct {
		id   GrantID
		ends time.Time
		bad  bool
	}
	var all []running
	failed, sent := 0, 0
	for range 20_000 {
		now = now.Add(time.Millisecond)
		for i := len(all) - 1; i >= 0; i-- {
			if all[i].ends.After(now) {
				continue
			}
			o := noReport
			if all[i].bad {
				o.End = EndFailed
			}
			p.Release(now, all[i].id, o)
			all = slices.Delete(all, i, i+1)
		}
		if sent%5 == 0 {
			p.Tick(now)
		}
		if now.UnixMilli()%5 != 0 {
			continue
		}
		d := p.Acquire(now, Request{Deadline: now.Add(time.Second)})
		if d.Verdict != Granted {
			continue
		}
		sent++
		bad := d.Target.Name == "t0"
		r := running{id: d.Grant, ends: now.Add(50 * time.Millisecond), bad: bad}
		if bad {
			failed++
			r.ends = now.Add(time.Millisecond)
		}
		all = append(all, r)
	}
	assert.Assert(t, failed*2 <= sent, "%d of %d requests went to the target that fails", failed, sent)
}

// Symptom: a full queue of sheddable work turns away a pass check. Cause: the
// bound was first come, first served.
func TestFullQueueMakesRoomForCriticalWork(t *testing.T) {
	now := start
	p := New(now, Config{QueuePerSlot: 1})
	p.SetTargets(now, twoOf(1), nil)
	sheddable := Request{Class: routing.Sheddable, Deadline: now.Add(time.Second)}
	var last Decision
	for range 4 {
		last = p.Acquire(now, sheddable)
	}
	assert.Equal(t, last.Verdict, Queued)
	assert.Equal(t, p.Acquire(now, sheddable).Reason, steering.ReasonQueueFull)
	critical := p.Acquire(now, Request{Class: routing.Critical, Deadline: now.Add(time.Second)})
	assert.Equal(t, critical.Verdict, Queued)
	e := p.Tick(now)
	assert.Equal(t, len(e.Dropped), 1)
	assert.Equal(t, e.Dropped[0].Reason, steering.ReasonQueueFull)
}

// Symptom: refused callers come back as one burst and are refused again.
// Cause: all were told the same time.
func TestRefusedCallersAreToldDifferentTimes(t *testing.T) {
	now := start
	p := New(now, Config{QueuePerSlot: -1})
	p.SetTargets(now, twoOf(1), nil)
	seen := map[time.Duration]bool{}
	for range 12 {
		d := p.Acquire(now, Request{Deadline: now.Add(time.Second)})
		if d.Verdict == Refused {
			assert.Assert(t, !seen[d.RetryAfter], "%v told twice", d.RetryAfter)
			seen[d.RetryAfter] = true
		}
	}
	assert.Equal(t, len(seen), 10)
}

func BenchmarkAcquireRelease(b *testing.B) {
	for _, n := range []int{20, 200, 2000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := New(start, Config{})
			var targets []routing.Target
			for i := range n {
				targets = append(targets, routing.Target{Name: steering.Target(fmt.Sprint("target-", i)), Slots: 4})
			}
			p.SetTargets(start, targets, nil)
			held := make([]GrantID, 0, 4*n)
			for range 3 * n {
				held = append(held, p.Acquire(start, Request{Deadline: start.Add(time.Hour)}).Grant)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now := start.Add(time.Duration(i) * time.Microsecond)
				slot := i * 7919 % len(held)
				p.Release(now, held[slot], noReport)
				held[slot] = p.Acquire(now, Request{Deadline: now.Add(time.Hour)}).Grant
			}
		})
	}
}
