package feed

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"

	"heatherlock/platform"
	"heatherlock/steering"
	"heatherlock/steering/placement"
	"heatherlock/steering/routes"
)

const (
	// targetsEvery is the pause between two reads of the targets. Their entries
	// change with every heartbeat, so that a waiting watch would return at once;
	// a change is seen within this time and one answer.
	targetsEvery = time.Second
	// configWait is how long a watch for a configuration or an evacuation waits.
	configWait = 10 * time.Second
	// firstPause and lastPause bound the pause after a failed call. The last is
	// short of the time in which a leaving target has to be left alone.
	firstPause = 200 * time.Millisecond
	lastPause  = time.Second
)

// Store is what a Reader reads.
type Store interface {
	Targets(ctx context.Context) ([]platform.Target, int64, error)
	TargetChanges(ctx context.Context, since int64, wait time.Duration) ([]platform.TargetChange, int64, error)
	Config(ctx context.Context) (platform.Config, error)
	ConfigChanges(ctx context.Context, since int64, wait time.Duration) (platform.Config, error)
	Evacuations(ctx context.Context) ([]steering.Zone, int64, error)
	EvacuationChanges(ctx context.Context, since int64, wait time.Duration) ([]platform.EvacuationChange, int64, error)
}

// Sink takes what a Reader learns.
type Sink interface {
	Configured(t *routes.Table)
	Placed(targets []placement.Target, known func(steering.Target) bool)
}

// Reader keeps a State by reading the store.
type Reader struct {
	store Store
	sink  Sink
	log   log.Logger

	mu    sync.Mutex
	state *State
	table *routes.Table
	have  struct{ targets, evacuations bool }
}

// NewReader returns a reader that fills state.
func NewReader(store Store, sink Sink, state *State, logger log.Logger) *Reader {
	return &Reader{store: store, sink: sink, state: state, log: logger}
}

// Run reads until ctx ends.
func (r *Reader) Run(ctx context.Context) {
	var all sync.WaitGroup
	for _, follow := range []func(context.Context){r.followTargets, r.followConfig, r.followEvacuations} {
		all.Go(func() { follow(ctx) })
	}
	all.Wait()
}

// update changes the state and tells the sink if that matters.
func (r *Reader) update(change func() bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !change() || !r.have.targets || !r.have.evacuations {
		return
	}
	r.sink.Placed(r.state.Targets(r.table), r.state.Knows)
}

func (r *Reader) followTargets(ctx context.Context) {
	var since int64
	pause := pauser{log: r.log, what: "targets"}
	for ctx.Err() == nil {
		var err error
		if since == 0 {
			since, err = r.listTargets(ctx)
		} else {
			since, err = r.readTargetChanges(ctx, since)
		}
		r.update(func() bool { return r.state.Settle(time.Now()) })
		if platform.FaultOf(err) == platform.FaultHistoryGone {
			since = 0
			continue
		}
		wait := pause.after(err)
		if err == nil {
			wait = targetsEvery
		}
		sleep(ctx, wait)
	}
}

func (r *Reader) listTargets(ctx context.Context) (int64, error) {
	all, revision, err := r.store.Targets(ctx)
	if revision == 0 {
		return 0, err
	}
	r.update(func() bool {
		first := !r.have.targets
		r.have.targets = true
		return r.state.Listed(time.Now(), all) || first
	})
	return revision, err
}

func (r *Reader) readTargetChanges(ctx context.Context, since int64) (int64, error) {
	changes, revision, err := r.store.TargetChanges(ctx, since, 0)
	if revision == 0 {
		return since, err
	}
	r.update(func() bool { return r.state.Changed(time.Now(), changes) })
	return revision, err
}

func (r *Reader) followConfig(ctx context.Context) {
	var since int64
	pause := pauser{log: r.log, what: "configuration"}
	for ctx.Err() == nil {
		var next platform.Config
		var err error
		if since == 0 {
			next, err = r.store.Config(ctx)
		} else {
			next, err = r.store.ConfigChanges(ctx, since, configWait)
		}
		if next.Table != nil {
			r.configured(next.Table)
		}
		if next.Revision > 0 {
			since = next.Revision
		}
		if platform.FaultOf(err) == platform.FaultHistoryGone {
			since = 0
			continue
		}
		if err != nil {
			sleep(ctx, pause.after(err))
			continue
		}
		pause.after(nil)
	}
}

func (r *Reader) configured(t *routes.Table) {
	r.sink.Configured(t)
	r.update(func() bool {
		if !t.Newer(r.table) {
			return false
		}
		r.table = t
		return true
	})
}

func (r *Reader) followEvacuations(ctx context.Context) {
	var since int64
	pause := pauser{log: r.log, what: "evacuations"}
	for ctx.Err() == nil {
		var err error
		if since == 0 {
			since, err = r.listEvacuations(ctx)
		} else {
			since, err = r.readEvacuationChanges(ctx, since)
		}
		if platform.FaultOf(err) == platform.FaultHistoryGone {
			since = 0
			continue
		}
		if err != nil {
			sleep(ctx, pause.after(err))
			continue
		}
		pause.after(nil)
	}
}

func (r *Reader) listEvacuations(ctx context.Context) (int64, error) {
	zones, revision, err := r.store.Evacuations(ctx)
	if err != nil {
		return 0, err
	}
	r.update(func() bool {
		first := !r.have.evacuations
		r.have.evacuations = true
		return r.state.Evacuating(time.Now(), zones) || first
	})
	return revision, nil
}

func (r *Reader) readEvacuationChanges(ctx context.Context, since int64) (int64, error) {
	changes, revision, err := r.store.EvacuationChanges(ctx, since, configWait)
	if err != nil {
		return since, err
	}
	r.update(func() bool { return r.state.EvacuationChanged(time.Now(), changes) })
	return revision, nil
}

// pauser says how long to wait after a call, and logs when calls begin and
// cease to fail.
type pauser struct {
	log     log.Logger
	what    string
	pause   time.Duration
	failing bool
}

func (p *pauser) after(err error) time.Duration {
	if err == nil {
		if p.failing {
			_ = p.log.Log("msg", "store answers again", "read", p.what) // the writer counts what it drops
		}
		p.failing, p.pause = false, 0
		return 0
	}
	if !p.failing {
		_ = p.log.Log("msg", "store does not answer", "read", p.what, "err", err)
	}
	p.failing = true
	p.pause = min(max(2*p.pause, firstPause), lastPause)
	return p.pause
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
