package callers_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/node/gateway/callers"
	"heatherlock/steering/routes"
)

// limitsRig is a drainRig whose limits can change.
type limitsRig struct {
	*drainRig
	limits atomic.Pointer[routes.Limits]
}

func newLimitsRig(t *testing.T, limits routes.Limits) *limitsRig {
	t.Helper()
	g := &limitsRig{drainRig: &drainRig{t: t, started: make(map[string]int)}}
	g.limits.Store(&limits)
	g.server = callers.NewServer(g, func() routes.Limits { return *g.limits.Load() }, 10)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	g.address = listener.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = g.server.Serve(ctx, listener) }() // returns when the listener is closed
	t.Cleanup(func() { cancel(); _ = listener.Close() })
	return g
}

// exchange sends a request with a header of some bytes and returns the status of the response, or 0 if there is none.
func (g *limitsRig) exchange(conn net.Conn, path string, padding int) int {
	g.t.Helper()
	if _, err := conn.Write([]byte("GET " + path + " HTTP/1.1\r\nHost: a.example\r\nX-Padding: " + strings.Repeat("p", padding) + "\r\n\r\n")); err != nil {
		return 0
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

func limitsOf(headerBytes int, idle time.Duration) routes.Limits {
	return routes.Limits{HeaderBytes: headerBytes, HeaderTimeout: 3 * time.Second, IdleTimeout: idle}
}

// Guards against a request that is judged by the limits of the time when its connection became idle.
func TestRequestOnIdleConnectionIsJudgedByNewLimits(t *testing.T) {
	for _, c := range []struct{ before, after, status int }{
		{8000, 20000, http.StatusOK}, {20000, 8000, http.StatusRequestHeaderFieldsTooLarge}, {20000, 300, http.StatusRequestHeaderFieldsTooLarge}} {
		g := newLimitsRig(t, limitsOf(c.before, 5*time.Second))
		unused, used := g.dial(), g.dial()
		assert.Equal(t, g.exchange(used, "/0", 10), http.StatusOK)
		time.Sleep(50 * time.Millisecond) // until both are waited on
		changed := limitsOf(c.after, 5*time.Second)
		g.limits.Store(&changed)
		assert.Equal(t, g.exchange(unused, "/0", 11000), c.status, "%+v", c)
		assert.Equal(t, g.exchange(used, "/0", 11000), c.status, "%+v", c)
	}
}

// Guards against an idle connection that is closed after a time that the configuration in force no longer states.
func TestIdleConnectionIsKeptForTheNewTimeout(t *testing.T) {
	g := newLimitsRig(t, limitsOf(1000, 150*time.Millisecond))
	conn, idle := g.dial(), g.dial()
	longer := limitsOf(1000, 800*time.Millisecond)
	time.Sleep(50 * time.Millisecond)
	g.limits.Store(&longer)
	time.Sleep(350 * time.Millisecond)
	assert.Equal(t, g.exchange(conn, "/0", 10), http.StatusOK)
	_, err := idle.Read(make([]byte, 1))
	assert.ErrorContains(t, err, "EOF", "it is closed after the new time")
}

// Guards against a connection that is closed right after a response, because the idle timeout counts from the request.
func TestIdleTimeCountsFromTheResponse(t *testing.T) {
	g := newLimitsRig(t, limitsOf(1000, 600*time.Millisecond))
	conn := g.dial()
	for range 3 {
		assert.Equal(t, g.exchange(conn, "/500", 10), http.StatusOK)
		time.Sleep(400 * time.Millisecond)
	}
	began := time.Now()
	_, err := conn.Read(make([]byte, 1))
	assert.ErrorContains(t, err, "EOF")
	assert.Assert(t, time.Since(began) < 500*time.Millisecond, "idle for longer than the timeout")
}

// Guards against a header that is accepted although it is over a limit, because it came with the first byte.
func TestShortHeaderIsHeldToASmallLimit(t *testing.T) {
	const around = len("GET /0 HTTP/1.1\r\nHost: a.example\r\nX-Padding: \r\n\r\n")
	g := newLimitsRig(t, limitsOf(1000, time.Second))
	conn := g.dial()
	assert.Equal(t, g.exchange(conn, "/0", 1000-around), http.StatusOK)
	assert.Equal(t, g.exchange(conn, "/0", 1000-around+1), http.StatusRequestHeaderFieldsTooLarge)
}

// Guards against a VM that rejects what the configuration allows because it does not know the configuration yet.
func TestHeaderIsNotRejectedBeforeALimitIsKnown(t *testing.T) {
	g := newLimitsRig(t, routes.Limits{})
	assert.Equal(t, g.exchange(g.dial(), "/0", 60<<10), http.StatusOK)
}
