package admit

import (
	"context"
	"fmt"
	"net/http/httptest"
	"testing"

	"heatherlock/node/seam"
	"heatherlock/peer"
	"heatherlock/peer/peerpb"
	"heatherlock/steering"
)

// BenchmarkAcquireLocal measures a grant from a pool that the entry VM owns,
// including locks and membership look-ups.
func BenchmarkAcquireLocal(b *testing.B) {
	for _, vms := range []int{2, 22} {
		b.Run(fmt.Sprint(vms), func(b *testing.B) {
			z := newZone(b, vms, targets, slots)
			defer z.close()
			owner := z.owner()
			request := seam.AdmitRequest{ID: steering.RequestID("r"), Service: testService, Place: testPlace}
			grant, err := owner.admit.Acquire(b.Context(), request)
			if err != nil {
				b.Fatal(err)
			}
			grant.Done(unusedOutcome())
			b.ReportAllocs()
			for b.Loop() {
				grant, err := owner.admit.Acquire(b.Context(), request)
				if err != nil {
					b.Fatal(err)
				}
				grant.Done(seam.Outcome{ReportedInFlight: -1, ReportedSlots: -1})
			}
		})
	}
}

// loopback returns clients that call entry VMs over HTTP on the loopback interface.
type loopback struct {
	clients *peer.Clients
	byVM    map[string]string
}

func (l *loopback) To(vm string) peerpb.Peer { return l.clients.To(l.byVM[vm]) }

// poolServer serves only the pool methods of peerpb.Peer.
type poolServer struct {
	peerpb.Peer
	*Server
}

func (s poolServer) Acquire(ctx context.Context, r *peerpb.AcquireRequest) (*peerpb.AcquireReply, error) {
	return s.Server.Acquire(ctx, r)
}

func (s poolServer) Release(ctx context.Context, r *peerpb.ReleaseRequest) (*peerpb.ReleaseReply, error) {
	return s.Server.Release(ctx, r)
}

func (s poolServer) Holdings(ctx context.Context, r *peerpb.HoldingsRequest) (*peerpb.HoldingsReply, error) {
	return s.Server.Holdings(ctx, r)
}

// BenchmarkAcquireRemote measures a grant from another entry VM over HTTP on the
// loopback interface. The release of each grant is sent concurrently with the next
// Acquire call.
func BenchmarkAcquireRemote(b *testing.B) {
	z := newZone(b, 2, targets, slots)
	defer z.close()
	net := &loopback{clients: peer.NewClients(nil), byVM: map[string]string{}}
	for _, e := range z.vms {
		server := httptest.NewServer(peerpb.NewPeerServer(poolServer{Server: e.admit.Server()}))
		defer server.Close()
		net.byVM[string(e.name)] = server.Listener.Addr().String()
	}
	holder := z.others(z.owner())[0]
	holder.admit.cfg.Peers, holder.admit.cfg.AcquirePeers = net, net
	request := seam.AdmitRequest{ID: "r", Service: testService, Place: testPlace}
	b.ReportAllocs()
	for b.Loop() {
		grant, err := holder.admit.Acquire(b.Context(), request)
		if err != nil {
			b.Fatal(err)
		}
		grant.Done(seam.Outcome{ReportedInFlight: -1, ReportedSlots: -1})
	}
}
