package dynamic

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"
	"github.com/twitchtv/twirp"
	"golang.org/x/sync/errgroup"

	"heatherlock/node/seam"
	"heatherlock/peer/peerpb"
	"heatherlock/responses"
	"heatherlock/steering/config"
)

const (
	// fetchTimeout is how long a fetch of a whole configuration may go without
	// progress of its response. A configuration with all client blocks has
	// several megabytes, so no limit on the total time suits every link.
	fetchTimeout = 5 * time.Second
	// minDeltaTimeout is the same limit for a delta. With a longer one, a peer
	// that announced a version and then hung would delay the fetch from other
	// peers past the time within which a change must be in force. The limit
	// doubles after each timeout, up to fetchTimeout, for deltas that are too
	// big for a slow link.
	minDeltaTimeout = 800 * time.Millisecond
	// fetchPause is the pause between rounds of fetches. It lets versions that
	// follow each other quickly be fetched together instead of one by one.
	fetchPause = 50 * time.Millisecond
	// announceTimeout limits an announcement to one member.
	announceTimeout = 500 * time.Millisecond
	// maxConcurrentAnnouncements limits the announcements in flight.
	maxConcurrentAnnouncements = 8
	// maxPeerVersions is the number of peers whose versions are remembered.
	maxPeerVersions = 64
)

// deltaTimeout is the adaptive timeout for fetching a delta. It is safe for
// concurrent use.
type deltaTimeout struct{ failures atomic.Int32 }

func (t *deltaTimeout) get() time.Duration {
	const maxDoublings = 4
	return min(fetchTimeout, minDeltaTimeout<<min(t.failures.Load(), maxDoublings))
}

// record updates the timeout after a fetch: it doubles after one that timed out,
// and returns to its minimum after any other. A refusal counts as not timed out:
// it arrives at once and says nothing about the time that a delta needs.
func (t *deltaTimeout) record(timedOut bool) {
	if timedOut {
		t.failures.Add(1)
		return
	}
	t.failures.Store(0)
}

// peerVersions holds the newer versions that peers have reported. It is safe for
// concurrent use.
type peerVersions struct {
	mu    sync.Mutex
	peer  map[string]int64 // highest version reported, by peer address
	ready chan struct{}
}

func (v *peerVersions) init() {
	v.peer = map[string]int64{}
	v.ready = make(chan struct{}, 1)
}

func (v *peerVersions) add(address string, version int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if _, known := v.peer[address]; !known && len(v.peer) >= maxPeerVersions {
		return
	}
	v.peer[address] = max(v.peer[address], version)
	select {
	case v.ready <- struct{}{}:
	default:
	}
}

// take removes and returns the peer with the highest version above the given one,
// and drops peers that are not newer. Among equal versions the choice is random,
// so that the entry VMs of a zone do not all fetch from the same member.
func (v *peerVersions) take(version int64) (address string, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	best, ties := version, 0
	for peer, reported := range v.peer {
		switch {
		case reported <= version:
			delete(v.peer, peer)
			continue
		case reported > best:
			best, ties = reported, 1
		case reported == best:
			ties++
		}
		if reported == best && rand.IntN(ties) == 0 {
			address = peer
		}
	}
	delete(v.peer, address)
	return address, address != ""
}

// OnConfigVersion handles the version that the entry VM at a peer address reports
// in a heartbeat or an announcement. It never blocks.
func (s *Syncer) OnConfigVersion(address string, version int64) {
	current := s.set.Load().Version()
	if version >= current {
		s.confirm()
	}
	if version > current && address != "" {
		s.peerVersions.add(address, version)
	}
}

// Announce serves the peers' Announce call.
func (s *Syncer) Announce(_ context.Context, in *peerpb.AnnounceRequest) (*peerpb.AnnounceReply, error) {
	s.OnConfigVersion(in.GetPeerAddress(), in.GetConfigVersion())
	return &peerpb.AnnounceReply{ConfigVersion: s.set.Load().Version()}, nil
}

// FetchConfig serves the peers' FetchConfig call from memory.
func (s *Syncer) FetchConfig(_ context.Context, in *peerpb.FetchConfigRequest) (*peerpb.FetchConfigReply, error) {
	set := s.set.Load()
	if set.Version() == 0 {
		return nil, twirp.NewError(twirp.Unavailable, "no configuration here yet; ask another entry VM")
	}
	delta := set.Since(in.GetHaveVersion())
	s.scope.Tagged(map[string]string{"whole": boolTag(delta.Whole)}).Counter("served").Inc(1)
	reply := &peerpb.FetchConfigReply{Version: delta.Version, Whole: delta.Whole, Checksum: delta.Sum}
	for _, o := range delta.Objects {
		reply.Objects = append(reply.Objects, &peerpb.ConfigObject{Kind: o.Kind, Name: o.Name, Version: o.Version, Value: o.Value, Deleted: o.Deleted})
	}
	return reply, nil
}

func boolTag(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// fetchLoop fetches newer versions from the peers that reported them.
func (s *Syncer) fetchLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.peerVersions.ready:
		}
		for {
			address, ok := s.peerVersions.take(s.set.Load().Version())
			if !ok {
				break
			}
			s.fetch(ctx, address)
		}
		if err := sleep(ctx, fetchPause); err != nil {
			return err
		}
	}
}

// fetch fetches the configuration of the peer at address: a delta first, and the
// whole if the delta does not match its checksum. It reports whether the peer
// answered with a configuration that matches its checksum.
func (s *Syncer) fetch(ctx context.Context, address string) bool {
	verdict, err := s.fetchSince(ctx, address, s.set.Load().Version())
	if err == nil && verdict == config.ChecksumMismatch {
		verdict, err = s.fetchSince(ctx, address, 0)
	}
	if err != nil {
		s.scope.Counter("fetch_failures").Inc(1)
		level.Debug(s.log).Log("msg", "fetch failed", "peer", address, "err", err)
		return false
	}
	return verdict != config.ChecksumMismatch
}

func (s *Syncer) fetchSince(ctx context.Context, address string, have int64) (config.Verdict, error) {
	timeout := fetchTimeout
	if have > 0 {
		timeout = s.deltaTimeout.get()
	}
	ctx, stall := responses.WithStallTimeout(ctx, timeout)
	defer stall.Release()
	reply, err := s.config.Peer(address).FetchConfig(ctx, &peerpb.FetchConfigRequest{HaveVersion: have})
	s.deltaTimeout.record(ctx.Err() != nil)
	if err != nil {
		return "", stall.Cause(err)
	}
	s.confirm()
	return s.adopt(s.sourceOf(address), func(set *config.Set) (*config.Set, config.Verdict) {
		return set.ApplyOffer(offerOf(reply))
	}), nil
}

func offerOf(reply *peerpb.FetchConfigReply) config.Offer {
	offer := config.Offer{Whole: reply.GetWhole(), Version: reply.GetVersion(), Sum: reply.GetChecksum()}
	for _, o := range reply.GetObjects() {
		offer.Objects = append(offer.Objects, config.Object{
			ID:      config.ID{Kind: o.GetKind(), Name: o.GetName()},
			Version: o.GetVersion(), Value: o.GetValue(), Deleted: o.GetDeleted(),
		})
	}
	return offer
}

// sourceOf reports whether the peer at address is in this zone.
func (s *Syncer) sourceOf(address string) source {
	for _, m := range s.config.Members.All() {
		if m.PeerAddress == address && m.Zone == s.self.Zone {
			return sourceZone
		}
	}
	return sourceOtherZone
}

// queueAnnouncement queues a version for announcement to the zone. It replaces an
// older one that is still queued.
func (s *Syncer) queueAnnouncement(version int64) {
	select {
	case <-s.announce:
	default:
	}
	select {
	case s.announce <- version:
	default:
	}
}

// announceLoop announces versions that came from outside the zone to the zone's
// members. Heartbeats carry the version as well, but reach the members only one
// exchange after another.
func (s *Syncer) announceLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case version := <-s.announce:
			s.announceTo(ctx, s.config.Members.InZone(s.self.Zone), version)
		}
	}
}

func (s *Syncer) announceTo(ctx context.Context, members []seam.Member, version int64) {
	group := new(errgroup.Group)
	group.SetLimit(maxConcurrentAnnouncements)
	request := &peerpb.AnnounceRequest{FromVm: vmName(s.self.VM), PeerAddress: s.self.PeerAddress, ConfigVersion: version}
	for _, m := range members {
		if m.VM == s.self.VM || m.PeerAddress == "" {
			continue
		}
		group.Go(func() error {
			s.announceOne(ctx, m.PeerAddress, request)
			return nil
		})
	}
	_ = group.Wait()
}

func (s *Syncer) announceOne(ctx context.Context, address string, request *peerpb.AnnounceRequest) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	reply, err := s.config.Peer(address).Announce(ctx, request)
	if err != nil {
		s.scope.Counter("announce_failures").Inc(1)
		return
	}
	s.OnConfigVersion(address, reply.GetConfigVersion())
}

// sleep waits for d. It returns ctx's error if ctx ends first.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// jittered returns d plus a random part of up to a quarter of d, so that entry VMs
// with the same interval do not all act at the same moment.
func jittered(d time.Duration) time.Duration {
	return d + time.Duration(rand.Int64N(int64(d)/4+1))
}
