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

// Guards against reporting a call as "unknown" although no peer received it: the peer's process
// has exited and the connection is refused, but twirp wraps the dial error that proves it.
func TestDialFailureIsDetected(t *testing.T) {
	server := httptest.NewServer(nil)
	address := strings.TrimPrefix(server.URL, "http://")
	server.Close()
	_, err := NewClients(nil).To(address).Beat(t.Context(), &peerpb.BeatRequest{})
	assert.Assert(t, DialFailed(err), "%v", err)
}
