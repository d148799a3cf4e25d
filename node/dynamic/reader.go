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
	// watchWait is how long a watch waits for a change.
	watchWait = 25 * time.Second
	// readPauseFirst and readPauseMost bound the pause after a failed reading.
	readPauseFirst = 250 * time.Millisecond
	readPauseMost  = 5 * time.Second
	// startPeers is how many peers a fresh node asks.
	startPeers = 3
	// startAsking bounds the time for asking peers before the platform.
	startAsking = 6 * time.Second
	// startSpread is the time over which nodes that start together, and find
	// no peer with a configuration, begin to read the platform. The first of
	// them then serve the others.
	startSpread = 500 * time.Millisecond
	// startTimeout bounds the wait for the platform when a peer answered: its
	// configuration is the highest that can be reached.
	startTimeout = 2 * time.Second
	// unconfirmedMost is how long a node that is not the reader goes on
	// without a word from any peer before it asks the platform itself.
	unconfirmedMost = 30 * time.Second
)

// start takes the highest configuration that peers and platform give. A peer's
// configuration is completed by the platform's changes since, which is far
// less to read than a whole list when many nodes start together.
func (s *Spread) start(ctx context.Context) error {
	backoff := objects.NewBackoff(readPauseFirst, readPauseMost, nil)
	for {
		if s.askPeers(ctx) && s.set.Load().Version() == 0 {
			if err := pause(ctx, rand.N(startSpread)); err != nil {
				return err
			}
			s.askPeers(ctx)
		}
		err := s.readOnce(ctx)
		if err == nil || s.set.Load().Version() > 0 {
			s.openUp()
			return nil
		}
		level.Warn(s.log).Log("msg", "no configuration yet: neither a peer nor the platform answered", "err", err)
		if err := pause(ctx, max(backoff.Next(), retryAfter(err))); err != nil {
			return err
		}
	}
}

// askPeers fetches from a few members, or from seeds while none is known, and
// says whether there was anybody to ask.
func (s *Spread) askPeers(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, startAsking)
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
		if answered >= startPeers || ctx.Err() != nil {
			break
		}
	}
	return asked > 0
}

// readOnce reads the platform without waiting for changes.
func (s *Spread) readOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
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

// watch takes the changes after revision and returns where to continue.
func (s *Spread) watch(ctx context.Context, since int64, wait time.Duration) (int64, error) {
	events, revision, err := s.config.Platform.Watch(ctx, since, wait, SpreadKinds()...)
	if err != nil {
		return since, err
	}
	if revision < since {
		return since, errors.New("watch answered from before its start")
	}
	s.confirm()
	changes := make([]config.Object, 0, len(events))
	for _, e := range events {
		changes = append(changes, objectOf(e.Object, e.Deleted))
	}
	s.adopt(fromPlatform, func(set *config.Set) (*config.Set, config.Verdict) { return set.Watched(changes) })
	return revision, nil
}

// list takes the whole configuration and returns where to watch from.
func (s *Spread) list(ctx context.Context) (int64, error) {
	stored, revision, err := s.config.Platform.List(ctx, SpreadKinds()...)
	if err != nil {
		return 0, err
	}
	objects := make([]config.Object, 0, len(stored))
	for _, o := range stored {
		objects = append(objects, objectOf(o, false))
	}
	s.adopt(fromPlatform, func(set *config.Set) (*config.Set, config.Verdict) { return set.Listed(objects, revision) })
	if version := s.set.Load().Version(); revision < version {
		return 0, errors.Errorf("list answered from revision %d, behind version %d", revision, version)
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

// readLoop watches the platform while the lease is held. A node that holds
// none and hears nothing from any peer asks the platform now and then.
func (s *Spread) readLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		held, release := s.lease.whileHeld(ctx)
		if held != nil {
			s.readWhile(held)
			release()
			continue
		}
		if s.unconfirmedFor() > unconfirmedMost {
			s.scope.Counter("unconfirmed_reads").Inc(1)
			if err := s.readOnce(ctx); err != nil {
				level.Debug(s.log).Log("msg", "reading without the lease failed", "err", err)
				s.confirm() // so that the next try comes after the same time
			}
		}
		if err := s.lease.waitForChange(ctx, jittered(unconfirmedMost/4)); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// readWhile watches until ctx ends, which it does when the lease is lost.
func (s *Spread) readWhile(ctx context.Context) {
	backoff := objects.NewBackoff(readPauseFirst, readPauseMost, nil)
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
		if pause(ctx, max(backoff.Next(), retryAfter(err))) != nil {
			return
		}
	}
}

func (s *Spread) readNext(ctx context.Context, cursor int64) (int64, error) {
	if cursor > 0 {
		next, err := s.watch(ctx, cursor, watchWait)
		if objects.KindOf(err) != objects.Gone {
			return next, err
		}
	}
	return s.list(ctx)
}
