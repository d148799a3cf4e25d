package once

import (
	"errors"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"heatherlock/steering"
)

var start = time.Date(2026, 6, 1, 12, 0, 0, 0, time.UTC)

// witness is the independent reference: it sees only what callers and targets
// see, and knows nothing of epochs, eviction or memory.
type witness struct {
	runs    map[steering.Key]int // executions that may have had an effect
	running map[steering.Key]Run
	answers map[steering.Key]string
}

type onceMachine struct {
	table   *Table
	now     time.Time
	lives   int
	issued  []steering.Key
	issueAt map[steering.Key]time.Time
	seen    witness
}

func (m *onceMachine) incarnation() steering.Incarnation {
	return steering.Incarnation(fmt.Sprintf("vm%d", m.lives))
}

func (m *onceMachine) restart() {
	m.lives++
	m.seen.running = map[steering.Key]Run{}
	m.table = New(Config{
		Incarnation: m.incarnation(), Start: m.now,
		MaxBytes: 6 * 400, MaxAnswerBytes: 200, MaxJoin: 2,
		KeepFor: 3 * time.Minute, FreshFor: 3 * time.Minute, MinFresh: time.Minute, Ahead: time.Minute,
	})
}

func newMachine() *onceMachine {
	m := &onceMachine{now: start, issueAt: map[steering.Key]time.Time{}}
	m.seen = witness{runs: map[steering.Key]int{}, answers: map[steering.Key]string{}}
	m.restart()
	return m
}

func (m *onceMachine) issue(t *rapid.T) {
	skew := time.Duration(rapid.IntRange(-90, 90).Draw(t, "skew")) * time.Second
	key := steering.Key(fmt.Sprintf("%s.unique%04d", PrefixAt(m.incarnation(), m.now.Add(skew)), len(m.issued)))
	m.issued = append(m.issued, key)
	m.issueAt[key] = m.now.Add(min(0, skew))
	if skew > 0 {
		delete(m.issueAt, key) // a prefix from the future promises no freshness
	}
}

func (m *onceMachine) send(t *rapid.T) {
	if len(m.issued) == 0 {
		t.Skip("no key yet")
	}
	key := rapid.SampledFrom(m.issued).Draw(t, "key")
	m.sendKey(t, key, Fingerprint(rapid.IntRange(1, 6).Draw(t, "content")/6)) // rarely 1
}

// purchase fills the table with ended keys, as live traffic does.
func (m *onceMachine) purchase(t *rapid.T) {
	m.issue(t)
	key := m.issued[len(m.issued)-1]
	m.sendKey(t, key, 0)
	if run, ok := m.seen.running[key]; ok {
		m.end(t, key, run, Outcome{Kind: Done})
	}
}

// sendKey gives the table a key, new or repeated, and holds its decision against
// the reference.
func (m *onceMachine) sendKey(t *rapid.T, key steering.Key, fp Fingerprint) {
	d := m.table.Begin(m.now, key, fp)
	_, running := m.seen.running[key]
	switch d.Kind {
	case Execute:
		assert.Assert(t, m.seen.runs[key] == 0 && !running, "%s runs a second time", key)
		m.seen.running[key] = d.Run
		m.seen.runs[key]++
	case Join:
		assert.Assert(t, running, "%s joins nothing", key)
	case Replay:
		assert.Equal(t, string(d.Answer.Body), m.seen.answers[key])
	case Foreign:
		assert.Assert(t, d.Home != m.incarnation())
	case Refuse:
		m.refused(t, key, d.Refusal, running)
	}
}

func (m *onceMachine) refused(t *rapid.T, key steering.Key, r *steering.Refusal, running bool) {
	if r.Ran == steering.RanNo {
		assert.Assert(t, m.seen.runs[key] == 0, "%s ran and is called not run: %v", key, r)
	}
	if r.Ran == steering.RanYes {
		assert.Assert(t, m.seen.runs[key] == 1 && !running)
	}
	issued, ok := m.issueAt[key]
	young := ok && m.now.Sub(issued) < time.Minute
	if r.Reason == steering.ReasonKeyEvicted && m.seen.runs[key] == 0 {
		assert.Assert(t, !young, "%s is fresh and young, yet counts as forgotten", key)
	}
}

func (m *onceMachine) finish(t *rapid.T) {
	if len(m.seen.running) == 0 {
		t.Skip("nothing runs")
	}
	key := rapid.SampledFrom(m.issued).Filter(func(k steering.Key) bool { _, ok := m.seen.running[k]; return ok }).Draw(t, "running")
	o := Outcome{Kind: OutcomeKind(rapid.IntRange(0, 2).Draw(t, "outcome"))}
	switch o.Kind {
	case Done:
		body := strings.Repeat("a", rapid.IntRange(1, 300).Draw(t, "size"))
		m.seen.answers[key] = string(key) + body
		o.Answer = &Answer{Status: 200, Body: []byte(m.seen.answers[key])}
	case NotRun:
		m.seen.runs[key]--
	case Unknown:
		o.Refusal = steering.Refuse(steering.ReasonTargetDied, 0, "wrongly called not run")
	}
	m.end(t, key, m.seen.running[key], o)
}

func (m *onceMachine) end(t *rapid.T, key steering.Key, run Run, o Outcome) {
	delete(m.seen.running, key)
	assert.Assert(t, m.table.Finish(m.now, run, o))
	assert.Assert(t, !m.table.Finish(m.now, run, Outcome{Kind: NotRun}), "a second end of one run took effect")
}

func (m *onceMachine) check(t *rapid.T) {
	s := m.table.Stats()
	var bytes int64
	for _, e := range m.table.entries {
		bytes += e.size()
	}
	assert.Equal(t, s.Bytes, bytes)
	assert.Assert(t, s.Bytes <= m.table.cfg.MaxBytes)
}

// TestKeysRunAtMostOnce is the promise for every interleaving of first sends,
// repeats, ends, skewed issuers, evictions, pauses and restarts.
func TestKeysRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		t.Repeat(map[string]func(*rapid.T){
			"issue":    m.issue,
			"purchase": m.purchase,
			"send":     m.send,
			"finish":   m.finish,
			"wait": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 150).Draw(t, "seconds")) * time.Second)
			},
			"restart": func(t *rapid.T) {
				if rapid.IntRange(0, 4).Draw(t, "die") == 0 {
					m.restart()
				}
			},
			"": m.check,
		})
	})
}

// Symptom: a bather is charged twice. Sequence: a purchase ends, the table fills
// up and forgets its outcome, the kiosk repeats the purchase. Cause: a forgotten
// key looks like one never seen unless its epoch is sealed first.
func TestForgottenKeyDoesNotRun(t *testing.T) {
	table := New(Config{Incarnation: "vm1", Start: start, MaxBytes: 4 * 350})
	key := steering.Key(PrefixAt("vm1", start) + ".purchase1")
	d := table.Begin(start, key, 1)
	assert.Equal(t, d.Kind, Execute)
	assert.Assert(t, table.Finish(start, d.Run, Outcome{Kind: Done}))

	now := start.Add(3 * time.Minute)
	for i := range 8 {
		other := steering.Key(fmt.Sprintf("%s.other%04d", PrefixAt("vm1", now), i))
		if d := table.Begin(now, other, 1); d.Kind == Execute {
			table.Finish(now, d.Run, Outcome{Kind: Done})
		}
	}
	again := table.Begin(now, key, 1)
	assert.Equal(t, again.Kind, Refuse)
	assert.Equal(t, again.Refusal.Reason, steering.ReasonKeyEvicted)
	assert.Equal(t, again.Refusal.Ran, steering.RanUnknown)
}

// Symptom: every keyed purchase is refused for an hour. Sequence: the entry VM's
// wall clock jumps an hour ahead and back. Cause: epochs sealed by the wall
// clock stay sealed; the table measures from its start instead.
func TestWallClockStepSealsNothing(t *testing.T) {
	began := time.Now()
	table := New(Config{Incarnation: "vm1", Start: began})
	stepped := began.Add(time.Second)
	table.Begin(stepped, steering.Key(PrefixAt("vm1", began)+".purchase1"), 1)
	assert.Assert(t, table.Stats().Sealed < EpochAt(began))
}

func FuzzParseKey(f *testing.F) {
	f.Add("abc-29000000.unique-1234")
	f.Add("abc-07.unique-1234")
	f.Add("-.")
	f.Fuzz(func(t *testing.T, key string) {
		parts, err := ParseKey(steering.Key(key))
		if err != nil {
			assert.Assert(t, errors.Is(err, ErrBadKey))
			return
		}
		// One spelling per key: two would be two entries and two executions.
		assert.Equal(t, fmt.Sprintf("%s-%d.%s", parts.Incarnation, parts.Epoch, parts.Unique), key)
	})
}

func BenchmarkBeginFinish(b *testing.B) {
	keys := make([]steering.Key, b.N)
	for i := range keys {
		keys[i] = steering.Key(fmt.Sprintf("%s.unique%09d", PrefixAt("vm1", start), i))
	}
	table := New(Config{Incarnation: "vm1", Start: start, MaxBytes: 1 << 40})
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		d := table.Begin(start, keys[i], 1)
		table.Finish(start, d.Run, Outcome{Kind: Done})
	}
}

func BenchmarkReplay(b *testing.B) {
	table := New(Config{Incarnation: "vm1", Start: start})
	key := steering.Key(PrefixAt("vm1", start) + ".purchase1")
	table.Finish(start, table.Begin(start, key, 1).Run, Outcome{Kind: Done, Answer: &Answer{Status: 200}})
	b.ReportAllocs()
	for b.Loop() {
		table.Begin(start, key, 1)
	}
}

// BenchmarkEntryMemory reports what an ended entry without an answer takes, and
// what the table counts for it.
func BenchmarkEntryMemory(b *testing.B) {
	const entries = 100_000
	for b.Loop() {
		table := New(Config{Incarnation: "vm1", Start: start, MaxBytes: 1 << 40})
		before := heapInUse()
		for i := range entries {
			key := steering.Key(fmt.Sprintf("%s.unique%026d", PrefixAt("vm1", start), i))
			table.Finish(start, table.Begin(start, key, 1).Run, Outcome{Kind: Done})
		}
		b.ReportMetric(float64(heapInUse()-before)/entries, "B/entry")
		b.ReportMetric(float64(table.Stats().Bytes)/entries, "counted-B/entry")
	}
}

func heapInUse() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
