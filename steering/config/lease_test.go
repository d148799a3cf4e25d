package config

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"heatherlock/steering"
)

// leaseMachine runs candidates against a store. A candidate that is not
// stepped is paused; calls may be refused, lose their reply, take effect late,
// or read a replica that lags.
type leaseMachine struct {
	now     time.Time
	records []Record // by version; records[0] stands for none
	leases  []*Lease
	late    []lateWrite
	epochs  map[int64]int // epoch -> holder
	lives   int
}

// lateWrite is a write that was given up on and may still take effect.
type lateWrite struct {
	version int64
	record  Record
}

var testTerms = Terms{TTL: 10 * time.Second, Renew: 3 * time.Second, Poll: 3 * time.Second, Margin: 500 * time.Millisecond}

func newLeaseMachine(candidates int) *leaseMachine {
	m := &leaseMachine{now: time.Unix(1000, 0), records: []Record{{}}, epochs: map[int64]int{}}
	for i := range candidates {
		m.leases = append(m.leases, nil)
		m.replace(i)
	}
	return m
}

func (m *leaseMachine) replace(i int) {
	m.lives++
	m.leases[i] = NewLease(steering.VM(fmt.Sprint(i)), steering.Incarnation(fmt.Sprint(m.lives)), testTerms)
}

func (m *leaseMachine) version() int64 { return int64(len(m.records) - 1) }

// store makes a conditional write.
func (m *leaseMachine) store(version int64, r Record) bool {
	if version != m.version() {
		return false
	}
	m.records = append(m.records, r)
	return true
}

// Advance lets time pass; whoever is not stepped meanwhile was paused.
func (m *leaseMachine) Advance(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 15000).Draw(t, "ms")) * time.Millisecond)
}

// Replace ends a candidate's process and starts another under its name.
func (m *leaseMachine) Replace(t *rapid.T) {
	m.replace(rapid.IntRange(0, len(m.leases)-1).Draw(t, "candidate"))
}

// Late lets a write that was given up on take effect.
func (m *leaseMachine) Late(t *rapid.T) {
	if len(m.late) == 0 {
		t.Skip("none")
	}
	m.store(m.late[0].version, m.late[0].record)
	m.late = m.late[1:]
}

// actionsMost bounds the calls of one step.
const actionsMost = 4

// Step lets one candidate act until it has to wait.
func (m *leaseMachine) Step(t *rapid.T) {
	l := rapid.SampledFrom(m.leases).Draw(t, "candidate")
	bystander := m.rarely(t, "bystander")
	for range actionsMost {
		switch action := l.Next(m.now, !bystander); action.Step {
		case Read:
			m.read(t, l)
		case Write:
			m.write(t, l, action)
		case Wait:
			return
		}
	}
}

// rarely draws true about one time in six.
func (m *leaseMachine) rarely(t *rapid.T, what string) bool {
	return rapid.IntRange(0, 5).Draw(t, what) == 5
}

func (m *leaseMachine) read(t *rapid.T, l *Lease) {
	if m.rarely(t, "read fails") {
		return
	}
	at := m.version()
	if m.rarely(t, "stale") {
		at = max(0, at-1)
	}
	if m.rarely(t, "pause in call") {
		m.Advance(t)
	}
	l.Observed(m.now, m.records[at], at)
}

func (m *leaseMachine) write(t *rapid.T, l *Lease, a Action) {
	fate := rapid.SampledFrom([]string{"ok", "ok", "ok", "ok", "ok", "ok", "refused", "lost", "late"}).Draw(t, "fate")
	switch fate {
	case "refused":
		l.Written(m.now, WriteRefused, 0)
		return
	case "late":
		m.late = append(m.late, lateWrite{a.Version, a.Record})
		l.Written(m.now, WriteUnknown, 0)
		return
	}
	stored := m.store(a.Version, a.Record)
	version := m.version()
	if m.rarely(t, "pause in call") {
		m.Advance(t)
	}
	switch {
	case fate == "lost":
		l.Written(m.now, WriteUnknown, 0)
	case stored:
		l.Written(m.now, WriteOK, version)
	default:
		l.Written(m.now, WriteConflict, 0)
	}
}

// Release lets a candidate give up what it holds.
func (m *leaseMachine) Release(t *rapid.T) {
	l := rapid.SampledFrom(m.leases).Draw(t, "candidate")
	if action, held := l.Release(m.now); held {
		m.write(t, l, action)
		_, holding := l.Holding(m.now)
		assert.Assert(t, !holding, "holds what it released")
	}
}

// Check: one holder at a time, and no epoch for two.
func (m *leaseMachine) Check(t *rapid.T) {
	holders := 0
	for i, l := range m.leases {
		epoch, holding := l.Holding(m.now)
		if !holding {
			continue
		}
		holders++
		owner, known := m.epochs[epoch]
		assert.Assert(t, !known || owner == i, "epoch %d held by %d and %d", epoch, owner, i)
		m.epochs[epoch] = i
	}
	assert.Assert(t, holders <= 1, "%d holders at once", holders)
}

// Symptom: two readers of one zone write its status against each other, or
// none reads for long. Sequence: pauses past the term, lost replies, writes
// that take effect late, lagging reads, replacement, release. Cause: a term
// counted from a reply or a reading instead of from the sending of the write.
func TestOneLeaseHolderAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newLeaseMachine(3)
		actions := rapid.StateMachineActions(m)
		actions["StepAgain"] = m.Step
		actions["StepMore"] = m.Step
		t.Repeat(actions)
		m.settles(t)
	})
}

// settles: once calls succeed again, somebody holds within a term and a few
// polls, and goes on holding.
func (m *leaseMachine) settles(t *rapid.T) {
	m.late = nil
	bound := m.now.Add(testTerms.TTL + 4*testTerms.Poll)
	for m.now.Before(bound.Add(30 * time.Second)) {
		holding := false
		for _, l := range m.leases {
			m.stepWell(l)
			_, holds := l.Holding(m.now)
			holding = holding || holds
		}
		assert.Assert(t, holding || m.now.Before(bound), "nobody holds at %s", m.now)
		m.now = m.now.Add(500 * time.Millisecond)
		m.Check(t)
	}
}

func (m *leaseMachine) stepWell(l *Lease) {
	for {
		action := l.Next(m.now, true)
		switch action.Step {
		case Read:
			l.Observed(m.now, m.records[m.version()], m.version())
		case Write:
			if m.store(action.Version, action.Record) {
				l.Written(m.now, WriteOK, m.version())
			} else {
				l.Written(m.now, WriteConflict, 0)
			}
		case Wait:
			return
		}
	}
}
