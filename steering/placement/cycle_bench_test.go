package placement_test

import (
	"fmt"
	"testing"
	"time"

	"heatherlock/steering/placement"
)

// BenchmarkRequestCycle measures a choice with its record and result, without and with run times by route.
func BenchmarkRequestCycle(b *testing.B) {
	keys := make([]string, 512)
	for i := range keys {
		keys[i] = fmt.Sprint("k", i)
	}
	for name, slowdown := range map[string]float64{"one route": 0, "run times by route": 1} {
		b.Run(name, func(b *testing.B) {
			balancer, now := newBalancer("vm", targets(200, "centro")...), start
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Millisecond)
				r := request(keys[i%len(keys)])
				r.Route, r.RouteAim = "read", r.Aim
				pick, _ := balancer.Choose(now, r)
				balancer.RequestPlaced(now, pick.Target, r.Key, pick.Trial)
				balancer.RequestEnded(now, pick.Target, placement.Report{Outcome: placement.Served, Latency: 100 * time.Millisecond,
					LoadKnown: true, Running: 1, Slowdown: slowdown, Route: r.Route, Key: r.Key}, pick.Trial, false)
			}
		})
	}
}
