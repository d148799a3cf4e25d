package config

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"heatherlock/steering"
)

// leaseMachine is a rapid state machine that runs candidates against a store. A
// candidate that is not stepped is paused. Calls may be rejected, lose their response,
// take effect late, or read a lagging replica.
type leaseMachine struct {
	now           time.Time
	records       []Record // by version; records[0] means that none is stored
	leases        []*Lease
	delayedWrites []delayedWrite
	epochs        map[int64]int // candidate that held the lease, by epoch
	incarnations  int
}

// delayedWrite is a write that timed out for its sender and may still take effect.
type delayedWrite struct {
	version int64
	record  Record
}

var testTerms = LeaseTiming{TTL: 10 * time.Second, Renew: 3 * time.Second, Poll: 3 * time.Second, Margin: 500 * time.Millisecond}

func newLeaseMachine(candidates int) *leaseMachine {
	m := &leaseMachine{now: time.Unix(1000, 0), records: []Record{{}}, epochs: map[int64]int{}}
	for i := range candidates {
		m.leases = append(m.leases, nil)
		m.replace(i)
	}
	return m
}

func (m *leaseMachine) replace(i int) {
	m.incarnations++
	m.leases[i] = NewLease(steering.VM(fmt.Sprint(i)), steering.Incarnation(fmt.Sprint(m.incarnations)), testTerms)
}

func (m *leaseMachine) version() int64 { return int64(len(m.records) - 1) }

// store makes a conditional write and reports whether it took effect.
func (m *leaseMachine) store(version int64, r Record) bool {
	if version != m.version() {
		return false
	}
	m.records = append(m.records, r)
	return true
}

// Advance moves the clock.
func (m *leaseMachine) Advance(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 15000).Draw(t, "ms")) * time.Millisecond)
}

// Replace ends a candidate's process and starts another one with the same VM name.
func (m *leaseMachine) Replace(t *rapid.T) {
	m.replace(rapid.IntRange(0, len(m.leases)-1).Draw(t, "candidate"))
}

// Late lets the oldest delayed write take effect.
func (m *leaseMachine) Late(t *rapid.T) {
	if len(m.delayedWrites) == 0 {
		t.Skip("none")
	}
	m.store(m.delayedWrites[0].version, m.delayedWrites[0].record)
	m.delayedWrites = m.delayedWrites[1:]
}

// maxActions is the maximum number of actions in one step.
const maxActions = 4

// Step runs one VM, which in a few cases is not a candidate, until it has to wait.
func (m *leaseMachine) Step(t *rapid.T) {
	l := rapid.SampledFrom(m.leases).Draw(t, "candidate")
	nonCandidate := m.rarely(t, "bystander")
	for range maxActions {
		switch action := l.Next(m.now, !nonCandidate); action.Step {
		case Read:
			m.read(t, l)
		case Write:
			m.write(t, l, action)
		case Wait:
			return
		}
	}
}

// rarely draws true in about one of six cases.
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
	l.ObserveRecord(m.now, m.records[at], at)
}

func (m *leaseMachine) write(t *rapid.T, l *Lease, a Action) {
	result := rapid.SampledFrom([]string{"ok", "ok", "ok", "ok", "ok", "ok", "refused", "lost", "late"}).Draw(t, "fate")
	switch result {
	case "refused":
		l.ObserveWrite(m.now, WriteRefused, 0)
		return
	case "late":
		m.delayedWrites = append(m.delayedWrites, delayedWrite{a.Version, a.Record})
		l.ObserveWrite(m.now, WriteUnknown, 0)
		return
	}
	stored := m.store(a.Version, a.Record)
	version := m.version()
	if m.rarely(t, "pause in call") {
		m.Advance(t)
	}
	switch {
	case result == "lost":
		l.ObserveWrite(m.now, WriteUnknown, 0)
	case stored:
		l.ObserveWrite(m.now, WriteOK, version)
	default:
		l.ObserveWrite(m.now, WriteConflict, 0)
	}
}

// Release makes a random candidate release the lease if it holds it.
func (m *leaseMachine) Release(t *rapid.T) {
	l := rapid.SampledFrom(m.leases).Draw(t, "candidate")
	if action, held := l.Release(m.now); held {
		m.write(t, l, action)
		_, holding := l.Holding(m.now)
		assert.Assert(t, !holding, "holds the lease after its release")
	}
}

// Check asserts that at most one candidate holds the lease, and that no two
// candidates ever hold it with the same epoch.
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

// Guards against two readers in one zone that overwrite each other's status, and
// against a zone without a reader. This happens if the validity of the lease is
// counted from the response or from a reading instead of from the time at which the
// write was sent, after pauses longer than the TTL, lost responses, delayed writes,
// stale readings, replacement or release.
func TestOneLeaseHolderAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newLeaseMachine(3)
		actions := rapid.StateMachineActions(m)
		actions["StepAgain"] = m.Step
		actions["StepMore"] = m.Step
		t.Repeat(actions)
		m.assertSettles(t)
	})
}

// assertSettles asserts that, once calls succeed again, a candidate holds the lease
// within the TTL and four poll intervals, and that the lease stays held.
func (m *leaseMachine) assertSettles(t *rapid.T) {
	m.delayedWrites = nil
	bound := m.now.Add(testTerms.TTL + 4*testTerms.Poll)
	for m.now.Before(bound.Add(30 * time.Second)) {
		holding := false
		for _, l := range m.leases {
			m.stepWithoutFaults(l)
			_, holds := l.Holding(m.now)
			holding = holding || holds
		}
		assert.Assert(t, holding || m.now.Before(bound), "no holder at %s", m.now)
		m.now = m.now.Add(500 * time.Millisecond)
		m.Check(t)
	}
}

func (m *leaseMachine) stepWithoutFaults(l *Lease) {
	for {
		action := l.Next(m.now, true)
		switch action.Step {
		case Read:
			l.ObserveRecord(m.now, m.records[m.version()], m.version())
		case Write:
			if m.store(action.Version, action.Record) {
				l.ObserveWrite(m.now, WriteOK, m.version())
			} else {
				l.ObserveWrite(m.now, WriteConflict, 0)
			}
		case Wait:
			return
		}
	}
}
