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
	"heatherlock/platform"
	"heatherlock/steering/config"
)

const (
	// fetchTimeout is how long the answer to a fetch of a whole configuration may take to
	// begin, and to go on. It is some megabytes with every client block, so that no time
	// for the whole of it holds on every link.
	fetchTimeout = 5 * time.Second
	// patienceFirst is the same for a delta. A peer that announced a version
	// and then stood still would otherwise hold up the fetch from others past
	// the time in which a change must be in force. After failures the bound
	// doubles up to fetchTimeout, for deltas too big for a slow link.
	patienceFirst = 800 * time.Millisecond
	// fetchPause keeps versions that follow each other quickly from being
	// fetched one by one.
	fetchPause = 50 * time.Millisecond
	// announceTimeout bounds an announcement to one member.
	announceTimeout = 500 * time.Millisecond
	// announceAtOnce bounds the announcements under way.
	announceAtOnce = 8
	// offersMost bounds the remembered offers.
	offersMost = 64
)

// patience is the bound on fetching a delta. Safe for concurrent use.
type patience struct{ failures atomic.Int32 }

func (p *patience) get() time.Duration {
	const mostDoublings = 4
	return min(fetchTimeout, patienceFirst<<min(p.failures.Load(), mostDoublings))
}

// note takes the end of a fetch. A refusal comes at once and says nothing about
// the time that a delta needs.
func (p *patience) note(ranOut bool) {
	if ranOut {
		p.failures.Add(1)
		return
	}
	p.failures.Store(0)
}

// offers remembers who said to have a newer version. Safe for concurrent use.
type offers struct {
	mu    sync.Mutex
	at    map[string]int64 // peer address -> version
	ready chan struct{}
}

func (o *offers) init() {
	o.at = map[string]int64{}
	o.ready = make(chan struct{}, 1)
}

func (o *offers) add(address string, version int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, known := o.at[address]; !known && len(o.at) >= offersMost {
		return
	}
	o.at[address] = max(o.at[address], version)
	select {
	case o.ready <- struct{}{}:
	default:
	}
}

// take removes and returns the best offer above version; among equals the
// choice is random, so that a zone does not fetch from one member.
func (o *offers) take(version int64) (address string, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	best, equals := version, 0
	for at, offered := range o.at {
		switch {
		case offered <= version:
			delete(o.at, at)
			continue
		case offered > best:
			best, equals = offered, 1
		case offered == best:
			equals++
		}
		if offered == best && rand.IntN(equals) == 0 {
			address = at
		}
	}
	delete(o.at, address)
	return address, address != ""
}

// OnConfigVersion takes the version that the entry VM at a peer address has in
// force, as beats carry it. It never blocks.
func (s *Spread) OnConfigVersion(address string, version int64) {
	current := s.set.Load().Version()
	if version >= current {
		s.confirm()
	}
	if version > current && address != "" {
		s.offers.add(address, version)
	}
}

// Announce serves the peers' Announce call.
func (s *Spread) Announce(_ context.Context, in *peerpb.AnnounceRequest) (*peerpb.AnnounceReply, error) {
	s.OnConfigVersion(in.GetPeerAddress(), in.GetConfigVersion())
	return &peerpb.AnnounceReply{ConfigVersion: s.set.Load().Version()}, nil
}

// FetchConfig serves the peers' FetchConfig call from memory.
func (s *Spread) FetchConfig(_ context.Context, in *peerpb.FetchConfigRequest) (*peerpb.FetchConfigReply, error) {
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

// fetchLoop takes newer versions from the peers that offered them.
func (s *Spread) fetchLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.offers.ready:
		}
		for {
			address, ok := s.offers.take(s.set.Load().Version())
			if !ok {
				break
			}
			s.fetch(ctx, address)
		}
		if err := pause(ctx, fetchPause); err != nil {
			return err
		}
	}
}

// fetch takes what the peer at address has. It reports whether the peer
// answered with something that adds up.
func (s *Spread) fetch(ctx context.Context, address string) bool {
	verdict, err := s.fetchSince(ctx, address, s.set.Load().Version())
	if err == nil && verdict == config.SumMismatch {
		verdict, err = s.fetchSince(ctx, address, 0)
	}
	if err != nil {
		s.scope.Counter("fetch_failures").Inc(1)
		level.Debug(s.log).Log("msg", "fetch failed", "peer", address, "err", err)
		return false
	}
	return verdict != config.SumMismatch
}

func (s *Spread) fetchSince(ctx context.Context, address string, have int64) (config.Verdict, error) {
	timeout := fetchTimeout
	if have > 0 {
		timeout = s.patience.get()
	}
	ctx, stall := platform.WithStallTimeout(ctx, timeout)
	defer stall.Release()
	reply, err := s.config.Peer(address).FetchConfig(ctx, &peerpb.FetchConfigRequest{HaveVersion: have})
	s.patience.note(ctx.Err() != nil)
	if err != nil {
		return "", stall.Cause(err)
	}
	s.confirm()
	return s.adopt(s.sourceOf(address), func(set *config.Set) (*config.Set, config.Verdict) {
		return set.Adopt(offerOf(reply))
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

// sourceOf tells a peer of this zone from one elsewhere.
func (s *Spread) sourceOf(address string) source {
	for _, m := range s.config.Members.All() {
		if m.PeerAddress == address && m.Zone == s.self.Zone {
			return fromZone
		}
	}
	return fromOther
}

// tell has a version announced to the zone.
func (s *Spread) tell(version int64) {
	select {
	case <-s.announce:
	default:
	}
	select {
	case s.announce <- version:
	default:
	}
}

// announceLoop tells the zone's members of versions that came from outside the
// zone. Beats would tell them too, but one exchange after another.
func (s *Spread) announceLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case version := <-s.announce:
			s.announceTo(ctx, s.config.Members.InZone(s.self.Zone), version)
		}
	}
}

func (s *Spread) announceTo(ctx context.Context, members []seam.Member, version int64) {
	group := new(errgroup.Group)
	group.SetLimit(announceAtOnce)
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

func (s *Spread) announceOne(ctx context.Context, address string, request *peerpb.AnnounceRequest) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	reply, err := s.config.Peer(address).Announce(ctx, request)
	if err != nil {
		s.scope.Counter("announce_failures").Inc(1)
		return
	}
	s.OnConfigVersion(address, reply.GetConfigVersion())
}

// pause waits, or returns ctx's error.
func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// jittered spreads what many nodes do at the same interval.
func jittered(d time.Duration) time.Duration {
	return d + time.Duration(rand.Int64N(int64(d)/4+1))
}
