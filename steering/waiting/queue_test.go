package waiting_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"heatherlock/steering"
	"heatherlock/steering/waiting"
)

var start = time.Unix(1000, 0)

// orderOf returns a string by which the requests of a line sort in the order in which they have to leave.
func orderOf(e waiting.Entry) string {
	flag := map[bool]int{true: 1}
	return fmt.Sprintf("%d %d %020d %d %020d %020d", flag[e.Late], e.Rank, e.LatestStart.UnixNano(), 1-flag[e.Returned], e.Arrived.UnixNano(), e.ID)
}

// queueModel is an independent reference: what waits, and what is being placed.
type queueModel struct {
	queue   *waiting.Queue
	limits  waiting.Limits
	now     time.Time
	lastID  uint64
	waiting map[uint64]waiting.Entry
	placing map[uint64]waiting.Entry
}

func (m *queueModel) offer(t *rapid.T, e waiting.Entry) {
	again := m.placing[e.ID].ID != 0
	delete(m.placing, e.ID)
	held, retryAfter := m.queue.Offer(m.now, e)
	if held {
		assert.Assert(t, e.LatestStart.After(m.now) || e.LatestStart.Equal(m.now), "held past its latest start")
		m.waiting[e.ID] = e
		return
	}
	assert.Assert(t, retryAfter > 0)
	assert.Assert(t, !again || e.RoomAt.After(e.LatestStart) || m.queue.Len() > 0, "refused although its target has room in time")
}

// ended checks that a request that the queue gives out was waiting.
func (m *queueModel) ended(t *rapid.T, e waiting.Entry) {
	_, known := m.waiting[e.ID]
	assert.Assert(t, known, "request %d ends although it does not wait", e.ID)
	delete(m.waiting, e.ID)
}

func (m *queueModel) next(t *rapid.T) {
	e, ok := m.queue.Next(m.now, simService)
	if !ok {
		return
	}
	m.ended(t, e)
	for _, other := range m.placing {
		assert.Assert(t, other.Target != e.Target, "two requests are placed on one target")
	}
	for _, other := range m.waiting {
		assert.Assert(t, other.Target != e.Target || orderOf(e) < orderOf(other), "a request leaves before its turn")
	}
	m.placing[e.ID] = e
}

// Guards against requests that are forgotten, answered twice, given out before their turn, kept beyond the
// bounds, or that wait past their latest start.
func TestQueueProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &queueModel{limits: waiting.Limits{Entries: 12, Bytes: 900}, now: start, waiting: make(map[uint64]waiting.Entry), placing: make(map[uint64]waiting.Entry)}
		m.queue = waiting.NewQueue(m.limits)
		ms := func(label string, low, high int) time.Duration {
			return time.Duration(rapid.IntRange(low, high).Draw(t, label)) * time.Millisecond
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				m.lastID++
				m.offer(t, waiting.Entry{ID: m.lastID, Service: simService, Rank: rapid.IntRange(0, 2).Draw(t, "rank"), Arrived: m.now,
					LatestStart: m.now.Add(ms("latest", 0, 500)), Late: rapid.Bool().Draw(t, "late"), Returned: rapid.Bool().Draw(t, "returned"),
					Bytes: rapid.IntRange(1, 200).Draw(t, "bytes"), Target: steering.Target(fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "target"))),
					RoomAt: m.now.Add(ms("room", 0, 300)), Interval: ms("interval", 1, 50)})
			},
			"next": m.next,
			"room": func(t *rapid.T) {
				m.queue.Room(m.now, simService, steering.Target(fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "target"))))
			},
			"placed": func(t *rapid.T) {
				for _, e := range m.placing {
					switch rapid.IntRange(0, 2).Draw(t, "end") {
					case 0:
						m.queue.Started(m.now, e.ID)
					case 1:
						m.queue.Remove(e.ID)
					default:
						e.RoomAt = m.now.Add(ms("room", 1, 300))
						m.offer(t, e)
					}
					delete(m.placing, e.ID)
					return
				}
			},
			"time": func(t *rapid.T) {
				m.now = m.now.Add(ms("passes", 1, 200))
				for _, e := range m.queue.Expired(m.now) {
					m.ended(t, e)
				}
				for _, e := range m.waiting {
					assert.Assert(t, e.LatestStart.After(m.now), "a request waits past its latest start")
				}
			},
			"": func(t *rapid.T) {
				bytes, low := 0, 0
				for _, all := range []map[uint64]waiting.Entry{m.waiting, m.placing} {
					for _, e := range all {
						bytes += e.Bytes
						low += min(e.Rank, 1)
					}
				}
				assert.Equal(t, m.queue.Len(), len(m.waiting)+len(m.placing))
				assert.Equal(t, m.queue.Bytes(), bytes)
				assert.Assert(t, m.queue.Len() <= m.limits.Entries && bytes <= m.limits.Bytes && low <= m.limits.Entries*3/4)
				at, ok := m.queue.NextEvent()
				for _, e := range m.waiting {
					assert.Assert(t, ok && !at.After(e.LatestStart), "no event by the latest start of a request")
				}
			},
		})
	})
}
