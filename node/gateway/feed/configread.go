package feed

import (
	"context"
	"time"

	"heatherlock/platform"
	"heatherlock/steering/spread"
	"heatherlock/steering/storepos"
)

// configReadWait is how long a read of the store waits for the configuration once the targets and
// evacuations have been read. A configuration of usual size arrives a few milliseconds after them;
// a large one may take much longer.
const configReadWait = 500 * time.Millisecond

// configRead is a read of the configuration from the store.
type configRead struct {
	began time.Time
	done  chan struct{}
	err   error // set before done is closed
}

// Behind returns the newest configuration version known to exist and how long this VM has known of
// a version newer than the one in force. behind is false if it knows of none.
func (r *Reader) Behind() (newest uint64, late time.Duration, behind bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Behind(time.Now())
}

// Index returns the configuration in force with the hashes of its parts, or nil before the first
// configuration.
func (r *Reader) Index() *spread.Index {
	r.mu.Lock()
	defer r.mu.Unlock()
	table := r.state.Table()
	if table == nil {
		return nil
	}
	if r.index == nil || r.index.Table() != table {
		r.index = spread.NewIndex(table)
	}
	return r.index
}

// ApplyConfig puts a configuration that was fetched from peers in force if it is newer than the
// current one.
func (r *Reader) ApplyConfig(x *spread.Index) {
	r.update(fromPeers, func() bool {
		if !r.state.SetTable(time.Now(), x.Table()) {
			return false
		}
		r.index = x
		return true
	})
}

// startConfig starts a read of the configuration, or returns the one already in progress.
func (r *Reader) startConfig(ctx context.Context) *configRead {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pendingConfig != nil {
		return r.pendingConfig
	}
	c := &configRead{began: time.Now(), done: make(chan struct{})}
	r.pendingConfig = c
	go func() {
		c.err = r.readConfig(ctx, c.began)
		r.mu.Lock()
		r.pendingConfig = nil
		r.mu.Unlock()
		close(c.done)
	}()
	return c
}

// wait waits up to limit for the read to finish and reports whether it has.
func (c *configRead) wait(ctx context.Context, limit time.Duration) bool {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-c.done:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// ReadConfig reads the configuration from the store whatever this VM's read rank is, and returns
// once the read has finished or ctx is done. It joins a read in progress.
func (r *Reader) ReadConfig(ctx context.Context) error {
	c := r.startConfig(ctx)
	select {
	case <-c.done:
		return c.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// readConfig reads the configurations written since the last known position, or the whole
// configuration if the changes since then cannot all be read.
func (r *Reader) readConfig(ctx context.Context, began time.Time) error {
	_, since, _ := r.positions()
	if !since.IsZero() {
		next, err := r.store.ConfigChanges(ctx, since, 0)
		if err == nil {
			r.applyConfigRead(began, next)
		}
		if !r.mustList("configuration", err) {
			return err
		}
	}
	next, err := r.store.Config(ctx)
	if err == nil {
		r.applyConfigRead(began, next)
	}
	return err
}

// mustList reports whether the objects of a kind have to be listed because of the error of a watch. Only that a change
// cannot be read is logged: the store may drop its history at any time.
func (r *Reader) mustList(kind string, err error) bool {
	if !platform.MustList(err) {
		return false
	}
	fault := platform.FaultOf(err)
	r.sink.ListedAnew(kind, fault)
	if fault == platform.FaultIncomplete {
		_ = r.log.Log("msg", "changes in the store cannot be read in full, all objects are read", "kind", kind, "err", err) // the log writer counts the lines that it drops
	}
	return true
}

// applyConfigRead applies the result of a read that began at a time.
func (r *Reader) applyConfigRead(began time.Time, c platform.Config) {
	r.noteRejected(c)
	unusable := r.Rejected() != nil
	r.update(fromStore, func() bool {
		changed := r.state.ApplyConfigRead(time.Now(), c.Table, c.At)
		if unusable {
			r.state.NewestUnusable(began)
		}
		return changed
	})
}

// noteRejected records a configuration that cannot be used and logs each one once.
func (r *Reader) noteRejected(c platform.Config) {
	if c.Table == nil && c.Rejected == nil {
		return // the read found nothing new
	}
	r.mu.Lock()
	known := r.rejected
	r.rejected = c.Rejected
	r.mu.Unlock()
	if c.Rejected != nil && (known == nil || *known != *c.Rejected) {
		_ = r.log.Log("msg", "configuration rejected, the one in force stays", "version", c.Rejected.Version, "why", c.Rejected.Reason) // the log writer counts the lines that it drops
	}
}

// Rejected returns the newest configuration that this VM has read if it cannot be used, or nil if
// the newest one is usable.
func (r *Reader) Rejected() *platform.RejectedConfig {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rejected
}

// InForce returns the version of the configuration in force, the hash of its content and the time
// at which this VM put it in force. ok is false before the first configuration.
func (r *Reader) InForce() (version, content uint64, since time.Time, ok bool) {
	index := r.Index()
	if index == nil {
		return 0, 0, time.Time{}, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return index.Table().Version, index.Outline().ContentHash(), r.state.tableSince, true
}

// ConfigReadUntil returns the position of the store up to which this VM knows all configurations, and when it put
// the one in force in force.
func (r *Reader) ConfigReadUntil() (at storepos.Position, inForceSince time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.configAt, r.state.tableSince
}

// ContentHash returns the hash of the content of the configuration in force, or 0 if the hash has
// not been computed yet.
func (r *Reader) ContentHash() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.index == nil || r.index.Table() != r.state.Table() {
		return 0
	}
	return r.index.Outline().ContentHash()
}
