package gateway_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/standin/targetlinks"
)

// Guards against callers that are directed to a VM which has lost its links to all targets, and against one
// that is left out after it reaches them again.
func TestDirectoryLeavesOutVMsCutOffFromAllTargets(t *testing.T) {
	t.Parallel()
	s := newTestCluster(t)
	for n := range 4 {
		s.addTarget(fmt.Sprint("u", n))
	}
	all := s.startAll(4)
	s.targetLinks[0].Set(targetlinks.Reset)
	s.request(all[0], "/read/1")
	named := func(v, in *vm) bool { return slices.Contains(s.listed(in), v.settings.Listen.Callers) }
	for _, in := range all {
		within(t, time.Second, "left out", func() bool { return !named(all[0], in) })
		assert.Equal(t, len(s.listed(in)), 3)
	}
	assert.Check(t, s.ready(all[0]), "it serves its callers through others")
	s.targetLinks[0].Set(targetlinks.Open)
	for _, in := range all {
		within(t, 2*time.Second, "named again", func() bool { return named(all[0], in) })
	}
}

// Guards against a directory that names nobody while all VMs have lost their links to targets, and against
// requests that are held although no VM can serve them.
func TestAllVMsCutOffRefuseAtOnce(t *testing.T) {
	t.Parallel()
	s := newTestCluster(t)
	all := s.startAll(3)
	for _, l := range s.targetLinks {
		l.Set(targetlinks.Hang)
	}
	for _, v := range all {
		s.request(v, "/read/1")
	}
	time.Sleep(500 * time.Millisecond)
	for _, v := range all {
		assert.Equal(t, len(s.listed(v)), 3)
		sent := time.Now()
		assert.Equal(t, s.request(v, "/read/2"), 503)
		assert.Check(t, time.Since(sent) < 150*time.Millisecond, "held for %v", time.Since(sent))
	}
	for _, l := range s.targetLinks {
		l.Set(targetlinks.Open)
	}
	for _, v := range all {
		within(t, 2*time.Second, "served again", func() bool { return s.request(v, "/read/3") == 200 })
	}
}

// Guards against directory responses with empty addresses, at which callers connect to nobody, while all VMs but
// one have lost their links to targets.
func TestDirectoryWhileOneVMReachesTargets(t *testing.T) {
	t.Parallel()
	s := newTestCluster(t)
	all := s.startAll(3)
	for _, l := range s.targetLinks[1:] {
		l.Set(targetlinks.Reset)
	}
	for _, v := range all[1:] {
		s.request(v, "/read/1")
	}
	time.Sleep(time.Second)
	for _, v := range all {
		listed := s.listed(v)
		assert.Equal(t, len(listed), 3, "%v", listed)
		assert.Assert(t, !slices.Contains(listed, ""), "%v", listed)
	}
}
