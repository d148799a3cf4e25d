package dynamic

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log/level"

	"heatherlock/node/seam"
	"heatherlock/peer/peerpb"
	"heatherlock/responses"
	"heatherlock/steering/config"
)

// auditInterval is the time between two comparisons with another member, before
// jitter.
const auditInterval = 20 * time.Second

// auditLoop periodically compares the version and checksum of the set with
// those of another member. The audit detects that this entry VM is behind
// because all announcements and heartbeats to it were lost. It also detects
// two different sets at the same version. Deltas would preserve such a
// difference for ever, so the set is then listed from the platform.
func (s *Syncer) auditLoop(ctx context.Context) error {
	for {
		if err := sleep(ctx, jittered(auditInterval)); err != nil {
			return err
		}
		if address, ok := s.auditPeer(); ok {
			s.audit(ctx, address)
		}
	}
}

// auditPeer returns the peer address of a random member of the zone, or of any
// zone if this entry VM is the only one in its zone.
func (s *Syncer) auditPeer() (string, bool) {
	for _, members := range [][]seam.Member{s.config.Members.InZone(s.self.Zone), s.config.Members.All()} {
		var addresses []string
		for _, m := range members {
			if m.VM != s.self.VM && m.PeerAddress != "" && m.State != seam.MemberGone {
				addresses = append(addresses, m.PeerAddress)
			}
		}
		if len(addresses) > 0 {
			return addresses[rand.IntN(len(addresses))], true
		}
	}
	return "", false
}

func (s *Syncer) audit(ctx context.Context, address string) {
	local := s.set.Load()
	callCtx, stall := responses.WithStallTimeout(ctx, fetchTimeout)
	defer stall.Release()
	reply, err := s.config.Peer(address).FetchConfig(callCtx, &peerpb.FetchConfigRequest{HaveVersion: local.Version()})
	if err != nil {
		return
	}
	s.confirm()
	if reply.GetVersion() > local.Version() {
		s.adopt(s.sourceOf(address), func(set *config.Set) (*config.Set, config.Verdict) {
			return set.ApplyOffer(offerOf(reply))
		})
		return
	}
	if reply.GetVersion() == local.Version() && reply.GetChecksum() != local.Sum() {
		s.repair(ctx, address)
	}
}

func (s *Syncer) repair(ctx context.Context, address string) {
	s.scope.Counter("audit_mismatches").Inc(1)
	level.Error(s.log).Log("msg", "configuration checksum differs from a peer's at the same version; listing from the platform", "peer", address, "version", s.set.Load().Version())
	if _, err := s.list(ctx); err != nil {
		level.Warn(s.log).Log("msg", "listing the configuration from the platform failed", "err", err)
	}
}
