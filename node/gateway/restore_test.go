package gateway_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/standin/metastore"
)

const (
	// configBound is how soon after the store has accepted a configuration it must be in force.
	configBound = 2500 * time.Millisecond
	// lostRevisions is how many revisions the store loses when it is restored.
	lostRevisions = 200
)

// restoreAfterLosses restores the store from a copy that lacks the latest revisions, all of which the
// VMs have read, and calls write before any VM can read from the store again.
func (s *testCluster) restoreAfterLosses(write func()) {
	copied := s.store.Copy()
	s.writeUnrelated(lostRevisions)
	time.Sleep(2 * configBound)
	s.store.SetFaults(metastore.Faults{Busy: metastore.All})
	s.store.Restore(copied)
	write()
	s.store.SetFaults(metastore.Faults{})
}

// writeUnrelated raises the revision of the store by n.
func (s *testCluster) writeUnrelated(n int) {
	for range n {
		s.store.Put("unrelated", "counter", s.number.Add(1))
	}
}

// Guards against a configuration that no VM ever puts in force, because the store was restored from
// an older copy and gave the configuration a revision that VMs had read before.
func TestConfigWrittenAfterStoreRestoreComesIntoForce(t *testing.T) {
	t.Parallel()
	s := newTestCluster(t)
	all := s.startAll(4)
	s.restoreAfterLosses(func() {
		s.route("added", "safe")
		s.configure()
		s.writeUnrelated(lostRevisions + 100)
	})
	for _, v := range all {
		within(t, configBound, "the added route on "+string(v.settings.VM), func() bool { return s.request(v, "/added/1") == 200 })
	}
}

// Guards against requests to a target that leaves, because the store was restored from an older copy
// and VMs rank what they knew before above what one of them has read since.
func TestLeavingAfterStoreRestoreIsKnownToAllVMs(t *testing.T) {
	t.Parallel()
	s := newTestCluster(t)
	all := s.startAll(4)
	s.restoreAfterLosses(func() {})
	time.Sleep(drainBound)
	s.register("t1", "draining", 7)
	time.Sleep(drainBound)
	before := s.targets["t1"].Arrivals()
	for i := range 80 {
		assert.Equal(t, s.request(all[i%len(all)], fmt.Sprint("/read/", i)), 200)
	}
	assert.Check(t, s.targets["t1"].Arrivals() == before, "%d requests", s.targets["t1"].Arrivals()-before)
}

const entryVMRecords = "heatherlock-entry-vms"

// Guards against entry VMs that a VM which starts later does not find, because their records were lost
// when the store was restored, also if the store turns one of them away.
func TestLostRecordsOfVMsAreWrittenAgain(t *testing.T) {
	t.Parallel()
	s := newTestCluster(t)
	s.links = newLinks(updateTestMegabits)
	copied := s.store.Copy()
	all := s.startAll(3)
	s.links.blockStore(all[2])
	s.store.Restore(copied)
	within(t, 4*time.Second, "all records", func() bool { return len(s.store.Names(entryVMRecords)) == 3 })
	calls := s.store.Calls()
	time.Sleep(configBound)
	assert.Check(t, s.store.Calls()-calls < 20, "%d calls in %v", s.store.Calls()-calls, configBound)
}

// Guards against a VM that has ended and is greeted and named to callers, because its record is back in
// a restored store.
func TestRecordOfEndedVMIsRemovedAgain(t *testing.T) {
	t.Parallel()
	s := newTestCluster(t)
	all := s.startAll(3)
	copied := s.store.Copy()
	all[2].stop()
	assert.NilError(t, <-all[2].done)
	within(t, 4*time.Second, "its record is gone", func() bool { return len(s.store.Names(entryVMRecords)) == 2 })
	time.Sleep(drainBound)
	s.store.Restore(copied)
	assert.Equal(t, len(s.store.Names(entryVMRecords)), 3)
	within(t, 4*time.Second, "its record is gone again", func() bool { return len(s.store.Names(entryVMRecords)) == 2 })
	for _, v := range all[:2] {
		assert.Equal(t, len(s.listed(v)), 2)
	}
}

// Guards against a VM that starts after the store was restored and uses a target whose leaving the store has lost.
func TestVMThatStartsIsToldOfLeavingThatTheStoreLost(t *testing.T) {
	t.Parallel()
	s := newTestCluster(t)
	s.startAll(2)
	copied := s.store.Copy()
	s.register("t1", "draining", 7)
	time.Sleep(drainBound)
	s.store.Restore(copied)
	started := s.start(3)
	within(t, 5*time.Second, "ready", func() bool { return s.ready(started) })
	within(t, 5*time.Second, "told", func() bool { return s.metric(started, "heatherlock_gateway_departures_asked", "whole") > 0 })
	before := s.targets["t1"].Arrivals()
	for i := range 40 {
		assert.Equal(t, s.request(started, fmt.Sprint("/read/", i)), 200)
	}
	assert.Check(t, s.targets["t1"].Arrivals() == before, "%d requests", s.targets["t1"].Arrivals()-before)
}
