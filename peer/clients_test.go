package peer

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"heatherlock/peer/peerpb"
)

type echo struct{ peerpb.Peer }

func (echo) Beat(_ context.Context, r *peerpb.BeatRequest) (*peerpb.BeatReply, error) {
	return &peerpb.BeatReply{ConfigVersion: r.ConfigVersion}, nil
}

func TestClientsCallAndCache(t *testing.T) {
	server := httptest.NewServer(peerpb.NewPeerServer(echo{}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	clients := NewClients(nil)
	reply, err := clients.To(address).Beat(t.Context(), &peerpb.BeatRequest{ConfigVersion: 7})
	assert.NilError(t, err)
	assert.Equal(t, reply.ConfigVersion, int64(7))
	assert.Assert(t, clients.To(address) == clients.To(address))
}

// Symptom: work handed to a dead peer is reported as "unknown" though nobody
// got it. Sequence: the peer's process has ended; the dial is refused. Cause:
// the proof is in an error that twirp wraps.
func TestDialFailureIsProof(t *testing.T) {
	server := httptest.NewServer(nil)
	address := strings.TrimPrefix(server.URL, "http://")
	server.Close()
	_, err := NewClients(nil).To(address).Beat(t.Context(), &peerpb.BeatRequest{})
	assert.Assert(t, DialFailed(err), "%v", err)
}
