package node

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"heatherlock/steering"
	"heatherlock/steering/routing"
)

// cutPoll is how often planned stops are looked at for a deadline to keep.
const cutPoll = time.Second

// cutLoop cuts what is left on stopped targets at the deadline of stops that
// ask for it, and this entry VM itself. Every entry VM cuts its own requests.
// Stops without cutAtDeadline never cut anything: passing their deadline only
// shows in the status.
func (n *Node) cutLoop(ctx context.Context) error {
	ticker := time.NewTicker(cutPoll)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			n.cutDue(now)
		}
	}
}

func (n *Node) cutDue(now time.Time) {
	snapshot := n.parts.configs.Snapshot()
	if snapshot == nil {
		return
	}
	for _, stop := range snapshot.Stops {
		if !stop.AbortAtDeadline || stop.Deadline.IsZero() || now.Before(stop.Deadline) {
			continue
		}
		if stop.Kind == routing.StopEntryVM {
			n.cutSelf(stop)
			continue
		}
		n.cutTargets(snapshot, stop)
	}
}

func (n *Node) cutSelf(stop *routing.Stop) {
	if stop.Subject != string(n.settings.VM) {
		return
	}
	level.Warn(n.log).Log("msg", "planned stop cuts this entry VM at its deadline", "stop", stop.Name, "inFlight", n.parts.forward.InFlight())
	n.Kill()
}

func (n *Node) cutTargets(s *routing.Snapshot, stop *routing.Stop) {
	covered := make(map[steering.Target]bool)
	for _, targets := range stoppedPools(s, stop) {
		for target := range targets {
			covered[target] = true
		}
	}
	cut := n.parts.forward.CancelTries(func(t steering.Target) bool { return covered[t] })
	if cut > 0 {
		level.Warn(n.log).Log("msg", "planned stop cut requests at its deadline", "stop", stop.Name, "requests", cut)
	}
}
