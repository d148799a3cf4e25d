package catchup_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"heatherlock/node/gateway/catchup"
	"heatherlock/steering"
	"heatherlock/steering/routes"
	"heatherlock/steering/spread"
)

func index(version uint64, size int) *spread.Index {
	var all []*routes.Route
	for n := range size {
		all = append(all, &routes.Route{Name: fmt.Sprint("r", n), Host: "shop.example", Prefix: fmt.Sprintf("/%05d/", n), MaxAttempts: 2,
			Parts: []routes.WeightedService{{Service: "svc", Weight: 1}}})
	}
	return spread.NewIndex(routes.NewTable(version, all, []*routes.Service{{Name: "svc"}}, routes.Limits{HeaderBytes: 8192}))
}

// reader is a catchup.Reader whose newest version and active configuration a test sets.
type reader struct {
	mu      sync.Mutex
	newest  uint64
	inForce *spread.Index
	inStore *spread.Index
	reads   int
	since   time.Time
}

func (r *reader) Behind() (uint64, time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.newest, time.Since(r.since), r.inForce == nil || r.inForce.Outline().Version < r.newest
}

func (r *reader) Index() *spread.Index {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.inForce
}

func (r *reader) ApplyConfig(x *spread.Index) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inForce = x
}

func (r *reader) ReadConfig(context.Context) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reads++
	if r.inStore == nil {
		return errors.New("store is unavailable")
	}
	r.inForce = r.inStore
	return nil
}

func (r *reader) Rank() int { return 0 }

// peer serves a configuration and counts requests. A test may intercept its responses.
type peer struct {
	*httptest.Server
	requests atomic.Int64
}

func newPeer(t *testing.T, x *spread.Index, intercept func(n int64, w http.ResponseWriter) bool) *peer {
	t.Helper()
	p := &peer{}
	handler := &catchup.Handler{Index: func() *spread.Index { return x }, SendLimiter: spread.NewSendLimiter(1000), Scope: tally.NoopScope, Log: log.NewNopLogger()}
	p.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n := p.requests.Add(1); intercept != nil && intercept(n, w) {
			return
		}
		handler.ServeHTTP(w, r)
	}))
	t.Cleanup(p.CloseClientConnections)
	return p
}

// runUntilCurrent runs a Fetcher until the newest version is active, and returns how long that
// took.
func runUntilCurrent(t *testing.T, r *reader, peers func() []*peer, scope tally.Scope) time.Duration {
	t.Helper()
	f := catchup.NewFetcher(catchup.Config{Reader: r, HTTP: &http.Client{}, Self: "self", PieceBytes: 32 << 10, Scope: scope, Log: log.NewNopLogger(),
		Requester: func() spread.Requester { return spread.Requester{} },
		Peers: func(uint64) []catchup.Peer {
			var all []catchup.Peer
			for n, p := range peers() {
				all = append(all, catchup.Peer{Source: spread.Source{VM: steering.VM(fmt.Sprint(n)), Version: r.newest}, Address: strings.TrimPrefix(p.URL, "http://")})
			}
			return all
		}})
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	began := time.Now()
	r.since = began
	go f.Run(ctx)
	f.Wake()
	for {
		if _, _, behind := r.Behind(); !behind {
			return time.Since(began)
		}
		assert.Assert(t, time.Since(began) < 8*time.Second, "newest version is not active after 8 s")
		time.Sleep(5 * time.Millisecond)
	}
}

// Guards against a VM that fetches a configuration from the first byte again and again, because
// it drops the received pieces when the peer that sends them crashes or stops responding halfway
// and another peer has to take over.
func TestReceivedPiecesSurviveAPeerFailure(t *testing.T) {
	x := index(9, 4200)
	const pieces = 3 // the outline and two more
	stalled := newPeer(t, x, func(n int64, w http.ResponseWriter) bool {
		if n <= pieces {
			return false
		}
		w.WriteHeader(http.StatusOK)
		w.(http.Flusher).Flush()
		time.Sleep(3 * time.Second) // longer than the fetch timeout
		return true
	})
	other := newPeer(t, x, nil)
	r := &reader{newest: 9}
	scope := tally.NewTestScope("", nil)
	took := runUntilCurrent(t, r, func() []*peer {
		if stalled.requests.Load() <= pieces {
			return []*peer{stalled}
		}
		return []*peer{stalled, other}
	}, scope)
	assert.Equal(t, r.Index().Outline().Version, uint64(9))
	assert.Equal(t, len(r.Index().Table().Routes), 4200)
	assert.Assert(t, took < 3*time.Second, "%v", took)
	var bytes int64
	for _, c := range scope.Snapshot().Counters() {
		if c.Name() == "gateway_config_part_bytes" {
			bytes += c.Value()
		}
	}
	whole := newPeer(t, x, nil)
	scope = tally.NewTestScope("", nil)
	runUntilCurrent(t, &reader{newest: 9}, func() []*peer { return []*peer{whole} }, scope)
	var oneCopy int64
	for _, c := range scope.Snapshot().Counters() {
		if c.Name() == "gateway_config_part_bytes" {
			oneCopy += c.Value()
		}
	}
	assert.Assert(t, bytes <= oneCopy+(1<<10), "%d bytes received, one copy of the configuration has %d", bytes, oneCopy)
}

// Guards against VMs that stay behind while the only peer that has the configuration is busy
// sending it to others. A busy peer refuses at once, and is retried after the delay that it gave.
func TestBusyPeerIsRetriedLater(t *testing.T) {
	x := index(9, 200)
	busy := newPeer(t, x, func(n int64, w http.ResponseWriter) bool {
		if n > 3 {
			return false
		}
		w.Header().Set("Heatherlock-Wait-Ms", "40")
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	})
	r := &reader{newest: 9}
	took := runUntilCurrent(t, r, func() []*peer { return []*peer{busy} }, tally.NoopScope)
	assert.Assert(t, took >= 120*time.Millisecond && took < time.Second, "%v", took)
	assert.Equal(t, r.reads, 0)
}

// Guards against an acknowledged configuration that no VM activates: the VM that read it announced
// that it exists and lost power before any peer fetched it, and the others ask only peers.
func TestStoreIsReadWhenNoPeerHasIt(t *testing.T) {
	r := &reader{newest: 9, inForce: index(6, 10), inStore: index(9, 20)}
	took := runUntilCurrent(t, r, func() []*peer { return nil }, tally.NoopScope)
	assert.Assert(t, took >= time.Second && took < 2*time.Second, "%v", took)
	assert.Equal(t, r.reads, 1)
}

// Guards against a VM that accepts a response which is no part of a configuration. A response that
// cannot be decoded or does not fit is rejected, and another peer is asked.
func TestInvalidResponsesAreRejected(t *testing.T) {
	x := index(9, 300)
	invalid := newPeer(t, x, func(n int64, w http.ResponseWriter) bool {
		_, _ = w.Write([]byte("not cbor"))
		return true
	})
	good := newPeer(t, x, nil)
	r := &reader{newest: 9}
	runUntilCurrent(t, r, func() []*peer { return []*peer{invalid, good} }, tally.NoopScope)
	assert.Equal(t, len(r.Index().Table().Routes), 300)
}

// Guards against invalid requests that get no error status: 400 if the body cannot be decoded, 404
// from a VM that has no configuration yet.
func TestInvalidRequestsAreRejected(t *testing.T) {
	p := newPeer(t, index(9, 3), nil)
	response, err := http.Post(p.URL+catchup.Path, "application/cbor", strings.NewReader("nonsense"))
	assert.NilError(t, err)
	defer response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusBadRequest)
	none := newPeer(t, nil, nil)
	response, err = http.Post(none.URL+catchup.Path, "application/cbor", strings.NewReader("\xa0"))
	assert.NilError(t, err)
	defer response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusNotFound)
}

// Guards against configurations that become active later than the links allow: on the first VM
// after 0.8 s and on half of 16 VMs after 1.3 s, over a link that transfers one in 0.05 s. When a
// large configuration grows, all VMs request pieces from the one that has it, each with 25 kB of
// hashes of the routes it has. Two are served and the others are refused with a retry delay, but the
// refused requests fill the link on which the served VMs send theirs: the first piece took 0.12 s,
// refusals up to 0.2 s, each 8 ms longer than the one before, which is the transfer time of a
// request on the link.
func TestRefusedRequestsAreSmall(t *testing.T) {
	x := index(9, 4200)
	room := spread.NewSendLimiter(10)
	for _, other := range []string{"first", "second"} {
		_, ok := room.Turn(time.Now(), spread.LinkLoad{From: other, Piece: 60_000})
		assert.Assert(t, ok)
	}
	var refusedBytes, refused atomic.Int64
	handler := &catchup.Handler{Index: func() *spread.Index { return x }, SendLimiter: room, Scope: tally.NoopScope, Log: log.NewNopLogger()}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, r)
		if recorder.Code == http.StatusServiceUnavailable {
			refused.Add(1)
			refusedBytes.Add(r.ContentLength)
		}
		w.Header().Set("Heatherlock-Wait-Ms", recorder.Header().Get("Heatherlock-Wait-Ms"))
		w.WriteHeader(recorder.Code)
		_, _ = w.Write(recorder.Body.Bytes()) // a client that is gone needs no response
	}))
	t.Cleanup(server.CloseClientConnections)
	r := &reader{newest: 9, inForce: index(6, 2800)}
	runUntilCurrent(t, r, func() []*peer { return []*peer{{Server: server}} }, tally.NoopScope)
	assert.Equal(t, len(r.Index().Table().Routes), 4200)
	assert.Assert(t, refused.Load() > 0, "no request was refused")
	assert.Assert(t, refusedBytes.Load() < 200*refused.Load(), "%d refused requests had %d bytes", refused.Load(), refusedBytes.Load())
}

// Guards against a VM on a narrow link that activates no newer configuration while versions follow
// each other quickly: each time it requests the next piece, its peer has already activated a newer
// version and serves only that one.
func TestReplacedConfigurationIsServedToVMsThatFetchIt(t *testing.T) {
	var version atomic.Uint64
	version.Store(9)
	r := &reader{newest: 9, inForce: index(6, 10)}
	handler := &catchup.Handler{Index: func() *spread.Index { return index(version.Load(), 2000) }, SendLimiter: spread.NewSendLimiter(1000), Scope: tally.NoopScope, Log: log.NewNopLogger()}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		handler.ServeHTTP(w, req)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.newest = version.Add(3) // each response makes a newer version active
	}))
	t.Cleanup(server.CloseClientConnections)
	f := catchup.NewFetcher(catchup.Config{Reader: r, HTTP: &http.Client{}, Self: "self", PieceBytes: 32 << 10, Scope: tally.NoopScope, Log: log.NewNopLogger(),
		Requester: func() spread.Requester { return spread.Requester{} },
		Peers: func(uint64) []catchup.Peer {
			return []catchup.Peer{{Source: spread.Source{VM: "peer", Version: version.Load()}, Address: strings.TrimPrefix(server.URL, "http://")}}
		}})
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go f.Run(ctx)
	f.Wake()
	for began := time.Now(); r.Index().Outline().Version == 6; time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Since(began) < 3*time.Second, "no newer version is active after 3 s, the peer has version %d", version.Load())
	}
}
