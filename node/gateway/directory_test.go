package gateway_test

import (
	"testing"
	"time"
)

// Guards against callers that have no VM to use after one of the few high-capacity VMs in their
// directory response has stopped.
func TestDirectoryReplacesHighCapacityVMThatLeaves(t *testing.T) {
	t.Parallel()
	s := newTestCluster(t)
	s.largeVMs = 2
	var all []*vm
	for n := range 6 {
		all = append(all, s.start(n+1))
	}
	listed := func(by *vm, want ...*vm) bool {
		got := s.listed(by)
		for _, v := range want {
			found := false
			for _, address := range got {
				found = found || address == v.settings.Listen.Callers
			}
			if !found {
				return false
			}
		}
		return len(got) == len(want)
	}
	for _, v := range all {
		within(t, 5*time.Second, "the high-capacity VMs are listed", func() bool { return listed(v, all[0], all[1]) })
	}
	all[0].stop()
	within(t, 2*time.Second, "another VM is listed", func() bool { return len(s.listed(all[2])) >= 2 && !listed(all[2], all[0], all[1]) })
}
