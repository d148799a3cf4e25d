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
			Parts: []routes.Part{{Service: "svc", Weight: 1}}})
	}
	return spread.NewIndex(routes.NewTable(version, all, []*routes.Service{{Name: "svc"}}, routes.Limits{HeaderBytes: 8192}))
}

// reader is what a VM knows: the newest version, and what is in force.
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

func (r *reader) Take(x *spread.Index) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inForce = x
}

func (r *reader) ReadConfig(context.Context) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reads++
	if r.inStore == nil {
		return errors.New("the store is away")
	}
	r.inForce = r.inStore
	return nil
}

func (r *reader) Rank() int { return 0 }

// peer tells a configuration, through a handler that may misbehave.
type peer struct {
	*httptest.Server
	asked atomic.Int64
}

func newPeer(t *testing.T, x *spread.Index, misbehave func(n int64, w http.ResponseWriter) bool) *peer {
	t.Helper()
	p := &peer{}
	handler := &catchup.Handler{Index: func() *spread.Index { return x }, Room: spread.NewRoom(1000), Scope: tally.NoopScope, Log: log.NewNopLogger()}
	p.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n := p.asked.Add(1); misbehave != nil && misbehave(n, w) {
			return
		}
		handler.ServeHTTP(w, r)
	}))
	t.Cleanup(p.CloseClientConnections)
	return p
}

// follow runs a fetcher until the newest version is in force.
func follow(t *testing.T, r *reader, peers func() []*peer, scope tally.Scope) time.Duration {
	t.Helper()
	f := catchup.NewFetcher(catchup.Config{Reader: r, HTTP: &http.Client{}, Self: "self", PieceBytes: 32 << 10, Scope: scope, Log: log.NewNopLogger(),
		Asker: func() spread.Asker { return spread.Asker{} },
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
		assert.Assert(t, time.Since(began) < 8*time.Second, "not in force after 8 s")
		time.Sleep(5 * time.Millisecond)
	}
}

// Symptom: a VM gets a configuration from its first byte again and again. Sequence: the
// peer that tells it is killed or falls silent half way; another one has it. Cause: what
// came was thrown away.
func TestWhatCameFromAPeerThatEndsCounts(t *testing.T) {
	x := index(9, 4200)
	const pieces = 3 // the outline and two parts
	silent := newPeer(t, x, func(n int64, w http.ResponseWriter) bool {
		if n <= pieces {
			return false
		}
		w.WriteHeader(http.StatusOK)
		w.(http.Flusher).Flush()
		time.Sleep(3 * time.Second) // longer than is waited for
		return true
	})
	other := newPeer(t, x, nil)
	r := &reader{newest: 9}
	scope := tally.NewTestScope("", nil)
	took := follow(t, r, func() []*peer {
		if silent.asked.Load() <= pieces {
			return []*peer{silent}
		}
		return []*peer{silent, other}
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
	follow(t, &reader{newest: 9}, func() []*peer { return []*peer{whole} }, scope)
	var once int64
	for _, c := range scope.Snapshot().Counters() {
		if c.Name() == "gateway_config_part_bytes" {
			once += c.Value()
		}
	}
	assert.Assert(t, bytes <= once+(1<<10), "%d bytes came, the configuration has %d", bytes, once)
}

// Symptom: all VMs are behind while the only one that has the configuration is busy telling
// it. One without room says so at once, and is asked again when it has.
func TestPeerWithoutRoomIsAskedAgainLater(t *testing.T) {
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
	took := follow(t, r, func() []*peer { return []*peer{busy} }, tally.NoopScope)
	assert.Assert(t, took >= 120*time.Millisecond && took < time.Second, "%v", took)
	assert.Equal(t, r.reads, 0)
}

// Symptom: a configuration that was acknowledged is in force nowhere. Sequence: the VM that
// read it told that it exists, and lost power. Cause: asking peers alone.
func TestStoreIsReadWhenNoPeerHasIt(t *testing.T) {
	r := &reader{newest: 9, inForce: index(6, 10), inStore: index(9, 20)}
	took := follow(t, r, func() []*peer { return nil }, tally.NoopScope)
	assert.Assert(t, took >= time.Second && took < 2*time.Second, "%v", took)
	assert.Equal(t, r.reads, 1)
}

// Symptom: a VM takes parts that are no answer for a configuration. What cannot be decoded
// or does not fit is refused, and another peer is asked.
func TestSpoiledAnswersAreNotTaken(t *testing.T) {
	x := index(9, 300)
	spoiled := newPeer(t, x, func(n int64, w http.ResponseWriter) bool {
		_, _ = w.Write([]byte("not cbor"))
		return true
	})
	good := newPeer(t, x, nil)
	r := &reader{newest: 9}
	follow(t, r, func() []*peer { return []*peer{spoiled, good} }, tally.NoopScope)
	assert.Equal(t, len(r.Index().Table().Routes), 300)
}

// Bad questions get an error that says what is wrong.
func TestBadQuestionsAreRefused(t *testing.T) {
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

// Symptom: configurations are in force everywhere later than the links allow: the first VM
// has one after 0.8 s, half of 16 VMs after 1.3 s, though its link passes it in 0.05 s.
//
// Sequence: a large configuration grows. All VMs ask the one that has it for parts, each
// with the hashes of the routes that it has, 25 kB. Two are served, the others are told to
// come back. Cause: their questions fill the link on which those that are served ask.
//
// Evidence: the first part was under way for 0.12 s, refusals for up to 0.2 s, and each
// further one took 8 ms longer, which is what a question takes on the link.
func TestQuestionsInVainAreShort(t *testing.T) {
	x := index(9, 4200)
	room := spread.NewRoom(10)
	for _, other := range []string{"first", "second"} {
		_, ok := room.Turn(time.Now(), spread.Ask{From: other, Piece: 60_000})
		assert.Assert(t, ok)
	}
	var vain, refused atomic.Int64
	handler := &catchup.Handler{Index: func() *spread.Index { return x }, Room: room, Scope: tally.NoopScope, Log: log.NewNopLogger()}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answer := httptest.NewRecorder()
		handler.ServeHTTP(answer, r)
		if answer.Code == http.StatusServiceUnavailable {
			refused.Add(1)
			vain.Add(r.ContentLength)
		}
		w.Header().Set("Heatherlock-Wait-Ms", answer.Header().Get("Heatherlock-Wait-Ms"))
		w.WriteHeader(answer.Code)
		_, _ = w.Write(answer.Body.Bytes()) // an asker that is gone needs none
	}))
	t.Cleanup(server.CloseClientConnections)
	r := &reader{newest: 9, inForce: index(6, 2800)}
	follow(t, r, func() []*peer { return []*peer{{Server: server}} }, tally.NoopScope)
	assert.Equal(t, len(r.Index().Table().Routes), 4200)
	assert.Assert(t, refused.Load() > 0, "no question was in vain")
	assert.Assert(t, vain.Load() < 200*refused.Load(), "%d questions in vain took %d bytes", refused.Load(), vain.Load())
}

// Symptom: a VM on a narrow link has no newer configuration in force while versions come one
// after the other. Sequence: the peer has a newer one in force each time that it is asked for
// the next part. Cause: telling nothing but the newest.
func TestWhatAVMHasBegunToAskForIsToldAfterItWasReplaced(t *testing.T) {
	var version atomic.Uint64
	version.Store(9)
	r := &reader{newest: 9, inForce: index(6, 10)}
	handler := &catchup.Handler{Index: func() *spread.Index { return index(version.Load(), 2000) }, Room: spread.NewRoom(1000), Scope: tally.NoopScope, Log: log.NewNopLogger()}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		handler.ServeHTTP(w, req)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.newest = version.Add(3) // a newer one with each answer
	}))
	t.Cleanup(server.CloseClientConnections)
	f := catchup.NewFetcher(catchup.Config{Reader: r, HTTP: &http.Client{}, Self: "self", PieceBytes: 32 << 10, Scope: tally.NoopScope, Log: log.NewNopLogger(),
		Asker: func() spread.Asker { return spread.Asker{} },
		Peers: func(uint64) []catchup.Peer {
			return []catchup.Peer{{Source: spread.Source{VM: "peer", Version: version.Load()}, Address: strings.TrimPrefix(server.URL, "http://")}}
		}})
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go f.Run(ctx)
	f.Wake()
	for began := time.Now(); r.Index().Outline().Version == 6; time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Since(began) < 3*time.Second, "no newer one in force after 3 s, version %d is in force at the peer", version.Load())
	}
}
