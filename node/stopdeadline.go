package node

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"heatherlock/steering"
	"heatherlock/steering/routing"
)

// deadlinePollInterval is the interval at which planned stops are checked for passed deadlines.
const deadlinePollInterval = time.Second

// enforceStopDeadlines aborts the requests that remain on stopped targets once the deadline of a
// planned stop with cutAtDeadline has passed, and kills this entry VM if such a stop covers it.
// Every entry VM aborts only the requests that it relays. A stop without cutAtDeadline never aborts
// a request: a passed deadline only shows in its status.
func (n *Node) enforceStopDeadlines(ctx context.Context) error {
	ticker := time.NewTicker(deadlinePollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			n.abortOverdue(now)
		}
	}
}

func (n *Node) abortOverdue(now time.Time) {
	snapshot := n.components.configs.Snapshot()
	if snapshot == nil {
		return
	}
	for _, stop := range snapshot.Stops {
		if !stop.AbortAtDeadline || stop.Deadline.IsZero() || now.Before(stop.Deadline) {
			continue
		}
		if stop.Kind == routing.StopEntryVM {
			n.killSelf(stop)
			continue
		}
		n.abortRequests(snapshot, stop)
	}
}

func (n *Node) killSelf(stop *routing.Stop) {
	if stop.Subject != string(n.settings.VM) {
		return
	}
	level.Warn(n.log).Log("msg", "planned stop reached its deadline; terminating this entry VM", "stop", stop.Name, "inFlight", n.components.forward.InFlight())
	n.Kill()
}

func (n *Node) abortRequests(s *routing.Snapshot, stop *routing.Stop) {
	covered := make(map[steering.Target]bool)
	for _, targets := range stopTargetsByPool(s, stop) {
		for target := range targets {
			covered[target] = true
		}
	}
	aborted := n.components.forward.CancelTries(func(t steering.Target) bool { return covered[t] })
	if aborted > 0 {
		level.Warn(n.log).Log("msg", "planned stop reached its deadline; aborted its remaining requests", "stop", stop.Name, "requests", aborted)
	}
}
