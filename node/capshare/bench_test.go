package capshare

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/steering"
)

// BenchmarkAdmit measures the admission of a request that a cap applies to, and of one that no
// cap applies to.
func BenchmarkAdmit(b *testing.B) {
	f := newFleet(b, 1_000_000, "sur-a-1")
	n := f.nodes[0]
	for deadline := time.Now().Add(20 * time.Second); n.use().Free == 0; time.Sleep(100 * time.Millisecond) {
		assert.Assert(b, time.Now().Before(deadline), "no free permits before the deadline")
	}
	for _, route := range []struct {
		name string
		home string
	}{{"capped", string(home)}, {"free", "elsewhere"}} {
		b.Run(route.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				permit, err := n.caps.Admit(f.ctx, service, steering.Place(route.home), "sur-1")
				if err == nil {
					permit.Done(false)
				}
			}
		})
	}
}
