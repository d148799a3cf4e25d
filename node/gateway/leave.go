package gateway

import (
	"context"
	"net"
	"time"

	"heatherlock/node/gateway/planted"
)

const (
	// leaveTTL is how long callers may still come with an old directory answer. Those
	// that keep answers for longer find the port closed and go elsewhere.
	leaveTTL = longestTTL + 800*time.Millisecond
	// leaveShare bounds that as a part of the time until SIGKILL: what comes at its
	// end must still have time to run.
	leaveShare = 0.47
	// leaveReserve is kept back from the time until SIGKILL.
	leaveReserve = 500 * time.Millisecond
	// leaveStep is how often it is looked whether all is done.
	leaveStep = 50 * time.Millisecond
)

// leave takes this VM out of use without cutting a request: others and callers
// are told at once, callers that come with an older answer are still served for a
// while, and each answer ends its connection. Then the port is closed; a request
// taken later would be cut by the end of the process. It returns when nothing runs
// any more, or shortly before the process would be killed.
func (g *Gateway) leave(listener net.Listener) {
	_ = g.log.Log("msg", "leaving", "running", g.callers.Running(), "connections", g.callers.Connections()) // the writer counts what it drops
	if planted.Defect == planted.CutOnStop {
		return
	}
	began := time.Now()
	g.leaving.Store(true)
	g.callers.Leave()
	g.fleet.Announce()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	g.done.Go(func() {
		defer cancel()
		if err := g.store.RemoveEntryVM(ctx, g.settings.VM); err != nil {
			_ = g.log.Log("msg", "own record not removed", "err", err) // as above
		}
	})
	grace := g.bounds.Load().Grace
	taking := min(leaveTTL, time.Duration(leaveShare*float64(grace)))
	end := began.Add(grace - leaveReserve)
	for time.Now().Before(end) {
		if time.Since(began) > taking {
			_ = listener.Close() // again each time, which does nothing
			g.callers.CloseIdle()
			if g.callers.Running() == 0 && g.callers.Connections() == 0 {
				break
			}
		}
		time.Sleep(leaveStep)
	}
}
