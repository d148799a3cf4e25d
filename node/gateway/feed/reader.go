package feed

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"heatherlock/platform"
	"heatherlock/steering"
	"heatherlock/steering/placement"
	"heatherlock/steering/routes"
	"heatherlock/steering/spread"
)

const (
	// readEvery is the longest age at which the first reader reads the store again.
	// The entries of targets change with every heartbeat, so that a waiting watch
	// would return at once; with this and the steps below a change is known
	// everywhere well within the 2.5 s that a leaving target is given.
	readEvery = 1100 * time.Millisecond
	// readTime is how long a read that another VM has begun is waited for. With many
	// targets a small VM takes longer for one than the step to the next in rank, and
	// all those after it would read as well.
	readTime = 700 * time.Millisecond
	// boundUse is the part of a shorter bound that may pass before the next read.
	boundUse = 0.4
	// shortestEvery keeps a bound that is set far too short from flooding the store.
	shortestEvery = 200 * time.Millisecond
	// readStep is how much later each further entry VM reads, if none before it
	// did. A reader that is gone, cut off or paused costs a step, and no lease
	// has to lapse; two that read at once harm nothing.
	readStep = 200 * time.Millisecond
	// stepRanks have a full step each; those behind them a farStep. The few cover a
	// zone that is lost, and in a large fleet the many must not all read when news
	// is late for a moment. A VM that hears nobody has rank 0.
	stepRanks = 4
	farStep   = 10 * time.Millisecond
	// startWait is how long a VM that starts waits for peers to tell it, which
	// saves three calls: a way there and back over the longest link. After the loss
	// of all VMs it is time in which nobody serves.
	startWait = 80 * time.Millisecond
	// failedPause is waited after a failed read, once for each VM that comes
	// before this one, up to lastPause: while the store is away a few ask whether
	// it is back, and the others hear of it from them.
	failedPause = 300 * time.Millisecond
	lastPause   = 3 * time.Second
)

// Store is what a Reader reads.
type Store interface {
	Targets(ctx context.Context) (platform.TargetList, error)
	TargetChanges(ctx context.Context, since int64, wait time.Duration) (platform.TargetChanges, error)
	Config(ctx context.Context) (platform.Config, error)
	ConfigChanges(ctx context.Context, since int64, wait time.Duration) (platform.Config, error)
	Evacuations(ctx context.Context) ([]steering.Zone, int64, error)
	EvacuationChanges(ctx context.Context, since int64, wait time.Duration) ([]platform.EvacuationChange, int64, error)
}

// Sink takes what a Reader learns.
type Sink interface {
	// Configured is told each newer configuration, and for how long this VM has known
	// that there is a newer one than before.
	Configured(t *routes.Table, known time.Duration)
	// Placed is told the targets when they changed.
	Placed(targets []placement.Target, known func(steering.Target) (steering.Generation, bool))
	// Unusable is told the entries that name no target, each time that they are read.
	Unusable(entries []platform.BadEntry)
	// Reading is told that a read of the store begins, Refreshed that it was read.
	Reading()
	Refreshed()
}

// Peers is what a Reader knows of other entry VMs.
type Peers interface {
	// ReadRank says how many entry VMs are to read before this one.
	ReadRank(fails bool) int
	// ReadBegun says when one of them last told that it begins to read.
	ReadBegun() time.Time
}

// Reader keeps a State by reading the store, or by what peers tell.
type Reader struct {
	store Store
	sink  Sink
	log   log.Logger
	peers Peers

	mu      sync.Mutex
	state   *State
	every   time.Duration
	failing bool
	reading atomic.Bool
	// index is that of the configuration in force, once it was asked for.
	index *spread.Index
	// config is the read of the configuration that is under way, or nil.
	config *configRead
	// rejected is the newest configuration if it cannot be used, or nil.
	rejected *platform.RejectedConfig
}

// NewReader returns a reader that fills state.
func NewReader(store Store, sink Sink, state *State, peers Peers, logger log.Logger) *Reader {
	return &Reader{store: store, sink: sink, state: state, peers: peers, log: logger, every: readEvery}
}

// Run reads until ctx ends, each time that the state is old enough.
func (r *Reader) Run(ctx context.Context) {
	sleep(ctx, startWait)
	for ctx.Err() == nil {
		if wait := r.due(time.Now()); wait > 0 {
			sleep(ctx, wait)
			continue
		}
		r.read(ctx)
	}
}

// due returns how long it is until this VM is to read.
func (r *Reader) due(now time.Time) time.Duration {
	rank, begun := r.Rank(), r.peers.ReadBegun()
	r.mu.Lock()
	defer r.mu.Unlock()
	age, ok := r.state.Age(now)
	if !ok {
		return 0
	}
	steps := time.Duration(min(rank, stepRanks))*readStep + time.Duration(max(rank-stepRanks, 0))*farStep
	return max(r.every+steps-age, readTime-now.Sub(begun))
}

// Rank returns how many entry VMs are to read before this one.
func (r *Reader) Rank() int { return r.peers.ReadRank(r.Failing()) }

// Reading reports whether a read is under way.
func (r *Reader) Reading() bool { return r.reading.Load() }

// SetBound tells how soon after the store took a change it must be known.
func (r *Reader) SetBound(bound time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.every = readEvery
	if bound > 0 {
		r.every = min(readEvery, max(time.Duration(boundUse*float64(bound)), shortestEvery))
	}
}

// Failing reports whether the last read failed.
func (r *Reader) Failing() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failing
}

// Digest returns what is known, in short.
func (r *Reader) Digest() Digest {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Digest(time.Now())
}

// Merge takes in a peer's digest and reports whether to ask the peer for more.
func (r *Reader) Merge(m Digest) (pull bool) {
	r.update(func() (changed bool) {
		pull, changed = r.state.Merge(time.Now(), m)
		return changed
	})
	return pull
}

// Position returns what to ask a peer for.
func (r *Reader) Position() (since int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Position()
}

// UpdateSince returns what a peer needs that knows a revision.
func (r *Reader) UpdateSince(since int64) Update {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.UpdateSince(time.Now(), since)
}

// Apply takes in what a peer told.
func (r *Reader) Apply(k Update) {
	r.update(func() bool { return r.state.Apply(time.Now(), k) })
}

// update changes the state and tells the sink what that means.
func (r *Reader) update(change func() bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	version, complete := r.state.version(), r.state.Complete()
	_, known, _ := r.state.Behind(time.Now())
	changed := change()
	if r.state.version() > version {
		r.sink.Configured(r.state.Table(), known)
	}
	if r.state.Complete() && (changed || !complete) {
		r.sink.Placed(r.state.Placement(), r.state.Generation)
	}
}

// read reads everything that changed. The parts are asked for at once: from
// another region each takes two ways over the longest link.
func (r *Reader) read(ctx context.Context) {
	began := time.Now()
	r.reading.Store(true)
	defer r.reading.Store(false)
	if !r.Failing() {
		r.sink.Reading()
	}
	if r.Failing() {
		// One call is enough to find out that the store is still away.
		if err := r.readTargets(ctx); err != nil {
			r.failed(ctx, err)
			return
		}
	}
	var targets, evacuations error
	config := r.startConfig(ctx)
	var all sync.WaitGroup
	all.Go(func() { targets = r.readTargets(ctx) })
	all.Go(func() { evacuations = r.readEvacuations(ctx) })
	all.Wait()
	for _, err := range []error{targets, evacuations} {
		if err != nil {
			r.failed(ctx, err)
			return
		}
	}
	if !config.within(ctx, configWait) {
		// The next read of the targets must not wait for it.
		sleep(ctx, r.pause())
		return
	}
	if config.err != nil {
		r.failed(ctx, config.err)
		return
	}
	if config.began.Before(began) {
		began = config.began
	}
	r.succeeded(began)
}

func (r *Reader) pause() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.every
}

func (r *Reader) succeeded(began time.Time) {
	r.update(func() bool {
		changed := r.state.Settle(time.Now())
		r.state.Fresh(began)
		return changed
	})
	r.mu.Lock()
	again := r.failing
	r.failing = false
	r.mu.Unlock()
	if again {
		_ = r.log.Log("msg", "store answers again") // the writer counts what it drops
	}
	r.sink.Refreshed()
}

func (r *Reader) failed(ctx context.Context, err error) {
	r.mu.Lock()
	first := !r.failing
	r.failing = true
	age, _ := r.state.Age(time.Now())
	r.mu.Unlock()
	if first && ctx.Err() == nil {
		_ = r.log.Log("msg", "store does not answer", "err", err, "state_age_ms", age.Milliseconds()) // as above
	}
	sleep(ctx, min(failedPause*time.Duration(1+r.Rank()), lastPause))
}

func (r *Reader) revisions() (targets, config, evacuations int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state.distrusted {
		return 0, r.state.configured, r.state.evacuation // to be listed anew
	}
	return r.state.revision, r.state.configured, r.state.evacuation
}

func (r *Reader) readTargets(ctx context.Context) error {
	since, _, _ := r.revisions()
	if since > 0 {
		found, err := r.store.TargetChanges(ctx, since, 0)
		if err == nil {
			r.update(func() bool { return r.state.Changed(time.Now(), found) })
			r.tellUnusable(found.Bad, found.Usable())
		}
		if platform.FaultOf(err) != platform.FaultHistoryGone {
			return err
		}
	}
	all, err := r.store.Targets(ctx)
	if err == nil {
		r.update(func() bool { return r.state.Listed(time.Now(), all) })
		r.tellUnusable(all.Bad, all.Targets)
	}
	return err
}

// tellUnusable tells the sink which of the entries just read name no target.
func (r *Reader) tellUnusable(bad []platform.BadEntry, read []platform.Target) {
	r.mu.Lock()
	bad = append(bad, r.state.strangers(read)...)
	r.mu.Unlock()
	if len(bad) > 0 {
		r.sink.Unusable(bad)
	}
}

func (r *Reader) readEvacuations(ctx context.Context) error {
	_, _, since := r.revisions()
	if since > 0 {
		changes, revision, err := r.store.EvacuationChanges(ctx, since, 0)
		if err == nil {
			r.update(func() bool { return r.state.EvacuationChanged(time.Now(), changes, revision) })
		}
		if platform.FaultOf(err) != platform.FaultHistoryGone {
			return err
		}
	}
	zones, revision, err := r.store.Evacuations(ctx)
	if err == nil {
		r.update(func() bool { return r.state.Evacuating(time.Now(), zones, revision) })
	}
	return err
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
