package gateway

import (
	"reflect"

	"heatherlock/platform"
	"heatherlock/steering/placement"
	"heatherlock/steering/retry"
)

// Reload takes in settings that were read again: bounds are in force at once,
// what the listeners and the store's address depend on needs a restart. With err
// the old settings stay.
func (g *Gateway) Reload(next *platform.Settings, err error) {
	g.reload.Lock()
	defer g.reload.Unlock()
	if err != nil {
		if g.badSettings != err.Error() {
			_ = g.log.Log("msg", "new settings refused, the old stay", "err", err) // the writer counts what it drops
		}
		g.badSettings = err.Error()
		return
	}
	g.badSettings = ""
	if reflect.DeepEqual(next, g.settingsNow) {
		return
	}
	g.settingsNow = next
	g.useBounds(next.Bounds)
	_ = g.log.Log("msg", "settings read again", "restart_needed", next.Listen != g.settings.Listen || next.Store != g.settings.Store) // as above
}

// useBounds puts bounds in force.
func (g *Gateway) useBounds(b platform.Bounds) {
	g.bounds.Store(&b)
	g.reader.SetBound(min(b.Drain, b.Apply))
	g.relay.WithBalancer(func(balancer *placement.Balancer, budget *retry.SharedBudget) {
		balancer.SetColdSlack(b.ColdSlack)
		budget.Configure(retryConfig(b))
	})
}

func retryConfig(b platform.Bounds) retry.SharedBudgetConfig {
	return retry.SharedBudgetConfig{Ratio: b.RetryRatio, Slack: b.RetrySlack, Window: b.RetryWindow}
}
