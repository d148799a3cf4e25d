package feed

import (
	"context"
	"time"

	"heatherlock/platform"
	"heatherlock/steering/spread"
)

// configWait is how long the other parts of a read wait for the configuration, which may be
// long on its way: a usual one takes some milliseconds more than they do.
const configWait = 500 * time.Millisecond

// configRead is a read of the configuration.
type configRead struct {
	began time.Time
	done  chan struct{}
	err   error // once done
}

// Behind returns the newest version of the configuration that is known to exist, and how
// long this VM has known of one newer than that in force; behind is false if it knows of
// none.
func (r *Reader) Behind() (newest uint64, late time.Duration, behind bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Behind(time.Now())
}

// Index returns the configuration in force with the hashes of its parts, or nil.
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

// Take takes in a configuration that came from peers.
func (r *Reader) Take(x *spread.Index) {
	r.update(func() bool {
		if !r.state.TakeTable(time.Now(), x.Table()) {
			return false
		}
		r.index = x
		return true
	})
}

// startConfig begins to read the configuration, or returns the read that is under way.
func (r *Reader) startConfig(ctx context.Context) *configRead {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.config != nil {
		return r.config
	}
	c := &configRead{began: time.Now(), done: make(chan struct{})}
	r.config = c
	go func() {
		c.err = r.readConfig(ctx, c.began)
		r.mu.Lock()
		r.config = nil
		r.mu.Unlock()
		close(c.done)
	}()
	return c
}

// within waits for the end of the read, and reports whether it has ended.
func (c *configRead) within(ctx context.Context, limit time.Duration) bool {
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

// ReadConfig reads the configuration from the store, whoever else is to read.
func (r *Reader) ReadConfig(ctx context.Context) error {
	c := r.startConfig(ctx)
	select {
	case <-c.done:
		return c.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (r *Reader) readConfig(ctx context.Context, began time.Time) error {
	_, since, _ := r.revisions()
	if since > 0 {
		next, err := r.store.ConfigChanges(ctx, since, 0)
		if platform.FaultOf(err) != platform.FaultHistoryGone {
			r.configured(began, next, err)
			return err
		}
	}
	next, err := r.store.Config(ctx)
	r.configured(began, next, err)
	return err
}

// configured takes in what a read brought. One that failed may still say where to go on;
// it shows nothing about newer versions.
func (r *Reader) configured(began time.Time, c platform.Config, err error) {
	if err != nil {
		began = time.Time{}
	}
	r.update(func() bool { return r.state.Configured(time.Now(), began, c.Table, c.Revision) })
	r.reject(c)
}

// reject notes a configuration that cannot be used, and tells it once.
func (r *Reader) reject(c platform.Config) {
	if c.Table == nil && c.Rejected == nil {
		return // nothing new
	}
	r.mu.Lock()
	known := r.rejected
	r.rejected = c.Rejected
	r.mu.Unlock()
	if c.Rejected != nil && (known == nil || *known != *c.Rejected) {
		_ = r.log.Log("msg", "configuration rejected, the one in force stays", "version", c.Rejected.Version, "why", c.Rejected.Reason) // the writer counts what it drops
	}
}

// Rejected returns the newest configuration that this VM read and that cannot be used, or
// nil if a usable one came after it.
func (r *Reader) Rejected() *platform.RejectedConfig {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rejected
}

// InForce returns the configuration in force, the hash of its content and since when it is
// in force here; ok is false before the first.
func (r *Reader) InForce() (version, content uint64, since time.Time, ok bool) {
	index := r.Index()
	if index == nil {
		return 0, 0, time.Time{}, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return index.Table().Version, index.Outline().ContentHash(), r.state.tableSince, true
}

// ContentHash returns the hash of the content of the configuration in force if it is known
// without further work, else 0.
func (r *Reader) ContentHash() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.index == nil || r.index.Table() != r.state.Table() {
		return 0
	}
	return r.index.Outline().ContentHash()
}
