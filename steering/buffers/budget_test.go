package buffers_test

import (
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"heatherlock/steering/buffers"
)

const total = 1000

var cfg = buffers.Config{Total: total, PerConnection: 300, MinStall: time.Second, MaxStall: 10 * time.Second}

// connection is what the reference knows of a connection.
type connection struct {
	held     int64
	blocked  int
	progress time.Time
	cut      bool
}

// Guards against a VM that runs out of memory because more is granted than its bound, because bytes
// are never released, or because the wrong connection is cut: one that reads, or one that holds little.
func TestBudgetAgainstReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := buffers.New(cfg)
		now := time.Unix(100, 0)
		conns := map[buffers.ID]*connection{}
		pick := func(t *rapid.T) (buffers.ID, *connection) {
			if len(conns) == 0 {
				t.Skip("no connection")
			}
			ids := slices.Sorted(maps.Keys(conns))
			id := rapid.SampledFrom(ids).Draw(t, "connection")
			return id, conns[id]
		}
		on := func(f func(buffers.ID, *connection)) func(*rapid.T) {
			return func(t *rapid.T) { f(pick(t)) }
		}
		sum := func() (held int64) {
			for _, c := range conns {
				held += c.held
			}
			return held
		}
		t.Repeat(map[string]func(*rapid.T){
			"open":     func(*rapid.T) { conns[b.Open()] = &connection{} },
			"close":    on(func(id buffers.ID, _ *connection) { b.Close(id); delete(conns, id) }),
			"progress": on(func(id buffers.ID, c *connection) { c.progress = now; b.Progress(now, id) }),
			"unblock":  on(func(id buffers.ID, c *connection) { c.blocked = max(c.blocked-1, 0); b.Unblocked(id) }),
			"pass time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"block": on(func(id buffers.ID, c *connection) {
				if c.blocked++; c.blocked == 1 {
					c.progress = now
				}
				b.Blocked(now, id, buffers.Caller)
			}),
			"release": func(t *rapid.T) {
				id, c := pick(t)
				bytes := rapid.Int64Range(0, c.held).Draw(t, "bytes")
				c.held -= bytes
				b.Release(id, bytes)
			},
			"reserve": func(t *rapid.T) {
				id, c := pick(t)
				bytes := rapid.Int64Range(1, 600).Draw(t, "bytes")
				verdict, cuts := b.Reserve(now, id, bytes)
				missing, ending, cuttable := sum()+bytes-total, int64(0), int64(0)
				for other, o := range conns {
					if o.cut {
						ending += o.held
					} else if other != id && o.blocked > 0 && now.Sub(o.progress) >= cfg.MinStall {
						cuttable += o.held
					}
				}
				switch {
				case c.cut:
					assert.Equal(t, verdict, buffers.Refused)
				case missing <= 0:
					assert.Equal(t, verdict, buffers.Granted)
					c.held += bytes
				case missing-ending > cuttable:
					assert.Equal(t, verdict, buffers.Refused)
					assert.Equal(t, len(cuts), 0, "nobody is cut in vain")
				default:
					assert.Equal(t, verdict, buffers.Wait)
				}
				for _, cut := range cuts {
					assert.Assert(t, missing-ending > 0, "no more are cut than needed")
					checkVictim(t, now, id, cut, conns)
					conns[cut.ID].cut = true
					ending += cut.Held
				}
				assert.Assert(t, verdict != buffers.Wait || missing <= ending, "the bytes are about to be released")
			},
			"": func(t *rapid.T) {
				assert.Equal(t, b.Held(), sum())
				assert.Assert(t, b.Held() <= total && b.Held() >= 0)
			},
		})
		for id := range conns {
			b.Close(id)
		}
		assert.Equal(t, b.Held(), int64(0), "all reservations end")
	})
}

// checkVictim checks that no connection has a larger product of bytes and time without progress.
func checkVictim(t *rapid.T, now time.Time, requester buffers.ID, cut buffers.Cut, conns map[buffers.ID]*connection) {
	weight := func(c *connection) float64 { return float64(c.held) * now.Sub(c.progress).Seconds() }
	victim := conns[cut.ID]
	assert.Assert(t, cut.ID != requester && victim.blocked > 0 && !victim.cut && now.Sub(victim.progress) >= cfg.MinStall)
	assert.Equal(t, cut.Held, victim.held)
	assert.Equal(t, cut.Stalled, now.Sub(victim.progress))
	for id, c := range conns {
		if id != requester && c.blocked > 0 && !c.cut && now.Sub(c.progress) >= cfg.MinStall {
			assert.Assert(t, weight(c) <= weight(victim))
		}
	}
}

// Guards against a caller that sends request after request and never reads: the responses of all
// would be held. Requests that were small so far are read on.
func TestRequestsAreNotReadBeyondTheBound(t *testing.T) {
	b := buffers.New(cfg)
	id := b.Open()
	assert.Assert(t, b.MayReadOn(id, 16), "nothing is known of the sizes")
	b.Ended(id, 10)
	assert.Assert(t, b.MayReadOn(id, 16))
	b.Ended(id, 120)
	assert.Assert(t, b.MayReadOn(id, 1))
	assert.Assert(t, !b.MayReadOn(id, 2), "three of them exceed the bound")
	assert.Assert(t, b.MayReadOn(id, 0), "a single request is always read")
	for range 20 {
		b.Ended(id, 1)
	}
	assert.Assert(t, b.MayReadOn(id, 16))
	_, _ = b.Reserve(time.Unix(1, 0), id, 301)
	assert.Assert(t, !b.MayReadOn(id, 1))
}

// Guards against a budget that leaves the collector of a small VM no room.
func TestTotalFollowsMemoryAndRuntimeLimit(t *testing.T) {
	assert.Equal(t, buffers.NewConfig(136, math.MaxInt64).Total, int64(34<<20))
	assert.Equal(t, buffers.NewConfig(136, 96<<20).Total, int64(32<<20))
	assert.Equal(t, buffers.NewConfig(60, 96<<20).Total, int64(15<<20))
}
