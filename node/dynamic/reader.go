package dynamic

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log/level"

	"heatherlock/objects"
	"heatherlock/steering/config"
)

const (
	// watchWait is how long a watch call waits for a change.
	watchWait = 25 * time.Second
	// minReadBackoff and maxReadBackoff bound the delay after a failed read of
	// the platform.
	minReadBackoff = 250 * time.Millisecond
	maxReadBackoff = 5 * time.Second
	// startReplies is the number of peers whose configuration a starting entry
	// VM fetches.
	startReplies = 3
	// startPeersTimeout limits a round of fetches from peers, which precedes the
	// read of the platform.
	startPeersTimeout = 6 * time.Second
	// startJitter is the time over which entry VMs that start together, and find
	// no peer with a configuration, spread their reads of the platform. The
	// first of them then serve the others.
	startJitter = 500 * time.Millisecond
	// startReadTimeout limits a read of the platform. It is short because an
	// entry VM that starts while the platform does not answer should use the
	// configuration of a peer, which is the highest version it can get.
	startReadTimeout = 2 * time.Second
	// maxUnconfirmed is how long an entry VM that does not hold the lease goes
	// without a message from any peer before it reads the platform itself.
	maxUnconfirmed = 30 * time.Second
)

// start obtains the highest configuration that peers and the platform have. It
// completes the configuration of a peer with the platform's later changes, which
// is far less to read than a whole list when many entry VMs start together.
func (s *Syncer) start(ctx context.Context) error {
	backoff := objects.NewBackoff(minReadBackoff, maxReadBackoff, nil)
	for {
		if s.fetchFromPeers(ctx) && s.set.Load().Version() == 0 {
			if err := sleep(ctx, rand.N(startJitter)); err != nil {
				return err
			}
			s.fetchFromPeers(ctx)
		}
		err := s.readOnce(ctx)
		if err == nil || s.set.Load().Version() > 0 {
			s.startPublishing()
			return nil
		}
		level.Warn(s.log).Log("msg", "no configuration yet: neither a peer nor the platform answered", "err", err)
		if err := sleep(ctx, max(backoff.Next(), retryAfter(err))); err != nil {
			return err
		}
	}
}

// fetchFromPeers fetches the configuration from a few members, or from the seeds
// while no other member is known. It reports whether there was a peer to ask.
func (s *Syncer) fetchFromPeers(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, startPeersTimeout)
	defer cancel()
	var addresses []string
	for _, m := range s.config.Members.All() {
		if m.VM != s.self.VM && m.PeerAddress != "" {
			addresses = append(addresses, m.PeerAddress)
		}
	}
	if len(addresses) == 0 {
		addresses = append(addresses, s.config.Seeds...)
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	asked, answered := 0, 0
	for _, address := range addresses {
		if address == s.self.PeerAddress {
			continue
		}
		asked++
		if s.fetch(ctx, address) {
			answered++
		}
		if answered >= startReplies || ctx.Err() != nil {
			break
		}
	}
	return asked > 0
}

// readOnce reads the platform without waiting for changes: those after the current
// version, or a whole list if there is none or it is too old to watch from.
func (s *Syncer) readOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startReadTimeout)
	defer cancel()
	if version := s.set.Load().Version(); version > 0 {
		_, err := s.watch(ctx, version, 0)
		if objects.KindOf(err) != objects.Gone {
			return err
		}
	}
	_, err := s.list(ctx)
	return err
}

// errUnnamedChange is the cause of an error if it is not known which object a change is for, or whether it is newer than what
// is known. No revision after it may count as read.
var errUnnamedChange = errors.New("a change names no object or no later version")

// watch applies the changes after revision since and returns the revision to
// continue from.
func (s *Syncer) watch(ctx context.Context, since int64, wait time.Duration) (int64, error) {
	events, revision, err := s.config.Platform.Watch(ctx, since, wait, SyncedKinds()...)
	if err != nil {
		return since, err
	}
	if revision < since {
		return since, errors.New("watch returned a revision before its start revision")
	}
	for _, e := range events {
		if e.Object.Kind == "" || e.Object.Name == "" || e.Object.Version <= since {
			return since, &objects.Error{Kind: objects.Gone, Op: objects.OpWatch, Err: errUnnamedChange}
		}
	}
	s.confirm()
	changes := make([]config.Object, 0, len(events))
	for _, e := range events {
		changes = append(changes, objectOf(e.Object, e.Deleted))
	}
	s.adopt(sourcePlatform, func(set *config.Set) (*config.Set, config.Verdict) { return set.ApplyWatch(changes) })
	return revision, nil
}

// list applies the whole configuration and returns the revision to watch from.
func (s *Syncer) list(ctx context.Context) (int64, error) {
	stored, revision, err := s.config.Platform.List(ctx, SyncedKinds()...)
	if err != nil {
		return 0, err
	}
	objects := make([]config.Object, 0, len(stored))
	for _, o := range stored {
		objects = append(objects, objectOf(o, false))
	}
	s.adopt(sourcePlatform, func(set *config.Set) (*config.Set, config.Verdict) { return set.ApplyList(objects, revision) })
	if version := s.set.Load().Version(); revision < version {
		return 0, errors.Errorf("list returned revision %d, older than version %d", revision, version)
	}
	s.confirm()
	return revision, nil
}

func objectOf(o objects.Object, deleted bool) config.Object {
	return config.Object{ID: config.ID{Kind: o.Kind, Name: o.Name}, Version: o.Version, Value: o.Value, Deleted: deleted}
}

func retryAfter(err error) time.Duration {
	var refused *objects.Error
	if errors.As(err, &refused) {
		return refused.RetryAfter
	}
	return 0
}

// readLoop watches the platform while the lease is held. An entry VM that does not
// hold it reads the platform only once its version has been unconfirmed for
// maxUnconfirmed, which means that no up-to-date peer can be reached.
func (s *Syncer) readLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		held, release := s.lease.whileHeld(ctx)
		if held != nil {
			s.readUntilDone(held)
			release()
			continue
		}
		if s.unconfirmedFor() > maxUnconfirmed {
			s.scope.Counter("unconfirmed_reads").Inc(1)
			if err := s.readOnce(ctx); err != nil {
				level.Debug(s.log).Log("msg", "reading the platform without the lease failed", "err", err)
				s.confirm() // delays the next attempt by maxUnconfirmed
			}
		}
		if err := s.lease.waitForChange(ctx, jittered(maxUnconfirmed/4)); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// readUntilDone watches the platform until ctx ends, which happens when the lease
// is lost.
func (s *Syncer) readUntilDone(ctx context.Context) {
	backoff := objects.NewBackoff(minReadBackoff, maxReadBackoff, nil)
	var cursor int64
	for ctx.Err() == nil {
		next, err := s.readNext(ctx, max(cursor, s.set.Load().Version()))
		if err == nil {
			cursor = next
			backoff.Reset()
			continue
		}
		if ctx.Err() != nil {
			return
		}
		s.scope.Tagged(map[string]string{"reason": string(objects.KindOf(err))}).Counter("read_failures").Inc(1)
		level.Warn(s.log).Log("msg", "reading the platform failed", "err", err)
		if sleep(ctx, max(backoff.Next(), retryAfter(err))) != nil {
			return
		}
	}
}

// readNext waits for changes after cursor and applies them. It lists the whole
// configuration if cursor is 0 or too old to watch from.
func (s *Syncer) readNext(ctx context.Context, cursor int64) (int64, error) {
	if cursor > 0 {
		next, err := s.watch(ctx, cursor, watchWait)
		if objects.KindOf(err) != objects.Gone {
			return next, err
		}
	}
	return s.list(ctx)
}
