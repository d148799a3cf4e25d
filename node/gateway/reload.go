package gateway

import (
	"reflect"

	"heatherlock/platform"
	"heatherlock/steering/placement"
	"heatherlock/steering/retry"
)

// Reload applies settings that were read again. Bounds take effect at once; changes of listener
// addresses or of the store address need a restart. If err is not nil, the current settings stay
// in effect. It is safe for concurrent use.
func (g *Gateway) Reload(next *platform.Settings, err error) {
	g.reloadMu.Lock()
	defer g.reloadMu.Unlock()
	if err != nil {
		if g.lastSettingsError != err.Error() {
			_ = g.log.Log("msg", "new settings refused, the old stay", "err", err) // the log writer counts dropped lines
		}
		g.lastSettingsError = err.Error()
		return
	}
	g.lastSettingsError = ""
	if reflect.DeepEqual(next, g.currentSettings) {
		return
	}
	g.currentSettings = next
	g.applyBounds(next.Bounds)
	_ = g.log.Log("msg", "settings read again", "restart_needed", next.Listen != g.settings.Listen || next.Store != g.settings.Store) // the log writer counts dropped lines
}

// applyBounds passes new bounds to the components that enforce them.
func (g *Gateway) applyBounds(b platform.Bounds) {
	g.bounds.Store(&b)
	g.reader.SetPropagationBound(min(b.Drain, b.MaxConfigApplyTime))
	g.relay.WithBalancer(func(balancer *placement.Balancer, budget *retry.SharedBudget) {
		balancer.SetColdSlack(b.ColdSlack)
		budget.Configure(retryConfig(b))
	})
}

func retryConfig(b platform.Bounds) retry.SharedBudgetConfig {
	return retry.SharedBudgetConfig{Ratio: b.RetryRatio, Slack: b.RetrySlack, Window: b.RetryWindow}
}
