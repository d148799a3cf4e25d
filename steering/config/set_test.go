package config

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// replicationMachine is a rapid state machine that propagates the platform's objects
// to nodes through stale lists, delayed watches and late, repeated or incomplete
// offers. The reference is the history of the platform: a set at version v must hold
// the objects of revision v.
type replicationMachine struct {
	history []map[ID]Object // by revision
	events  []Object        // events[i] made revision i+1
	nodes   []*Set
	cursors []int64
	offers  []Offer // in transit, for any node
}

func newReplicationMachine(nodes int) *replicationMachine {
	m := &replicationMachine{history: []map[ID]Object{{}}}
	for range nodes {
		m.nodes = append(m.nodes, new(Set))
		m.cursors = append(m.cursors, 0)
	}
	return m
}

func (m *replicationMachine) revision() int64 { return int64(len(m.history) - 1) }

func (m *replicationMachine) node(t *rapid.T) int {
	return rapid.IntRange(0, len(m.nodes)-1).Draw(t, "node")
}

// Write stores or deletes an object on the platform.
func (m *replicationMachine) Write(t *rapid.T) {
	id := ID{Kind: "Service", Name: rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "name")}
	next := maps.Clone(m.history[m.revision()])
	change := Object{ID: id, Version: m.revision() + 1}
	if _, stored := next[id]; stored && rapid.Bool().Draw(t, "delete") {
		change.Deleted = true
		delete(next, id)
	} else {
		change.Value = []byte(fmt.Sprintf("value %d", change.Version))
		next[id] = change
	}
	m.history = append(m.history, next)
	m.events = append(m.events, change)
}

// List lets a node list the platform at any revision, as from a lagging replica.
func (m *replicationMachine) List(t *rapid.T) {
	i := m.node(t)
	at := rapid.Int64Range(0, m.revision()).Draw(t, "at")
	next, _ := m.nodes[i].ApplyList(slices.Collect(maps.Values(m.history[at])), at)
	m.adopt(t, i, next)
	if at >= m.nodes[i].Version() {
		m.cursors[i] = max(m.cursors[i], at)
	}
}

// Watch delivers changes from about the node's cursor up to any revision. The response
// may come after the node has received newer versions from peers.
func (m *replicationMachine) Watch(t *rapid.T) {
	i := m.node(t)
	if m.nodes[i].Version() == 0 {
		t.Skip("a node lists first")
	}
	since := rapid.Int64Range(m.cursors[i]/2, max(m.cursors[i], m.nodes[i].Version())).Draw(t, "since")
	to := rapid.Int64Range(since, m.revision()).Draw(t, "to")
	if to < m.nodes[i].Version() && to > m.cursors[i] {
		m.cursors[i] = to
	}
	next, _ := m.nodes[i].ApplyWatch(m.events[since:to])
	m.adopt(t, i, next)
	m.cursors[i] = max(m.cursors[i], m.nodes[i].Version())
}

// Send creates an offer for a node at any version. It may lack an object.
func (m *replicationMachine) Send(t *rapid.T) {
	from := m.nodes[m.node(t)]
	delta := from.Since(rapid.Int64Range(0, m.revision()).Draw(t, "have"))
	offer := Offer(delta)
	if len(offer.Objects) > 0 && rapid.Bool().Draw(t, "tamper") {
		drop := rapid.IntRange(0, len(offer.Objects)-1).Draw(t, "drop")
		offer.Objects = slices.Delete(slices.Clone(offer.Objects), drop, drop+1)
	}
	m.offers = append(m.offers, offer)
}

// Deliver applies any offer created so far to any node. The offer is kept, so that it
// may be delivered again.
func (m *replicationMachine) Deliver(t *rapid.T) {
	if len(m.offers) == 0 {
		t.Skip("no offer in transit")
	}
	i := m.node(t)
	offer := rapid.SampledFrom(m.offers).Draw(t, "offer")
	next, verdict := m.nodes[i].ApplyOffer(offer)
	assert.Equal(t, verdict == Adopted, next != m.nodes[i])
	m.adopt(t, i, next)
}

func (m *replicationMachine) adopt(t *rapid.T, i int, next *Set) {
	assert.Assert(t, next.Version() >= m.nodes[i].Version(), "version decreased from %d to %d", m.nodes[i].Version(), next.Version())
	m.nodes[i] = next
}

// Check asserts that every set equals the history at its version.
func (m *replicationMachine) Check(t *rapid.T) {
	for _, set := range m.nodes {
		want := m.history[set.Version()]
		assert.Equal(t, set.Len(), len(want))
		for id, o := range want {
			got, ok := set.Get(id)
			assert.Assert(t, ok, "version %d lacks %v", set.Version(), id)
			assert.Equal(t, got.Version, o.Version)
			assert.Equal(t, string(got.Value), string(o.Value))
		}
	}
}

// Guards against a node that returns to an older configuration, or reports a version
// and lacks one of its objects. This happens if updates rely on the order of messages
// or have no checksum, after lists from lagging replicas, late watch responses, and
// offers that are late, repeated, incomplete or computed for another version.
func TestSetsFollowThePlatformAndNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newReplicationMachine(3)
		t.Repeat(rapid.StateMachineActions(m))
		m.assertConverges(t)
	})
}

// assertConverges asserts that all nodes reach the configuration of the platform once
// a reader has listed it and the nodes can fetch from the reader.
func (m *replicationMachine) assertConverges(t *rapid.T) {
	reader, _ := m.nodes[0].ApplyList(slices.Collect(maps.Values(m.history[m.revision()])), m.revision())
	for i := range m.nodes {
		delta := reader.Since(m.nodes[i].Version())
		next, verdict := m.nodes[i].ApplyOffer(Offer(delta))
		if verdict == ChecksumMismatch {
			whole := reader.Since(0)
			next, verdict = m.nodes[i].ApplyOffer(Offer{Whole: true, Version: whole.Version, Sum: whole.Sum, Objects: whole.Objects})
		}
		assert.Assert(t, verdict == Adopted || m.nodes[i].Version() == m.revision(), "%s", verdict)
		m.nodes[i] = next
		assert.Equal(t, next.Sum(), reader.Sum())
	}
	m.Check(t)
}

// Guards against a node that was partitioned and keeps a deleted object: after more
// deletions than a set keeps, a delta for an old version would lack some of them.
func TestSinceReturnsFullSetWithoutOldTombstones(t *testing.T) {
	set := new(Set)
	set, _ = set.ApplyList([]Object{{ID: ID{"Service", "kept"}, Version: 1}}, 1)
	version := int64(1)
	for i := range maxTombstones + 10 {
		id := ID{"Shift", fmt.Sprint(i)}
		set, _ = set.ApplyWatch([]Object{{ID: id, Version: version + 1}, {ID: id, Version: version + 2, Deleted: true}})
		version += 2
	}
	assert.Assert(t, set.Since(3).Whole)
	recent := set.Since(version - 10)
	assert.Assert(t, !recent.Whole)
	assert.Equal(t, len(recent.Objects), 5)
}

// Guards against a node that permanently lacks an object: a platform reading at the
// same version with other objects has to replace the set.
func TestListRepairsDivergentSet(t *testing.T) {
	wrong, _ := new(Set).ApplyList([]Object{{ID: ID{"Cap", "a"}, Version: 2}}, 5)
	right, verdict := wrong.ApplyList([]Object{{ID: ID{"Cap", "a"}, Version: 2}, {ID: ID{"Cap", "b"}, Version: 4}}, 5)
	assert.Equal(t, verdict, Repaired)
	assert.Equal(t, right.Len(), 2)
}
