package gateway_test

import (
	"testing"
	"time"
)

// Guards against callers without a VM to use while one of the few that are named is gone.
func TestOthersAreNamedWhenAnAbleVMLeaves(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	s.able = 2
	var all []*vm
	for n := range 6 {
		all = append(all, s.start(n+1))
	}
	named := func(by *vm, want ...*vm) bool {
		got := s.named(by)
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
		within(t, 5*time.Second, "the able ones are named", func() bool { return named(v, all[0], all[1]) })
	}
	all[0].stop()
	within(t, 2*time.Second, "another one is named", func() bool { return len(s.named(all[2])) >= 2 && !named(all[2], all[0], all[1]) })
}
