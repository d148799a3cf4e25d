package loadreport

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"heatherlock/steering"
	"heatherlock/steering/balance"
)

func (w *weights) logChanges(changes []balance.Change) {
	slices.SortFunc(changes, func(a, b balance.Change) int { return cmp.Compare(b.Load, a.Load) })
	var rows []string
	for _, c := range changes[:min(len(changes), maxLoggedChanges)] {
		rows = append(rows, fmt.Sprintf("%s %g to %g, load %.2f of %.0f responses, %d ms ago", c.Target, c.From, c.To, c.Load, c.Responses, c.ReportedAgo.Milliseconds()))
	}
	_ = w.service.cfg.Log.Log("msg", "target weights changed", "region", w.service.cfg.Region, "count", len(changes), "targets", rows) // the log writer counts dropped lines
	w.service.cfg.Scope.Counter("gateway_weight_changes").Inc(int64(len(changes)))
}

// BalancerStatus describes the weights of a region as a VM has them in force.
type BalancerStatus struct {
	Region   steering.Region
	Balancer steering.VM
	// From is the VM whose weights are in force, Age their age.
	From   steering.VM
	Age    time.Duration
	Number uint32
}

// Balancers returns the balancers of the regions, if services use weights.
func (s *Service) Balancers(now time.Time) []BalancerStatus {
	w := s.weights
	if w == nil {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []BalancerStatus
	for _, region := range s.cfg.Regions {
		if w.balancers[region] == "" {
			continue
		}
		status := BalancerStatus{Region: region, Balancer: w.balancers[region]}
		if h := w.holders[region]; h != nil {
			var term balance.Term
			status.From, term, status.Age = h.From(now)
			status.Number = term.Number
		}
		all = append(all, status)
	}
	return all
}
