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

// Guards against a target with two working slots out of four declared refusing every third request,
// because the pool fills all four slots that the configuration declares. The limit has to settle at
// two, try three only from time to time, and return to four once the target has recovered.
func TestLimitFollowsWorkingSlots(t *testing.T) {
	const working = 2
	now := start
	p := New(now, Config{})
	p.SetTargets(now, []routing.Target{{Name: "a", Slots: 4}}, nil)
	run := func(d time.Duration, workingSlots int) (sheds int) {
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
				if i >= workingSlots {
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

// Guards against slots that stay unused while callers queue: a target works well, but its load
// report is stuck at all slots in use. The pool must not give the report precedence over the
// successes that it sees itself.
func TestSuccessesOutweighAStaleReport(t *testing.T) {
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

// Guards against a target that works well being limited to one slot out of four, so that its zone
// refuses requests. Its reports say one slot and 99 requests in flight; they must not lower the
// limit, because the target runs more requests than that without shedding.
func TestContradictedSlotReportDoesNotLowerTheLimit(t *testing.T) {
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

// Guards against a target running more requests than its slots after callers disconnect: the
// requests time out and their slots are granted again while the target still runs the first
// requests, because an end on the caller's side does not end the request at the target.
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
	assert.Equal(t, p.Free(), 2, "a report that the target is idle frees the slot")
	again := p.Acquire(now, Request{Deadline: now.Add(time.Second)})
	p.Release(now, again.Grant, o)
	p.Tick(now.Add(time.Second))
	assert.Equal(t, p.Free(), 2, "the slot is free again after Linger")
}

// Guards against most requests failing although five of six targets work: one target fails each
// request at once, always has free slots, and would look fastest if quick failures counted as short
// service times.
func TestFastFailingTargetGetsNoExtraRequests(t *testing.T) {
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
	assert.Assert(t, failed*2 <= sent, "%d of %d requests went to the failing target", failed, sent)
}

// Guards against a queue full of sheddable requests refusing a critical one, which would happen if
// the queue bound were first come, first served.
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

// Guards against refused callers retrying in one burst and being refused again, because all of them
// got the same RetryAfter.
func TestRefusedCallersGetDifferentRetryTimes(t *testing.T) {
	now := start
	p := New(now, Config{QueuePerSlot: -1})
	p.SetTargets(now, twoOf(1), nil)
	seen := map[time.Duration]bool{}
	for range 12 {
		d := p.Acquire(now, Request{Deadline: now.Add(time.Second)})
		if d.Verdict == Refused {
			assert.Assert(t, !seen[d.RetryAfter], "RetryAfter %v given twice", d.RetryAfter)
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

// Guards against requests that reach a target in the rest that it asked for when it shed one.
func TestTargetThatAsksForRestGetsNothingUntilItEnds(t *testing.T) {
	now := start
	p := New(now, Config{})
	p.SetTargets(now, twoOf(1), nil)
	const rest = 3 * time.Second
	shed := p.Acquire(now, Request{Deadline: now.Add(time.Second)})
	p.Release(now, shed.Grant, Outcome{End: EndShed, ReportedInFlight: NoReport, ReportedSlots: NoReport, Rest: rest})
	other := p.Acquire(now, Request{Deadline: now.Add(time.Minute)})
	assert.Assert(t, other.Target.Name != shed.Target.Name)
	for at := now; at.Before(now.Add(rest)); at = at.Add(100 * time.Millisecond) {
		p.Tick(at)
		d := p.Acquire(at, Request{Deadline: at.Add(10 * time.Second)})
		assert.Assert(t, d.Verdict != Granted, "%v into the rest", at.Sub(now))
		p.Cancel(d.Ticket)
	}
	after := now.Add(rest + 100*time.Millisecond)
	p.Tick(after)
	assert.Equal(t, p.Acquire(after, Request{Deadline: after.Add(time.Second)}).Target.Name, shed.Target.Name)
}
