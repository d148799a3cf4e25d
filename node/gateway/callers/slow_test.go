package callers_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"heatherlock/node/gateway/buffering"
	"heatherlock/node/gateway/callers"
	"heatherlock/node/gateway/upstream"
	"heatherlock/steering/buffers"
	"heatherlock/steering/routes"
)

// rig passes callers' requests to a target that answers /N with N bytes, /chunked with 8 MB of unknown
// length, and /unread without reading the body for a while.
type rig struct {
	t       *testing.T
	vm      *buffering.VM
	scope   tally.TestScope
	pool    *upstream.Pool
	target  string
	address string
	arrived atomic.Int64
	release chan struct{} // lets /unread end
}

// targetSendBuffer bounds in bytes what the kernel holds of the responses of a target to one connection.
const targetSendBuffer = 64 << 10

var data = bytes.Repeat([]byte("0123456789abcdef"), 1<<19)

func newRig(t *testing.T, cfg buffers.Config) *rig {
	g := &rig{t: t, scope: tally.NewTestScope("", nil), release: make(chan struct{})}
	g.vm = buffering.NewVM(cfg, log.NewNopLogger(), g.scope)
	g.pool = upstream.NewPool(upstream.Dial, func(http.Header) string { return "x" })
	target := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.arrived.Add(1)
		n := len(data)
		if r.URL.Path == "/unread" {
			<-g.release
			n = 1
		} else if _, err := fmt.Sscanf(r.URL.Path, "/%d", &n); err == nil {
			w.Header().Set("Content-Length", fmt.Sprint(n))
		}
		_, _ = w.Write(data[:n])
	}))
	// What targets send is held by machines of their own, not by the one on which all of this runs.
	target.Config.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		assert.Check(t, c.(*net.TCPConn).SetWriteBuffer(targetSendBuffer))
		return ctx
	}
	target.Start()
	g.target = strings.TrimPrefix(target.URL, "http://")
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	g.address = listener.Addr().String()
	server := callers.NewServer(g, func() routes.Limits { return routes.Limits{} }, 1000)
	server.Buffers = g.vm
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = server.Serve(ctx, listener) }() // returns when the listener is closed
	t.Cleanup(func() { cancel(); _ = listener.Close(); target.CloseClientConnections(); go target.Close() })
	return g
}

// Serve implements callers.Handler.
func (g *rig) Serve(ctx context.Context, r *callers.Request) *callers.Response {
	got, err := g.pool.Do(ctx, upstream.Call{Target: "t", Address: g.target, DialTimeout: time.Second},
		&upstream.Request{Method: r.Method, Path: r.Path, Host: "h", Header: http.Header{}, Body: r.Body, BodyRest: r.BodyRest, Length: r.Length, ID: "x"})
	if err != nil {
		return g.Reject(callers.Rejection{Status: http.StatusBadGateway, Detail: err.Error()})
	}
	return &callers.Response{Status: got.Status, Header: http.Header{}, Body: got.Body, BodyRest: got.BodyRest, Length: got.Length}
}

// Reject implements callers.Handler.
func (*rig) Reject(r callers.Rejection) *callers.Response {
	return &callers.Response{Status: r.Status, Header: http.Header{}, Body: []byte(r.Detail)}
}

// send opens a connection with a small receive buffer and sends text.
func (g *rig) send(text string) net.Conn {
	conn, err := net.Dial("tcp4", g.address)
	assert.NilError(g.t, err)
	g.t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(g.t, conn.(*net.TCPConn).SetReadBuffer(16<<10))
	_, _ = io.WriteString(conn, text) // the VM may cut the connection while it is written
	return conn
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

// read reads a response with its whole body.
func read(conn io.Reader) (int, []byte, error) {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, nil, err
	}
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, body, err
}

func (g *rig) cuts(cause string) int64 {
	for _, c := range g.scope.Snapshot().Counters() {
		if c.Tags()["cause"] == cause {
			return c.Value()
		}
	}
	return 0
}

func (g *rig) awaitReleased() {
	g.t.Helper()
	g.await(func(held int64, heldBack int) bool { return held == 0 && heldBack == 0 })
}

// awaitHeldBack waits until a connection is held back, and returns the bytes held then.
func (g *rig) awaitHeldBack() int64 {
	g.t.Helper()
	return g.await(func(_ int64, heldBack int) bool { return heldBack == 1 })
}

func (g *rig) await(met func(int64, int) bool) int64 {
	g.t.Helper()
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		held, heldBack := g.vm.Held()
		if met(held, heldBack) {
			return held
		}
		assert.Assert(g.t, time.Now().Before(end), "%d bytes, %d connections", held, heldBack)
	}
}

func bounds(total int64) buffers.Config {
	return buffers.Config{Total: total, PerConnection: 1 << 20, MinStall: 300 * time.Millisecond, MaxStall: 1500 * time.Millisecond}
}

// Guards against a VM of 136 MB that is killed, or delays its other callers, because hundreds of
// callers ask for large responses and do not read them.
func TestHundredsOfSlowReaders(t *testing.T) {
	cfg := buffers.NewConfig(136, math.MaxInt64)
	g := newRig(t, cfg)
	for n := range 300 {
		g.send(get([]string{"/4000000", "/200000", "/chunked"}[n%3]))
	}
	client := &http.Client{}
	var took []time.Duration
	var mostHeld int64
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		began := time.Now()
		response, err := client.Get("http://" + g.address + "/20000")
		assert.NilError(t, err)
		body, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(body, data[:20000]))
		took = append(took, time.Since(began))
		held, _ := g.vm.Held()
		mostHeld = max(mostHeld, held)
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	slices.Sort(took)
	t.Logf("%d requests: median %v, p99 %v; most held %d MB, heap %d MB, cuts %d", len(took), took[len(took)/2], took[len(took)*99/100], mostHeld>>20, m.HeapSys>>20, g.cuts("memory_caller"))
	assert.Assert(t, mostHeld <= cfg.Total && mostHeld > cfg.Total/2)
	assert.Assert(t, g.cuts("memory_caller") > 0)
	assert.Assert(t, took[len(took)*99/100] < 300*time.Millisecond)
	assert.Assert(t, m.HeapSys < 136<<20, "callers and the target included")
}

// Guards against a response that was broken off but looks complete, and against bytes that stay
// reserved for it.
func TestStalledCallerIsCutAndSeesIt(t *testing.T) {
	for _, request := range []string{get("/8000000"), get("/chunked"), "GET /chunked HTTP/1.0\r\n\r\n"} {
		g := newRig(t, bounds(8<<20))
		conn := g.send(request)
		g.awaitHeldBack()
		g.awaitReleased()
		assert.Equal(t, g.cuts("stalled_caller"), int64(1))
		_, _, err := read(conn)
		assert.Assert(t, err != nil)
	}
}

// Guards against cutting a caller that reads: it takes several times the longest stall.
func TestCallerThatReadsAByteAtATimeGetsAll(t *testing.T) {
	g := newRig(t, bounds(8<<20))
	conn := g.send(get("/700000"))
	_, body, err := read(iotest.OneByteReader(&pausingReader{Reader: conn}))
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(body, data[:700000]))
	g.awaitReleased()
}

// pausingReader pauses for 10 ms after each 2,000 reads.
type pausingReader struct {
	io.Reader
	reads int
}

func (r *pausingReader) Read(p []byte) (int, error) {
	if r.reads++; r.reads%2000 == 0 {
		time.Sleep(10 * time.Millisecond)
	}
	return r.Reader.Read(p)
}

// Guards against a target that stops reading a body and so holds its caller's bytes for ever. The
// caller gets a response.
func TestTargetThatStallsWhileItReadsABody(t *testing.T) {
	g := newRig(t, bounds(8<<20))
	conn := g.send("POST /unread HTTP/1.1\r\nHost: h\r\nContent-Length: 8388608\r\n\r\n")
	go func() { _, _ = conn.Write(data) }() // ends with the connection
	held := g.awaitHeldBack()
	assert.Assert(t, held >= 512<<10 && held <= 2<<20, "%d bytes", held)
	status, _, err := read(conn)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusBadGateway)
	assert.Equal(t, g.cuts("stalled_target"), int64(1))
	g.awaitReleased()
}

// Guards against a caller that makes the VM hold the responses to any number of requests.
func TestPipeliningCallerThatNeverReads(t *testing.T) {
	g := newRig(t, bounds(64<<20))
	g.send(strings.Repeat(get("/200000"), 500))
	time.Sleep(time.Second)
	held, _ := g.vm.Held()
	assert.Assert(t, held < 17*256<<10 && g.arrived.Load() <= 18, "%d bytes, %d requests", held, g.arrived.Load())
	g.awaitReleased()
	assert.Equal(t, g.cuts("stalled_caller"), int64(1))
}

// Guards against a request that waits, or takes the place of one that is being served, when the
// memory is used up and nobody reads slowly.
func TestRequestIsRefusedAtOnceIfNobodyCanBeCut(t *testing.T) {
	g := newRig(t, bounds(100<<10))
	post := func() net.Conn {
		return g.send("POST /unread HTTP/1.1\r\nHost: h\r\nContent-Length: 60000\r\n\r\n" + string(data[:60000]))
	}
	first := post()
	time.Sleep(100 * time.Millisecond)
	began := time.Now()
	status, _, err := read(post())
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Assert(t, time.Since(began) < 200*time.Millisecond)
	_, body, err := read(g.send("GET /90000 HTTP/1.1\r\nHost: h\r\n\r\n"))
	assert.NilError(t, err)
	assert.Equal(t, len(body), 90000, "a response is streamed instead")
	close(g.release)
	status, _, err = read(first)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	g.awaitReleased()
}

// Guards against a VM of 136 MB that is killed because hundreds of callers upload large bodies to targets which read
// nothing: each holds what was read, and as much again in the kernel from the first byte that is streamed. Those
// for which there is no room are refused at once.
func TestHundredsOfStalledUploads(t *testing.T) {
	cfg := buffers.NewConfig(136, math.MaxInt64)
	cfg.MaxStall = 3 * time.Second
	g := newRig(t, cfg)
	const uploads = 500
	statuses := make(chan int, uploads)
	for range uploads {
		conn := g.send("POST /unread HTTP/1.1\r\nHost: h\r\nContent-Length: 2097152\r\n\r\n")
		go func() { _, _ = conn.Write(data[:2<<20]) }() // ends with the connection
		go func() {
			status, _, _ := read(conn) // 0 if the connection was cut
			statuses <- status
		}()
	}
	var mostHeld int64
	var mostHeap uint64
	answered := make(map[int]int)
	for n := 0; n < uploads; {
		select {
		case status := <-statuses:
			answered[status]++
			n++
		case <-time.After(20 * time.Millisecond):
			held, _ := g.vm.Held()
			mostHeld = max(mostHeld, held)
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			mostHeap = max(mostHeap, m.HeapInuse)
		}
	}
	t.Logf("answers by status: %v; most held %d MB, most heap %d MB with 500 callers and the target", answered, mostHeld>>20, mostHeap>>20)
	assert.Assert(t, mostHeld <= cfg.Total && mostHeld > cfg.Total/2)
	assert.Assert(t, mostHeap < 136<<20)
	assert.Assert(t, answered[http.StatusServiceUnavailable] > uploads/2, "refused at once: they have not run")
	g.awaitReleased()
}
