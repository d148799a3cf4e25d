package node

import (
	"context"
	"net/http"
	"strings"

	"heatherlock/node/forward"
	"heatherlock/node/lookups"
	"heatherlock/peer/peerpb"
)

// peerServer answers the calls of other entry VMs by handing each to its part.
type peerServer struct {
	parts *parts
}

var _ peerpb.Peer = peerServer{}

// Beat implements peerpb.Peer.
func (s peerServer) Beat(ctx context.Context, in *peerpb.BeatRequest) (*peerpb.BeatReply, error) {
	return s.parts.members.Beat(ctx, in)
}

// FetchConfig implements peerpb.Peer.
func (s peerServer) FetchConfig(ctx context.Context, in *peerpb.FetchConfigRequest) (*peerpb.FetchConfigReply, error) {
	return s.parts.configs.FetchConfig(ctx, in)
}

// Announce implements peerpb.Peer.
func (s peerServer) Announce(ctx context.Context, in *peerpb.AnnounceRequest) (*peerpb.AnnounceReply, error) {
	return s.parts.configs.Announce(ctx, in)
}

// Suspect implements peerpb.Peer.
func (s peerServer) Suspect(_ context.Context, in *peerpb.SuspectRequest) (*peerpb.SuspectReply, error) {
	s.parts.suspects.MergeFacts(in.Facts)
	return &peerpb.SuspectReply{}, nil
}

// Acquire implements peerpb.Peer.
func (s peerServer) Acquire(ctx context.Context, in *peerpb.AcquireRequest) (*peerpb.AcquireReply, error) {
	return s.parts.admit.Server().Acquire(ctx, in)
}

// Release implements peerpb.Peer.
func (s peerServer) Release(ctx context.Context, in *peerpb.ReleaseRequest) (*peerpb.ReleaseReply, error) {
	return s.parts.admit.Server().Release(ctx, in)
}

// Holdings implements peerpb.Peer.
func (s peerServer) Holdings(ctx context.Context, in *peerpb.HoldingsRequest) (*peerpb.HoldingsReply, error) {
	return s.parts.admit.Server().Holdings(ctx, in)
}

// Borrow implements peerpb.Peer.
func (s peerServer) Borrow(ctx context.Context, in *peerpb.BorrowRequest) (*peerpb.BorrowReply, error) {
	return s.parts.caps.Borrow(ctx, in)
}

// peerHandler serves calls and handed-over requests. The path of a handed-over
// request is the caller's, so no mux may clean it.
func peerHandler(p *parts) http.Handler {
	calls := peerpb.NewPeerServer(peerServer{parts: p})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, forward.ForwardPrefix+"/") {
			p.forward.ServePeer(w, r)
			return
		}
		calls.ServeHTTP(w, r)
	})
}

// callerHandler serves look-ups, and everything else as the data path.
func callerHandler(p *parts) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == lookups.Path {
			p.lookups.ServeHTTP(w, r)
			return
		}
		p.forward.ServeHTTP(w, r)
	})
}
