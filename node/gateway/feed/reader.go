package feed

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"heatherlock/node/lock"
	"heatherlock/platform"
	"heatherlock/steering"
	"heatherlock/steering/routes"
	"heatherlock/steering/spread"
	"heatherlock/steering/storepos"
)

const (
	// boundFraction is the fraction of a bound set by SetPropagationBound that may pass before the
	// next read.
	boundFraction = 0.4
	// minReadInterval keeps a bound that is set far too short from flooding the store.
	minReadInterval = 200 * time.Millisecond
	// startupWait is how long a starting VM waits for peers to send their state, which saves it
	// three calls to the store. It is one round trip over the longest link and no more, because
	// after the loss of all VMs no VM serves requests during this time.
	startupWait = 80 * time.Millisecond
	// startPollInterval is how often a VM that waits for its first data checks whether to read.
	startPollInterval = 50 * time.Millisecond
	// cutPage is the number of changes in a response from which on there may be more: the store may
	// send them in pages, and in a large fleet more targets write between two reads than fit.
	cutPage = 100
	// maxChangePages bounds the pages of one read.
	maxChangePages = 100
	// retryDelay is the delay after a failed read, multiplied by 1 plus the VM's rank, up to
	// maxRetryDelay. While the store is unavailable only a few VMs check often whether it is back,
	// and the others learn it from them.
	retryDelay    = 300 * time.Millisecond
	maxRetryDelay = 3 * time.Second
)

// Store is the part of the store's client that a Reader needs.
type Store interface {
	// Epoch returns the highest epoch of the store's history that is known, and NoteEpoch records one
	// that a peer knows. Results of earlier epochs are errors from then on.
	Epoch() uint64
	NoteEpoch(epoch uint64)
	Targets(ctx context.Context) (platform.TargetList, error)
	TargetChanges(ctx context.Context, since storepos.Position, wait time.Duration) (platform.TargetChanges, error)
	Config(ctx context.Context) (platform.Config, error)
	ConfigChanges(ctx context.Context, since storepos.Position, wait time.Duration) (platform.Config, error)
	Evacuations(ctx context.Context) ([]steering.Zone, storepos.Position, error)
	EvacuationChanges(ctx context.Context, since storepos.Position, wait time.Duration) ([]platform.EvacuationChange, storepos.Position, error)
}

// Sink receives what a Reader learns. ConfigChanged and TargetsChanged are called with the Reader's
// lock held.
type Sink interface {
	// ConfigChanged is called with each newer configuration.
	ConfigChanged(c ConfigChange)
	// TargetsChanged is called when targets, the evacuated zones or the rates of cold targets
	// changed.
	TargetsChanged(TargetUpdate)
	// InvalidEntries is called after each read that found target entries from which no usable
	// target can be read.
	InvalidEntries(entries []platform.InvalidEntry)
	// ListedAnew is called when all objects of a kind are read because the changes could not be, with the
	// fault of the store that required it.
	ListedAnew(kind string, fault platform.Fault)
	// ReadStarted is called when a read of the store begins, except while reads fail, and
	// ReadSucceeded when a read has succeeded.
	ReadStarted()
	ReadSucceeded()
}

// ConfigChange is a newer configuration that is put in force.
type ConfigChange struct {
	// Table is the configuration, and Replaced the one in force before, or nil.
	Table, Replaced *routes.Table
	// Known is how long this VM has known that it exists.
	Known time.Duration
	// From is where it came from: the store, or peers.
	From string
	// ReadUntil is the position of the store up to which this VM knows all configurations.
	ReadUntil storepos.Position
}

// Peers is what a Reader needs to know about the other entry VMs.
type Peers interface {
	// ReadRank returns how many entry VMs read the store before this one. fails says whether this
	// VM's reads fail.
	ReadRank(fails bool) int
	// LastReadStart returns when an entry VM that reads before this one last reported the start of
	// a read, or the zero time.
	LastReadStart() time.Time
	// StartView returns what is known of the others at a start.
	StartView() StartView
}

// Reader keeps a State up to date by reading the store and by applying what peers send. It is safe
// for concurrent use.
type Reader struct {
	store Store
	sink  Sink
	log   log.Logger
	peers Peers

	mu       lock.Mutex
	state    *State
	interval time.Duration
	failing  bool
	reading  atomic.Bool
	// startedAt is when Run was called. overtaken ends the reads of a VM that knows nothing yet once
	// peers have sent it all that they would find.
	startedAt time.Time
	overtaken context.CancelFunc
	// index belongs to the configuration in force. It is built when it is first asked for.
	index *spread.Index
	// pendingConfig is the read of the configuration in progress, or nil.
	pendingConfig *configRead
	// rejected is the newest configuration if it cannot be used, else nil.
	rejected *platform.RejectedConfig
}

// NewReader returns a reader that keeps state up to date. state must not be used directly
// afterwards.
func NewReader(store Store, sink Sink, state *State, peers Peers, logger log.Logger) *Reader {
	return &Reader{store: store, sink: sink, state: state, peers: peers, log: logger, interval: maxReadInterval}
}

// Run reads the store until ctx is done, whenever the state is old enough for this VM's rank.
func (r *Reader) Run(ctx context.Context) {
	firstRead, overtaken := context.WithCancel(ctx)
	defer overtaken()
	r.mu.Lock()
	r.startedAt, r.overtaken = time.Now(), overtaken
	r.mu.Unlock()
	sleep(ctx, startupWait)
	for ctx.Err() == nil {
		wait, first := r.untilDue(time.Now())
		switch {
		case wait > 0 && first:
			sleep(ctx, min(wait, startPollInterval))
		case wait > 0:
			sleep(ctx, wait)
		case first:
			r.read(firstRead)
		default:
			r.read(ctx)
		}
	}
}

// untilDue returns how long it is until this VM must read the store; 0 or less means now. first is
// set while nothing is known yet.
func (r *Reader) untilDue(now time.Time) (wait time.Duration, first bool) {
	v := ReadView{Rank: r.Rank(), SinceBegun: now.Sub(r.peers.LastReadStart())}
	if v.Known = r.Known(); !v.Known {
		v.Start = r.peers.StartView()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	v.Age, v.Known = r.state.Age(now)
	v.Interval, v.Uptime = r.interval, now.Sub(r.startedAt)
	return v.UntilRead(), !v.Known
}

// Known reports whether the contents of the store are known.
func (r *Reader) Known() bool {
	_, known := r.Age()
	return known
}

// Age returns how old the read of the store is that the state is based on. known is false if there was none.
func (r *Reader) Age() (age time.Duration, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Age(time.Now())
}

// Rank returns how many entry VMs read the store before this one.
func (r *Reader) Rank() int { return r.peers.ReadRank(r.Failing()) }

// Reading reports whether a read of the store is in progress.
func (r *Reader) Reading() bool { return r.reading.Load() }

// SetPropagationBound sets the time within which a change in the store must be known on all VMs. 0
// means that the default read interval is short enough.
func (r *Reader) SetPropagationBound(bound time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.interval = maxReadInterval
	if bound > 0 {
		r.interval = min(maxReadInterval, max(time.Duration(boundFraction*float64(bound)), minReadInterval))
	}
}

// Failing reports whether the last read failed.
func (r *Reader) Failing() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failing
}

// Digest returns a digest of the state to send to peers.
func (r *Reader) Digest() Digest {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Digest(time.Now())
}

// Merge applies a peer's digest and reports whether to request an update from that peer.
func (r *Reader) Merge(m Digest) (pull bool) {
	r.store.NoteEpoch(m.Epoch)
	r.update(fromPeers, func() (changed bool) {
		pull, changed = r.state.Merge(time.Now(), m)
		return changed
	})
	return pull
}

// KnownPosition returns the position to send to a peer when requesting an update; the zero position
// requests all targets.
func (r *Reader) KnownPosition() (since storepos.Position) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.KnownPosition()
}

// UpdateSince returns the update for a peer whose targets are those of position since.
func (r *Reader) UpdateSince(since storepos.Position) Update {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.UpdateSince(time.Now(), since)
}

// Apply applies an update that the peer from sent.
func (r *Reader) Apply(from string, k Update) {
	r.store.NoteEpoch(k.Digest.Epoch)
	r.update(from, func() bool { return r.state.Apply(time.Now(), k) })
}

// fromStore and fromPeers are where data comes from, in logs.
const (
	fromStore = "store"
	fromPeers = "peers"
)

// update runs change, which modifies the state by what came from the store or a peer, and passes the results on
// to the sink.
func (r *Reader) update(from string, change func() bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	age, _ := r.state.Age(time.Now())
	replaced, version, complete := r.state.Table(), r.state.version(), r.state.Complete()
	_, known, _ := r.state.Behind(time.Now())
	change()
	r.logDecisions(from, age, r.state.at)
	if r.state.version() > version {
		r.sink.ConfigChanged(ConfigChange{Table: r.state.Table(), Replaced: replaced, Known: known, From: from, ReadUntil: r.state.configAt})
	}
	if !r.state.Complete() {
		return
	}
	if !complete && r.overtaken != nil {
		r.overtaken()
	}
	r.state.allUnplaced = r.state.allUnplaced || !complete
	if u, any := r.state.TakeChanges(); any {
		r.sink.TargetsChanged(u)
	}
}

// read reads everything that changed in the store. The three parts are read concurrently: from
// another region each takes a round trip over the longest link.
func (r *Reader) read(ctx context.Context) {
	began, epoch := time.Now(), r.store.Epoch()
	r.reading.Store(true)
	defer r.reading.Store(false)
	if !r.Failing() {
		r.sink.ReadStarted()
	}
	if r.Failing() {
		// One call is enough to find out whether the store is still unavailable.
		if err := r.readTargets(ctx); err != nil {
			r.readFailed(ctx, err)
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
			r.readFailed(ctx, err)
			return
		}
	}
	if !config.wait(ctx, configReadWait) {
		// The next read of the targets must not wait for the configuration.
		sleep(ctx, r.readInterval())
		return
	}
	if config.err != nil {
		r.readFailed(ctx, config.err)
		return
	}
	if config.began.Before(began) {
		began = config.began
	}
	r.readSucceeded(began, epoch)
}

func (r *Reader) readInterval() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.interval
}

// readSucceeded handles a read that began in an epoch of the store. If the store was restored during
// the read, its parts may show different states of the store, and the next read is due at once.
func (r *Reader) readSucceeded(began time.Time, epoch uint64) {
	restored := epoch > 0 && r.store.Epoch() > epoch
	r.update(fromStore, func() bool {
		if !restored {
			r.state.MarkRead(began)
		}
		return r.state.EndHolds(time.Now())
	})
	r.mu.Lock()
	again := r.failing
	r.failing = false
	r.mu.Unlock()
	if again {
		_ = r.log.Log("msg", "store answers again") // the log writer counts the lines that it drops
	}
	r.sink.ReadSucceeded()
}

func (r *Reader) readFailed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return // overtaken, or this VM stops
	}
	r.mu.Lock()
	first := !r.failing
	r.failing = true
	age, _ := r.state.Age(time.Now())
	r.mu.Unlock()
	if first && ctx.Err() == nil {
		_ = r.log.Log("msg", "store does not answer", "err", err, "state_age_ms", age.Milliseconds()) // as above
	}
	sleep(ctx, RetryDelay(r.Rank()))
}

// RetryDelay returns the delay after a failed read by the VM of a rank.
func RetryDelay(rank int) time.Duration {
	return min(retryDelay*time.Duration(1+rank), maxRetryDelay)
}

// positions returns from where to read the changes of each kind; the zero position means that all
// objects have to be read.
func (r *Reader) positions() (targets, config, evacuations storepos.Position) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.KnownPosition(), r.state.configAt, r.state.evacuationsAt
}

func (r *Reader) readTargets(ctx context.Context) error {
	since, _, _ := r.positions()
	if !since.IsZero() {
		if err := r.readTargetChanges(ctx, since); !r.mustList("targets", err) {
			return err
		}
	}
	all, err := r.store.Targets(ctx)
	if err == nil {
		all.Since = since
		if all.At.Restored(since) {
			_ = r.log.Log("msg", "targets listed after a restore of the store", "position", all.At, "known_position", since) // the log writer counts the lines that it drops
		}
		r.update(fromStore, func() bool { return r.state.SetTargets(time.Now(), all) })
		r.reportUnusable(all.InvalidEntries, all.Targets)
	}
	return err
}

// readTargetChanges reads the changes of targets after a position, page by page.
func (r *Reader) readTargetChanges(ctx context.Context, since storepos.Position) error {
	for range maxChangePages {
		found, err := r.store.TargetChanges(ctx, since, 0)
		if err != nil {
			return err
		}
		found.Since = since
		r.update(fromStore, func() bool { return r.state.ApplyTargetChanges(time.Now(), found) })
		r.reportUnusable(found.InvalidEntries, found.Valid())
		if len(found.Changes) < cutPage || !found.At.After(since) {
			return nil
		}
		known, _, _ := r.positions()
		since = storepos.Later(found.At, known)
	}
	return nil
}

// reportUnusable passes the entries of a read that name no usable target to the sink: those that
// could not be read and those in zones that the settings do not name.
func (r *Reader) reportUnusable(bad []platform.InvalidEntry, read []platform.Target) {
	r.mu.Lock()
	bad = append(bad, r.state.inUnknownZones(read)...)
	r.mu.Unlock()
	if len(bad) > 0 {
		r.sink.InvalidEntries(bad)
	}
}

func (r *Reader) readEvacuations(ctx context.Context) error {
	_, _, since := r.positions()
	if !since.IsZero() {
		changes, at, err := r.store.EvacuationChanges(ctx, since, 0)
		if err == nil {
			r.update(fromStore, func() bool { return r.state.ApplyEvacuationChanges(time.Now(), changes, at) })
		}
		if !r.mustList("evacuations", err) {
			return err
		}
	}
	zones, at, err := r.store.Evacuations(ctx)
	if err == nil {
		r.update(fromStore, func() bool { return r.state.SetEvacuations(time.Now(), zones, at) })
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
