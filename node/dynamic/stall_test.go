package dynamic

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"heatherlock/peer"
	"heatherlock/peer/peerpb"
	"heatherlock/responses"
)

// Guards against an entry VM on a slow link that never starts: a whole configuration of
// several megabytes takes longer than the timeout of a fetch, and each fetch begins at its
// first byte again. A fetch waits for a reply that makes progress, and ends if it stalls.
func TestFetchWaitsWhileReplyMakesProgress(t *testing.T) {
	t.Parallel()
	const pieces = 12
	reply := &peerpb.FetchConfigReply{Version: 9, Whole: true}
	for range pieces {
		reply.Objects = append(reply.Objects, &peerpb.ConfigObject{Kind: "k", Value: bytes.Repeat([]byte{1}, 64<<10)})
	}
	raw, err := proto.Marshal(reply)
	assert.NilError(t, err)
	const pause = minDeltaTimeout / 4 // 2.4 s in total
	stop := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/protobuf")
		for n := range pieces {
			if stop > 0 && n == stop {
				<-r.Context().Done()
				return
			}
			_, _ = w.Write(raw[n*len(raw)/pieces : (n+1)*len(raw)/pieces]) // the client may have disconnected
			w.(http.Flusher).Flush()
			time.Sleep(pause)
		}
	}))
	t.Cleanup(server.CloseClientConnections)
	fetch := func(transport http.RoundTripper) (*peerpb.FetchConfigReply, error) {
		ctx, stall := responses.WithStallTimeout(t.Context(), minDeltaTimeout)
		defer stall.Release()
		clients := peer.NewClients(&http.Client{Transport: transport})
		got, err := clients.To(strings.TrimPrefix(server.URL, "http://")).FetchConfig(ctx, &peerpb.FetchConfigRequest{})
		return got, stall.Cause(err)
	}
	got, err := fetch(responses.StallTransport{Transport: &http.Transport{}})
	assert.NilError(t, err)
	assert.Equal(t, len(got.Objects), pieces)
	_, err = fetch(&http.Transport{})
	assert.ErrorIs(t, err, responses.ErrStalled, "a transport that does not report progress")
	stop = 3
	began := time.Now()
	_, err = fetch(responses.StallTransport{Transport: &http.Transport{}})
	assert.ErrorIs(t, err, responses.ErrStalled)
	assert.Assert(t, time.Since(began) < 3*minDeltaTimeout, "the fetch ended after %v", time.Since(began))
}

// Guards against a StallTransport that loses the TLS configuration of its transport.
func TestStallTransportKeepsTLS(t *testing.T) {
	t.Parallel()
	called := make(chan struct{}, 1)
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		called <- struct{}{}
		w.Header().Set("Content-Type", "application/protobuf")
	}))
	t.Cleanup(server.Close)
	transport := server.Client().Transport.(*http.Transport)
	clients := peer.NewClients(&http.Client{Transport: responses.StallTransport{Transport: transport}})
	_, err := clients.To(strings.TrimPrefix(server.URL, "https://")).FetchConfig(t.Context(), &peerpb.FetchConfigRequest{})
	assert.NilError(t, err)
	assert.Equal(t, len(called), 1)
}
