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

// leaver says whether this entry VM is leaving.
type leaver struct {
	leaving atomic.Bool
}

var _ seam.Leaver = (*leaver)(nil)

// Leaving implements seam.Leaver.
func (l *leaver) Leaving() bool { return l.leaving.Load() }

const (
	// stopPoll is how often planned stops of this entry VM are looked for.
	stopPoll = 200 * time.Millisecond
	// drainPoll is how often a leaving entry VM counts what it still carries.
	drainPoll = 50 * time.Millisecond
	// lookupMargin covers the time until look-ups leave this entry VM out: the
	// spread of the view and one renewal of the plans.
	lookupMargin = time.Second
)

// waitForStop returns once ctx ends or a planned stop covers this entry VM.
func (n *Node) waitForStop(ctx context.Context) {
	ticker := time.NewTicker(stopPoll)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if stop, stopped := n.stoppedBy(now); stopped {
				level.Info(n.log).Log("msg", "planned stop of this entry VM", "stop", stop)
				return
			}
		}
	}
}

func (n *Node) stoppedBy(now time.Time) (stop string, stopped bool) {
	snapshot := n.parts.configs.Snapshot()
	if snapshot == nil {
		return "", false
	}
	return drain.Stopped(snapshot, now).VM(n.settings.VM, n.settings.Zone)
}

// leave takes this entry VM out of look-ups and waits until no caller can
// still hold an answer that names it and nothing is carried any more. Nothing
// is cut: a long upload keeps the daemon alive until it ends. hurry ends the
// wait early.
func (n *Node) leave(hurry context.Context) {
	n.parts.leaver.leaving.Store(true)
	n.parts.members.Leave()
	level.Info(n.log).Log("msg", "leaving", "inFlight", n.parts.forward.InFlight())
	life := drain.NewEntryVM()
	life.Stop(time.Now(), n.lookupTTL()+lookupMargin)
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for life.Update(time.Now(), n.parts.forward.InFlight()) != drain.Left {
		select {
		case <-hurry.Done():
			return
		case <-ticker.C:
		}
	}
}

// lookupTTL is how long callers may keep an answer. An entry VM that nobody
// was ever told of, because it had no configuration, has no late arrivals.
func (n *Node) lookupTTL() time.Duration {
	if n.parts.configs.Snapshot() == nil {
		return 0
	}
	return lookup.DefaultTTL
}
