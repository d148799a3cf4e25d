package gateway

import (
	"time"

	"heatherlock/node/gateway/loadreport"
	"heatherlock/steering"
	"heatherlock/steering/placement"
	"heatherlock/steering/retry"
)

// IDs of the sections that this package adds to load reports.
const (
	sectionRunTimes = 16
	sectionShares   = 17
)

// registerSections makes VMs tell each other the run times of routes and the demand of workspaces. Both are
// empty, and nothing is sent, where no service needs them.
func (g *Gateway) registerSections() {
	g.loadReports.Register(loadreport.Section{ID: sectionRunTimes,
		Fill: func(now time.Time, _ steering.Region) (report []byte) {
			g.relay.WithBalancer(func(b *placement.Balancer, _ *retry.SharedBudget) { report = b.RunTimes().Report(now) })
			return report
		},
		Apply: func(now time.Time, from steering.VM, data []byte) {
			g.relay.WithBalancer(func(b *placement.Balancer, _ *retry.SharedBudget) {
				_ = b.RunTimes().Merge(now, from, data) // the model counts what it drops
			})
		}})
	g.loadReports.Register(loadreport.Section{ID: sectionShares,
		Fill:  func(now time.Time, _ steering.Region) []byte { return g.shares.Report(now) },
		Apply: func(now time.Time, from steering.VM, data []byte) { g.shares.Merge(now, from, data) }})
}
