package callers_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/node/gateway/callers"
	"heatherlock/steering/routes"
)

// drainRig serves requests that take as long as their path says: /N takes N milliseconds.
type drainRig struct {
	t       *testing.T
	server  *callers.Server
	address string
	mu      sync.Mutex
	started map[string]int // runs, by path
	running atomic.Int64
	body    atomic.Int64 // bytes of streamed bodies
}

func newDrainRig(t *testing.T) *drainRig {
	t.Helper()
	g := &drainRig{t: t, started: make(map[string]int)}
	g.server = callers.NewServer(g, func() routes.Limits { return routes.Limits{} }, 1000)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	g.address = listener.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = g.server.Serve(ctx, listener) }() // returns when the listener is closed
	t.Cleanup(func() { cancel(); _ = listener.Close() })
	return g
}

// Serve implements callers.Handler.
func (g *drainRig) Serve(_ context.Context, r *callers.Request) *callers.Response {
	g.running.Add(1)
	defer g.running.Add(-1)
	g.mu.Lock()
	g.started[r.Path]++
	g.mu.Unlock()
	ms := 0
	_, _ = fmt.Sscanf(r.Path, "/%d", &ms) // any other path takes no time
	time.Sleep(time.Duration(ms) * time.Millisecond)
	if r.BodyRest != nil {
		n, _ := io.Copy(io.Discard, r.BodyRest) // a caller may leave
		g.body.Add(n + int64(len(r.Body)))
	}
	return &callers.Response{Status: http.StatusOK, Header: http.Header{"X-Path": {r.Path}}, Body: []byte(r.Path), Length: int64(len(r.Path))}
}

// Reject implements callers.Handler.
func (*drainRig) Reject(r callers.Rejection) *callers.Response {
	return &callers.Response{Status: r.Status, Header: http.Header{}, Body: []byte(r.Detail)}
}

func (g *drainRig) runs(path string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.started[path]
}

func (g *drainRig) dial() net.Conn {
	g.t.Helper()
	conn, err := net.Dial("tcp4", g.address)
	assert.NilError(g.t, err)
	g.t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(g.t, conn.SetReadDeadline(time.Now().Add(8*time.Second)))
	return conn
}

func (g *drainRig) send(conn net.Conn, text string) {
	g.t.Helper()
	_, err := io.WriteString(conn, text)
	assert.NilError(g.t, err)
}

// answered reads responses until one closes the connection or it ends, and returns their paths.
func (g *drainRig) answered(conn net.Conn, method string) (paths []string, closed bool) {
	in := bufio.NewReader(conn)
	for {
		response, err := http.ReadResponse(in, &http.Request{Method: method})
		if err != nil {
			return paths, false
		}
		_, err = io.Copy(io.Discard, response.Body)
		assert.NilError(g.t, err)
		paths = append(paths, response.Header.Get("X-Path"))
		if response.Close {
			return paths, true
		}
	}
}

// Guards against a connection that never gets a response which closes it, because a request is always behind the
// one being answered, and is cut when the process ends; and against such a response in front of requests that run.
func TestConnectionThatAlwaysHasARequestBehindIsClosed(t *testing.T) {
	g := newDrainRig(t)
	conn := g.dial()
	stop := make(chan struct{})
	go func() {
		for n := 0; ; n++ {
			if _, err := io.WriteString(conn, get(fmt.Sprintf("/50?%d", n))); err != nil {
				return
			}
			select {
			case <-stop:
				return
			case <-time.After(15 * time.Millisecond):
			}
		}
	}()
	time.AfterFunc(300*time.Millisecond, g.server.StartDrain)
	began := time.Now()
	paths, closed := g.answered(conn, http.MethodGet)
	close(stop)
	assert.Assert(t, closed && time.Since(began) < time.Second, "closed %v after %v", closed, time.Since(began))
	for n, path := range paths {
		assert.Equal(t, path, fmt.Sprintf("/50?%d", n))
		assert.Equal(t, g.runs(path), 1)
	}
	time.Sleep(100 * time.Millisecond)
	for n := len(paths); n < len(paths)+20; n++ {
		assert.Equal(t, g.runs(fmt.Sprintf("/50?%d", n)), 0, "the caller sends it again, whatever its kind")
	}
}

// Guards against requests that run and are not answered, because a response closes the connection in front of them
// while an earlier one takes seconds.
func TestSlowFirstRequestWithTenBehind(t *testing.T) {
	g := newDrainRig(t)
	conn := g.dial()
	text := get("/3000")
	for n := range 10 {
		text += get(fmt.Sprintf("/1?%d", n))
	}
	g.send(conn, text)
	time.Sleep(200 * time.Millisecond)
	g.server.StartDrain()
	g.send(conn, get("/behind"))
	paths, closed := g.answered(conn, http.MethodGet)
	assert.Assert(t, closed)
	assert.Equal(t, len(paths), 11)
	assert.Equal(t, g.runs("/behind"), 0)
}

// Guards against a request that is half read when its VM begins to drain, and is dropped or answered in front of
// one that runs: it is the last one, with a header or a body that comes in pieces.
func TestRequestThatIsHalfRead(t *testing.T) {
	post := "POST /last HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n0123456789"
	for name, cut := range map[string]int{"header": 12, "body": len(post) - 4} {
		t.Run(name, func(t *testing.T) {
			g := newDrainRig(t)
			conn := g.dial()
			g.send(conn, get("/300")+post[:cut])
			time.Sleep(150 * time.Millisecond)
			g.server.StartDrain()
			time.Sleep(300 * time.Millisecond)
			g.server.CloseIdle()
			g.send(conn, post[cut:]+get("/behind"))
			paths, closed := g.answered(conn, http.MethodGet)
			assert.Assert(t, closed)
			assert.DeepEqual(t, paths, []string{"/300", "/last"})
			assert.Equal(t, g.runs("/behind"), 0)
		})
	}
}

// Guards against connections without requests that are closed before their next one is answered, and against
// ones that stay open.
func TestIdleConnectionIsClosedWithItsNextResponse(t *testing.T) {
	for name, request := range map[string]string{"GET": get("/1"), "HEAD": "HEAD /1 HTTP/1.1\r\nHost: h\r\n\r\n", "HTTP/1.0": "GET /1 HTTP/1.0\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			g := newDrainRig(t)
			conn, idle := g.dial(), g.dial()
			time.Sleep(50 * time.Millisecond)
			g.server.StartDrain()
			g.send(conn, request)
			paths, closed := g.answered(conn, strings.Fields(request)[0])
			assert.Assert(t, closed && len(paths) == 1)
			g.server.CloseIdle()
			_, err := idle.Read(make([]byte, 1))
			assert.Equal(t, err, io.EOF)
		})
	}
}

// Guards against a body that is cut off, or a response that is lost, because its VM drains while the body is streamed.
func TestStreamedBodyWhileDraining(t *testing.T) {
	g := newDrainRig(t)
	conn := g.dial()
	const length = 2 << 20
	g.send(conn, fmt.Sprintf("POST /200 HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", length))
	body := bytes.Repeat([]byte("b"), length)
	go func() {
		_, _ = conn.Write(body[:length/2])
		time.Sleep(300 * time.Millisecond)
		_, _ = conn.Write(body[length/2:])
		_, _ = io.WriteString(conn, get("/behind"))
	}()
	time.Sleep(100 * time.Millisecond)
	g.server.StartDrain()
	paths, closed := g.answered(conn, http.MethodPost)
	assert.Assert(t, closed && len(paths) == 1)
	assert.Equal(t, g.body.Load(), int64(length))
	assert.Equal(t, g.runs("/behind"), 0)
}

// Guards against a response that the caller loses, because bytes which it sent behind the request were not read
// when the connection was closed, which resets it.
func TestClosingResponseArrivesThoughBytesAreUnread(t *testing.T) {
	g := newDrainRig(t)
	for n := range 20 {
		conn := g.dial()
		assert.NilError(t, conn.(*net.TCPConn).SetReadBuffer(4<<10))
		path := fmt.Sprintf("/20?%d", n)
		g.send(conn, "GET "+path+" HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
		go func() {
			for range 40 {
				if _, err := io.WriteString(conn, get("/behind")+strings.Repeat("x", 4<<10)); err != nil {
					return
				}
				time.Sleep(time.Millisecond)
			}
		}()
		time.Sleep(60 * time.Millisecond) // the response was written, and its bytes wait at the caller
		paths, closed := g.answered(conn, http.MethodGet)
		assert.Assert(t, closed)
		assert.DeepEqual(t, paths, []string{path})
	}
	assert.Equal(t, g.runs("/behind"), 0)
}
