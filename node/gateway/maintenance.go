package gateway

import (
	"context"
	"runtime"
	"time"

	"heatherlock/node/gateway/volume"
	"heatherlock/steering"
	"heatherlock/steering/placement"
	"heatherlock/steering/retry"
	"heatherlock/steering/runtimes"
)

// maintain does the periodic work until ctx ends, independently of requests.
func (g *Gateway) maintain(ctx context.Context) {
	lastTraffic := time.Now()
	for ctx.Err() == nil {
		sleep(ctx, maintenanceInterval)
		g.updateRegionSplit()
		g.logMixedServices()
		g.updateMembership()
		g.updateGauges()
		g.shares.UpdateGauges(time.Now())
		g.relay.LogOutcomeCounts()
		g.relay.LogLinks()
		if time.Since(lastTraffic) >= trafficLogInterval {
			lastTraffic = time.Now()
			g.logTraffic()
			g.logWorkspaces()
		}
	}
}

// updateRegionSplit adapts the shares of affinity keys that each region keeps and sends to other
// regions to the current demand.
func (g *Gateway) updateRegionSplit() {
	demand := g.fleet.Demand()
	g.relay.WithBalancer(func(balancer *placement.Balancer, _ *retry.SharedBudget) {
		demand[g.settings.Region].AddAll(balancer.Demand(time.Now()))
		balancer.SetServiceTimes(placement.Runs(demand))
		g.regionSplit = placement.NextRegionSplit(g.regionSplit, placement.SplitInput{Demand: demand, Slots: balancer.Slots(time.Now()), OccupancyFactors: balancer.OccupancyFactors(time.Now()), Regions: g.regionCount(), MaxRegionShift: g.bounds.Load().MaxRegionShift})
		balancer.SetRegionSplit(g.regionSplit)
	})
}

// logMixedServices logs which services became mixed or are no longer. Their requests are placed in another way then.
func (g *Gateway) logMixedServices() {
	var mixed map[steering.Service]bool
	g.relay.WithBalancer(func(balancer *placement.Balancer, _ *retry.SharedBudget) { mixed = balancer.MixedServices() })
	for service, is := range mixed {
		if is != g.mixedServices[service] {
			_ = g.log.Log("msg", "service is placed in another way", "service", service, "mixed", is) // the log writer counts dropped lines
		}
	}
	g.mixedServices = mixed
}

// logTraffic logs the bytes exchanged since the last call in one line, and adds them to the
// metrics.
func (g *Gateway) logTraffic() {
	sums := g.meter.TakeSums()
	if len(sums) == 0 {
		return
	}
	_ = g.log.Log("msg", volume.LogMessage, "zone", g.settings.Zone, "bytes", sums) // the log writer counts dropped lines
	for purpose, sum := range sums {
		for distance, bytes := range sum.ByDistance() {
			g.metrics.Scope.Tagged(map[string]string{"purpose": string(purpose), "distance": distance}).Counter("gateway_exchanged_bytes").Inc(bytes)
		}
	}
}

// regionCount returns the number of regions in the settings.
func (g *Gateway) regionCount() int {
	found := make(map[steering.Region]bool)
	for _, region := range g.settings.Zones {
		found[region] = true
	}
	return len(found)
}

// updateGauges exports the current state of this VM as gauges, and logs changes of ejected and
// replaced targets.
func (g *Gateway) updateGauges() {
	scope := g.metrics.Scope
	var ejected, replaced []steering.Target
	var tries map[steering.Service]float64
	var limited int
	var weights map[steering.Service]placement.ServiceWeights
	kept := make(map[steering.Service]float64)
	var runErrors []runtimes.ClassError
	var runReportsDropped int
	g.relay.WithBalancer(func(balancer *placement.Balancer, budget *retry.SharedBudget) {
		ejected, replaced = balancer.Ejected(), balancer.Replaced()
		limited = balancer.LimitedCount()
		weights = balancer.WeightsByService()
		tries = budget.Available(time.Now())
		runErrors, runReportsDropped = balancer.RunTimes().Errors(), balancer.RunTimes().Dropped()
		for service := range g.regionSplit {
			kept[service] = g.regionSplit.LocalShare(service, g.settings.Region)
		}
	})
	g.updateRunTimeGauges(runErrors, runReportsDropped)
	g.logEjected(ejected)
	g.logReplaced(replaced)
	g.updateWeightGauges(weights)
	scope.Gauge("gateway_targets_ejected").Update(float64(len(ejected)))
	scope.Gauge("gateway_targets_replaced").Update(float64(len(replaced)))
	scope.Gauge("gateway_targets_limited").Update(float64(limited))
	scope.Gauge("gateway_cut_off").Update(boolGauge(g.relay.CutOff()))
	scope.Gauge("gateway_peers").Update(float64(g.fleet.LiveCount()))
	newest, behindFor, _ := g.reader.Behind()
	scope.Gauge("gateway_config_newest").Update(float64(newest))
	scope.Gauge("gateway_config_behind_ms").Update(float64(behindFor.Milliseconds()))
	scope.Gauge("gateway_store_age_ms").Update(float64(g.storeAge().Milliseconds()))
	scope.Gauge("gateway_store_revision").Update(float64(g.reader.Digest().Revision))
	scope.Gauge("gateway_store_epoch").Update(float64(g.store.Epoch()))
	scope.Gauge("gateway_read_rank").Update(float64(g.reader.Rank()))
	scope.Gauge("gateway_requests_running").Update(float64(g.callers.InFlight()))
	scope.Gauge("gateway_caller_connections").Update(float64(g.callers.Connections()))
	scope.Gauge("gateway_caller_connections_accepted").Update(float64(g.callers.Accepted()))
	g.buffers.UpdateGauges()
	pools, connections := g.pool.Held()
	scope.Gauge("gateway_target_pools").Update(float64(pools))
	scope.Gauge("gateway_target_connections").Update(float64(connections))
	_, toPeers := g.peerPool.Held()
	scope.Gauge("gateway_peer_connections").Update(float64(toPeers + g.passedOn.Connections()))
	scope.Gauge("gateway_goroutines").Update(float64(runtime.NumGoroutine()))
	for service, left := range tries {
		scope.Tagged(map[string]string{"service": string(service)}).Gauge("gateway_tries_left").Update(left)
	}
	for service, share := range kept {
		scope.Tagged(map[string]string{"service": string(service)}).Gauge("gateway_keys_kept").Update(share)
	}
}

func boolGauge(set bool) float64 {
	if set {
		return 1
	}
	return 0
}
