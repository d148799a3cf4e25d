package placement_test

import (
	"fmt"
	"testing"
	"time"

	"heatherlock/steering/placement"
)

// BenchmarkRequestCycle measures a choice, with its record and result, on a service that is not mixed and on one
// whose run times are predicted by route.
func BenchmarkRequestCycle(b *testing.B) {
	for _, c := range []struct {
		name     string
		slowdown float64
	}{{"one route", 0}, {"run times by route", 1}} {
		b.Run(c.name, func(b *testing.B) {
			balancer := newBalancer("vm", targets(200, "centro")...)
			now := start
			keys := make([]string, 512)
			for i := range keys {
				keys[i] = fmt.Sprint("k", i)
			}
			report := placement.Report{Outcome: placement.Served, Latency: 100 * time.Millisecond, LoadKnown: true, Running: 1, Slowdown: c.slowdown, Route: "read"}
			serveOne := func(i int) {
				now = now.Add(time.Millisecond)
				r := request(keys[i%len(keys)])
				r.Route, r.RouteAim = "read", r.Aim
				pick, refusal := balancer.Choose(now, r)
				if refusal != nil {
					b.Fatal(refusal.Reason)
				}
				balancer.RequestPlaced(now, pick.Target, r.Key, pick.Trial)
				report.Key = r.Key
				balancer.RequestEnded(now, pick.Target, report, pick.Trial, false)
			}
			for i := range 2000 {
				serveOne(i)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				serveOne(i)
			}
		})
	}
}
