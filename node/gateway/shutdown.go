package gateway

import (
	"context"
	"net"
	"time"

	"heatherlock/node/gateway/planted"
	"heatherlock/steering/gracefulstop"
)

// shutdownPollInterval is the pause between two checks whether all requests have finished.
const shutdownPollInterval = 50 * time.Millisecond

// shutdown takes this VM out of service without breaking off a request. It announces at once to peers
// and callers that it leaves, and goes on serving callers that use a cached directory response. Once
// those that cache it for no longer than stated have asked again, it ends each connection with a
// response. Then it closes the port, because a request accepted later would be cut off when the process
// is killed. What still runs shortly before the process would be killed gets a final response. It returns
// when no request runs and no connection is open, or when there is no time left to write responses.
func (g *Gateway) shutdown(listener net.Listener) {
	_ = g.log.Log("msg", "leaving", "running", g.callers.InFlight(), "connections", g.callers.Connections(), "connections_accepted", g.callers.Accepted()) // the log writer counts dropped lines
	if planted.Defect == planted.ImmediateExit {
		return
	}
	began := time.Now()
	plan := gracefulstop.Plan(g.bounds.Load().TerminationGrace, g.directoryTTL())
	g.leaving.Store(true)
	g.passedOn.StartDrain()
	g.relay.StartDrain(began.Add(plan.Answer))
	g.fleet.Announce()
	g.updateAllowancePeers()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	g.workers.Go(func() {
		defer cancel()
		if err := g.store.RemoveEntryVM(ctx, g.settings.VM); err != nil {
			_ = g.log.Log("msg", "cannot remove own record from the store", "err", err) // the log writer counts dropped lines
		}
	})
	progress := gracefulstop.NewProgress(plan)
	for {
		due := progress.Next(time.Since(began))
		if due.Close {
			g.callers.StartDrain() // starting it again in later rounds has no effect
		}
		if due.Answer {
			g.relay.EndStop() // ending it again in later rounds has no effect
		}
		if due.Reject {
			_ = listener.Close() // closing it again in later rounds has no effect
			g.callers.CloseIdle()
			g.passedOn.CloseIdle()
			if g.callers.InFlight() == 0 && g.callers.Connections() == 0 && g.passedOn.InFlight() == 0 {
				break
			}
		}
		if due.End {
			break
		}
		time.Sleep(shutdownPollInterval)
	}
	if running, passedOn := g.callers.InFlight(), g.passedOn.InFlight(); running+passedOn > 0 {
		_ = g.log.Log("msg", "stop ends with requests unanswered", "running", running, "for_other_vms", passedOn, "took_ms", time.Since(began).Milliseconds()) // the log writer counts dropped lines
	}
}
