package gateway

import (
	"context"
	"net"
	"time"

	"heatherlock/node/gateway/planted"
)

const (
	// maxAcceptTime is how long a stopping VM still accepts connections from callers with a
	// cached directory response. Callers that cache responses for longer find the port closed and
	// use another VM.
	maxAcceptTime = maxDirectoryTTL + 800*time.Millisecond
	// acceptShare bounds maxAcceptTime as a fraction of the time until SIGKILL, because a request
	// accepted last still needs time to run.
	acceptShare = 0.47
	// killMargin is the part of the time until SIGKILL that is left unused.
	killMargin = 500 * time.Millisecond
	// shutdownPollInterval is the pause between two checks whether all requests have finished.
	shutdownPollInterval = 50 * time.Millisecond
)

// shutdown takes this VM out of service without breaking off a request. It announces at once to
// peers and callers that it leaves, still accepts callers that use a cached directory response
// for a while, and ends each connection with the next response. Then it closes the port, because
// a request accepted later would be cut off when the process is killed. It returns when no
// request runs and no connection is open, or shortly before the process would be killed.
func (g *Gateway) shutdown(listener net.Listener) {
	_ = g.log.Log("msg", "leaving", "running", g.callers.InFlight(), "connections", g.callers.Connections()) // the log writer counts dropped lines
	if planted.Defect == planted.ImmediateExit {
		return
	}
	began := time.Now()
	g.leaving.Store(true)
	g.callers.StartDrain()
	g.passedOn.StartDrain()
	g.relay.StartDrain()
	g.fleet.Announce()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	g.workers.Go(func() {
		defer cancel()
		if err := g.store.RemoveEntryVM(ctx, g.settings.VM); err != nil {
			_ = g.log.Log("msg", "cannot remove own record from the store", "err", err) // the log writer counts dropped lines
		}
	})
	grace := g.bounds.Load().TerminationGrace
	acceptFor := min(maxAcceptTime, time.Duration(acceptShare*float64(grace)))
	deadline := began.Add(grace - killMargin)
	for time.Now().Before(deadline) {
		if time.Since(began) > acceptFor {
			_ = listener.Close() // closing it again in later rounds has no effect
			g.callers.CloseIdle()
			g.passedOn.CloseIdle()
			if g.callers.InFlight() == 0 && g.callers.Connections() == 0 && g.passedOn.InFlight() == 0 {
				break
			}
		}
		time.Sleep(shutdownPollInterval)
	}
}
