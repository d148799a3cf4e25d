package node

import (
	"context"
	"net/http"
	"strings"

	"heatherlock/node/forward"
	"heatherlock/node/lookups"
	"heatherlock/peer/peerpb"
)

// peerServer serves the RPCs of other entry VMs by passing each to the component that handles it.
type peerServer struct {
	components *components
}

var _ peerpb.Peer = peerServer{}

// Beat implements peerpb.Peer.
func (s peerServer) Beat(ctx context.Context, in *peerpb.BeatRequest) (*peerpb.BeatReply, error) {
	return s.components.members.Beat(ctx, in)
}

// FetchConfig implements peerpb.Peer.
func (s peerServer) FetchConfig(ctx context.Context, in *peerpb.FetchConfigRequest) (*peerpb.FetchConfigReply, error) {
	return s.components.configs.FetchConfig(ctx, in)
}

// Announce implements peerpb.Peer.
func (s peerServer) Announce(ctx context.Context, in *peerpb.AnnounceRequest) (*peerpb.AnnounceReply, error) {
	return s.components.configs.Announce(ctx, in)
}

// Suspect implements peerpb.Peer.
func (s peerServer) Suspect(_ context.Context, in *peerpb.SuspectRequest) (*peerpb.SuspectReply, error) {
	s.components.suspects.MergeFacts(in.Facts)
	return &peerpb.SuspectReply{}, nil
}

// Acquire implements peerpb.Peer.
func (s peerServer) Acquire(ctx context.Context, in *peerpb.AcquireRequest) (*peerpb.AcquireReply, error) {
	return s.components.admit.Server().Acquire(ctx, in)
}

// Release implements peerpb.Peer.
func (s peerServer) Release(ctx context.Context, in *peerpb.ReleaseRequest) (*peerpb.ReleaseReply, error) {
	return s.components.admit.Server().Release(ctx, in)
}

// Holdings implements peerpb.Peer.
func (s peerServer) Holdings(ctx context.Context, in *peerpb.HoldingsRequest) (*peerpb.HoldingsReply, error) {
	return s.components.admit.Server().Holdings(ctx, in)
}

// Borrow implements peerpb.Peer.
func (s peerServer) Borrow(ctx context.Context, in *peerpb.BorrowRequest) (*peerpb.BorrowReply, error) {
	return s.components.caps.Borrow(ctx, in)
}

// peerHandler returns the handler of the peer listener, which serves RPCs and requests forwarded by
// other entry VMs. The path of a forwarded request is the caller's, so no http.ServeMux, which
// would clean the path, may route it.
func peerHandler(p *components) http.Handler {
	calls := peerpb.NewPeerServer(peerServer{components: p})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, forward.ForwardPrefix+"/") {
			p.forward.ServePeer(w, r)
			return
		}
		calls.ServeHTTP(w, r)
	})
}

// callerHandler returns the handler of the caller listener. It answers look-ups and passes every
// other request to the data path.
func callerHandler(p *components) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == lookups.Path {
			p.lookups.ServeHTTP(w, r)
			return
		}
		p.forward.ServeHTTP(w, r)
	})
}
