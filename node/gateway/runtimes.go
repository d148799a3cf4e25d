package gateway

import (
	"time"

	"heatherlock/node/gateway/status"
	"heatherlock/steering"
	"heatherlock/steering/placement"
	"heatherlock/steering/runtimes"
)

// runTimeRows returns the predicted run times of the services for which they are in use.
func runTimeRows(now time.Time, b *placement.Balancer) map[steering.Service][]status.RunTime {
	rows := make(map[steering.Service][]status.RunTime)
	used := b.RunTimesInUse(now)
	for _, e := range b.RunTimes().Errors() {
		if !used[e.Class.Service] {
			continue
		}
		usual := b.RunTimes().Predict(now, runtimes.Query{Class: e.Class, Warm: runtimes.Warm})
		rows[e.Class.Service] = append(rows[e.Class.Service], status.RunTime{Route: e.Class.Route,
			MedianMs: milliseconds(usual.Median), P90Ms: milliseconds(usual.P90),
			Samples: e.Samples, Deviation: e.Deviation, AboveP90: e.AboveP90})
	}
	return rows
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// updateRunTimeGauges exports how well run times are predicted, by service and route.
func (g *Gateway) updateRunTimeGauges(errors []runtimes.ClassError, dropped int) {
	scope := g.metrics.Scope
	scope.Gauge("gateway_run_time_reports_dropped").Update(float64(dropped))
	for _, e := range errors {
		service, route := string(e.Class.Service), e.Class.Route
		scope.Tagged(map[string]string{"service": service, "route": route}).Gauge("gateway_run_time_deviation").Update(e.Deviation)
		scope.Tagged(map[string]string{"service": service, "route": route}).Gauge("gateway_run_time_above_p90").Update(e.AboveP90)
	}
}
