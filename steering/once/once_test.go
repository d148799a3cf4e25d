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

// referenceModel is the independent reference for the table. It sees only what callers and
// targets see, and has no notion of epochs, eviction or memory.
type referenceModel struct {
	runs    map[steering.Key]int // executions that may have had an effect
	running map[steering.Key]Run
	answers map[steering.Key]string
}

type tableModel struct {
	table        *Table
	now          time.Time
	incarnations int
	issued       []steering.Key
	issuedAt     map[steering.Key]time.Time
	reference    referenceModel
}

func (m *tableModel) incarnation() steering.Incarnation {
	return steering.Incarnation(fmt.Sprintf("vm%d", m.incarnations))
}

func (m *tableModel) restart() {
	m.incarnations++
	m.reference.running = map[steering.Key]Run{}
	m.table = New(Config{
		Incarnation: m.incarnation(), Start: m.now,
		MaxBytes: 6 * 400, MaxAnswerBytes: 200, MaxWaiters: 2,
		KeepFor: 3 * time.Minute, PrefixLifetime: 3 * time.Minute, MinPrefixLifetime: time.Minute, MaxClockSkew: time.Minute,
	})
}

func newModel() *tableModel {
	m := &tableModel{now: start, issuedAt: map[steering.Key]time.Time{}}
	m.reference = referenceModel{runs: map[steering.Key]int{}, answers: map[steering.Key]string{}}
	m.restart()
	return m
}

func (m *tableModel) issue(t *rapid.T) {
	skew := time.Duration(rapid.IntRange(-90, 90).Draw(t, "skew")) * time.Second
	key := steering.Key(fmt.Sprintf("%s.unique%04d", PrefixAt(m.incarnation(), m.now.Add(skew)), len(m.issued)))
	m.issued = append(m.issued, key)
	m.issuedAt[key] = m.now.Add(min(0, skew))
	if skew > 0 {
		delete(m.issuedAt, key) // a prefix from the future need not be accepted for any time
	}
}

func (m *tableModel) send(t *rapid.T) {
	if len(m.issued) == 0 {
		t.Skip("no key was issued yet")
	}
	key := rapid.SampledFrom(m.issued).Draw(t, "key")
	m.sendKey(t, key, Fingerprint(rapid.IntRange(1, 6).Draw(t, "content")/6)) // rarely 1
}

// completeNew issues a key, sends it and finishes it, which fills the table with ended entries as
// real traffic does.
func (m *tableModel) completeNew(t *rapid.T) {
	m.issue(t)
	key := m.issued[len(m.issued)-1]
	m.sendKey(t, key, 0)
	if run, ok := m.reference.running[key]; ok {
		m.end(t, key, run, Outcome{Kind: Done})
	}
}

// sendKey passes a new or repeated key to the table and checks the decision against the
// reference.
func (m *tableModel) sendKey(t *rapid.T, key steering.Key, fp Fingerprint) {
	d := m.table.Begin(m.now, key, fp)
	_, running := m.reference.running[key]
	switch d.Kind {
	case Execute:
		assert.Assert(t, m.reference.runs[key] == 0 && !running, "%s runs a second time", key)
		m.reference.running[key] = d.Run
		m.reference.runs[key]++
	case Join:
		assert.Assert(t, running, "%s joined, but is not running", key)
	case Replay:
		assert.Equal(t, string(d.Answer.Body), m.reference.answers[key])
	case Foreign:
		assert.Assert(t, d.Home != m.incarnation())
	case Refuse:
		m.checkRefusal(t, key, d.Refusal, running)
	}
}

func (m *tableModel) checkRefusal(t *rapid.T, key steering.Key, r *steering.Refusal, running bool) {
	if r.Ran == steering.RanNo {
		assert.Assert(t, m.reference.runs[key] == 0, "%s ran, but the refusal says not run: %v", key, r)
	}
	if r.Ran == steering.RanYes {
		assert.Assert(t, m.reference.runs[key] == 1 && !running)
	}
	issued, ok := m.issuedAt[key]
	recent := ok && m.now.Sub(issued) < time.Minute
	if r.Reason == steering.ReasonKeyEvicted && m.reference.runs[key] == 0 {
		assert.Assert(t, !recent, "%s is new and within the minimum prefix lifetime, but was refused as evicted", key)
	}
}

func (m *tableModel) finish(t *rapid.T) {
	if len(m.reference.running) == 0 {
		t.Skip("no key is running")
	}
	key := rapid.SampledFrom(m.issued).Filter(func(k steering.Key) bool { _, ok := m.reference.running[k]; return ok }).Draw(t, "running")
	o := Outcome{Kind: OutcomeKind(rapid.IntRange(0, 2).Draw(t, "outcome"))}
	switch o.Kind {
	case Done:
		body := strings.Repeat("a", rapid.IntRange(1, 300).Draw(t, "size"))
		m.reference.answers[key] = string(key) + body
		o.Answer = &Answer{Status: 200, Body: []byte(m.reference.answers[key])}
	case NotRun:
		m.reference.runs[key]--
	case Unknown:
		o.Refusal = steering.Refuse(steering.ReasonTargetLost, 0, "wrongly called not run")
	}
	m.end(t, key, m.reference.running[key], o)
}

func (m *tableModel) end(t *rapid.T, key steering.Key, run Run, o Outcome) {
	delete(m.reference.running, key)
	assert.Assert(t, m.table.Finish(m.now, run, o))
	assert.Assert(t, !m.table.Finish(m.now, run, Outcome{Kind: NotRun}), "a second Finish of one run took effect")
}

func (m *tableModel) checkStats(t *rapid.T) {
	s := m.table.Stats()
	var bytes int64
	for _, e := range m.table.entries {
		bytes += e.size()
	}
	assert.Equal(t, s.Bytes, bytes)
	assert.Assert(t, s.Bytes <= m.table.cfg.MaxBytes)
}

// TestKeysRunAtMostOnce checks that no key runs twice, for any interleaving of first requests,
// repeats, ends, issuers with skewed clocks, evictions, pauses and restarts.
func TestKeysRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		t.Repeat(map[string]func(*rapid.T){
			"issue":    m.issue,
			"purchase": m.completeNew,
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
			"": m.checkStats,
		})
	})
}

// Guards against a customer who is charged twice: a purchase ends, the table fills up and evicts
// its outcome, and the client repeats the purchase. An evicted key looks like a new one unless
// its epoch was sealed first.
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

// Guards against an hour in which every keyed purchase is refused after the wall clock of the
// entry VM jumps an hour ahead and back. Epochs that are sealed by the wall clock would stay
// sealed; the table measures time from its start instead.
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
		// A key with two spellings would have two entries and two executions.
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

// BenchmarkEntryMemory reports the memory that an ended entry without an answer takes, and the
// size that the table accounts for it.
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
