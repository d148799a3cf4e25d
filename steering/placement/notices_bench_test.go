package placement_test

import (
	"fmt"
	"testing"
	"time"

	"heatherlock/steering/placement"
)

// BenchmarkChooseAmongLimitedTargets measures a choice while a tenth of the targets name limits.
func BenchmarkChooseAmongLimitedTargets(b *testing.B) {
	for _, limited := range []int{0, 20} {
		b.Run(fmt.Sprint(limited, " of 200"), func(b *testing.B) {
			balancer, all := newNoticeBalancer(200)
			now := time.Unix(1000, 0)
			for _, t := range all[:limited] {
				balancer.Heard(now, t, limitOf(2))
			}
			r := placement.Request{Service: "svc", Region: "centro", Aim: 300 * time.Millisecond}
			keys := make([]string, 512)
			for i := range keys {
				keys[i] = fmt.Sprint("k", i)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				r.Key = keys[i%len(keys)]
				balancer.Choose(now, r)
			}
		})
	}
}
