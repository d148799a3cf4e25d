package gateway_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a workspace that gets its allowance twice while the VM which lends it leaves: the VM went on
// lending to its own callers, and its successor lent to all others.
func TestAllowanceWhileItsOwnerLeaves(t *testing.T) {
	t.Parallel()
	const rate, size, perVM = 20.0, 3, 50
	for stopped := range size {
		t.Run(fmt.Sprint("VM ", stopped+1, " leaves"), func(t *testing.T) {
			t.Parallel()
			s := newTestCluster(t)
			s.workspace("acme", rate, "key-acme")
			s.apiKey = "key-acme"
			s.configure()
			all := s.startAll(size)
			var asking sync.WaitGroup
			ended := make(chan struct{})
			for _, v := range all {
				asking.Go(func() {
					for n := 0; ; n++ {
						select {
						case <-ended:
							return
						case <-time.After(time.Second / perVM):
							asking.Go(func() { s.request(v, fmt.Sprint("/read/", n)) })
						}
					}
				})
			}
			served := func() int { return s.targets["t1"].Arrivals() + s.targets["t2"].Arrivals() }
			time.Sleep(4 * time.Second)
			before := served()
			const span = 2500 * time.Millisecond
			all[stopped].stop()
			time.Sleep(span)
			got := served() - before
			close(ended)
			asking.Wait()
			bound := rate*span.Seconds()*1.2 + 5
			t.Logf("%d served in %v", got, span)
			assert.Check(t, float64(got) <= bound, "%d served in %v, at most %.0f allowed", got, span, bound)
		})
	}
}
