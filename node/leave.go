package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"

	"heatherlock/node/seam"
	"heatherlock/steering/drain"
	"heatherlock/steering/lookup"
)

// leaveState holds whether this entry VM is leaving. It is safe for concurrent use.
type leaveState struct {
	leaving atomic.Bool
}

var _ seam.Leaver = (*leaveState)(nil)

// Leaving implements seam.Leaver.
func (l *leaveState) Leaving() bool { return l.leaving.Load() }

const (
	// stopPollInterval is the interval at which the configuration is checked for a planned stop of
	// this entry VM.
	stopPollInterval = 200 * time.Millisecond
	// drainPollInterval is the interval at which a leaving entry VM checks its number of requests
	// in flight.
	drainPollInterval = 50 * time.Millisecond
	// lookupPropagationMargin is the time until other entry VMs omit this one from look-up answers:
	// the membership change has to reach them, and they have to recompute their look-up plans once.
	lookupPropagationMargin = time.Second
)

// waitForStop blocks until ctx is done or a planned stop covers this entry VM.
func (n *Node) waitForStop(ctx context.Context) {
	ticker := time.NewTicker(stopPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if stop, stopped := n.coveringStop(now); stopped {
				level.Info(n.log).Log("msg", "planned stop covers this entry VM; draining", "stop", stop)
				return
			}
		}
	}
}

func (n *Node) coveringStop(now time.Time) (stop string, stopped bool) {
	snapshot := n.components.configs.Snapshot()
	if snapshot == nil {
		return "", false
	}
	return drain.Stopped(snapshot, now).VM(n.settings.VM, n.settings.Zone)
}

// leave removes this entry VM from look-up answers and drains it: it waits until no caller can
// still cache an answer that names this entry VM and no request is in flight. It aborts nothing, so
// a long upload keeps the daemon running until the upload completes. It returns early if ctx is
// done.
func (n *Node) leave(ctx context.Context) {
	n.components.leaveState.leaving.Store(true)
	n.components.members.Leave()
	level.Info(n.log).Log("msg", "leaving", "inFlight", n.components.forward.InFlight())
	lifecycle := drain.NewEntryVM()
	lifecycle.Stop(time.Now(), n.lookupTTL()+lookupPropagationMargin)
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for lifecycle.Update(time.Now(), n.components.forward.InFlight()) != drain.Left {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// lookupTTL returns how long callers may cache a look-up answer that names this entry VM. It is
// zero if this entry VM never had a configuration: no answer has named it then, so no request can
// arrive from a cached one.
func (n *Node) lookupTTL() time.Duration {
	if n.components.configs.Snapshot() == nil {
		return 0
	}
	return lookup.DefaultTTL
}
