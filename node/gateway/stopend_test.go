package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/standin/endpoint"
)

// Guards against a stop that closes connections without an answer: to a request whose target is silent, and to one
// behind it whose response is ready.
func TestStopAnswersWhatItHasBeforeItEnds(t *testing.T) {
	t.Parallel()
	s := newTestCluster(t)
	for _, kind := range []string{"safe", "unsafe"} {
		s.route("long-"+kind, kind)
		s.routes[len(s.routes)-1]["timeoutMs"] = 20_000
	}
	s.configure()
	v := s.startAll(2)[0]
	within(t, 3*time.Second, "routes", func() bool { return s.request(v, "/long-safe/1") == 200 })
	for _, e := range s.targets {
		e.SetFault(func(r *http.Request) endpoint.Fault {
			if strings.HasSuffix(r.URL.Path, "/silent") {
				return endpoint.Dark
			}
			return endpoint.None
		})
	}
	v.stop()
	began := time.Now()
	ask := func(paths ...string) *bufio.Reader {
		conn, err := net.Dial("tcp4", v.settings.Listen.Callers)
		assert.NilError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		for n, path := range paths {
			_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: q-%s-%d\r\nX-Deadline-Ms: 18000\r\n\r\n", path, strings.Trim(path, "/"), n)
			assert.NilError(t, err)
		}
		assert.NilError(t, conn.SetReadDeadline(began.Add(6*time.Second)))
		return bufio.NewReader(conn)
	}
	read := func(what string, in *bufio.Reader, status int) {
		response, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Errorf("%s: no answer after %v: %v", what, time.Since(began), err)
			return
		}
		_, err = io.Copy(io.Discard, response.Body)
		assert.Check(t, err, what)
		assert.Check(t, response.StatusCode == status, "%s: %d", what, response.StatusCode)
	}
	pipelined := ask("/long-safe/silent", "/read/1")
	unsafe := ask("/long-unsafe/silent")
	read("silent target", pipelined, http.StatusBadGateway)
	assert.Check(t, time.Since(began) >= 5*time.Second, "given up before the last sixth of the time until SIGKILL")
	read("ready response behind it", pipelined, http.StatusOK)
	read("silent target of a purchase", unsafe, http.StatusBadGateway)
	assert.Equal(t, len(s.targets["t1"].Runs())+len(s.targets["t2"].Runs()) > 0, true)
	assert.NilError(t, <-v.done)
}

// Guards against an upload that ends without an answer because its caller is still sending the body when its VM has to end.
func TestUploadInProgressIsAnsweredBeforeAStopEnds(t *testing.T) {
	t.Parallel()
	s := newTestCluster(t)
	s.route("photo", "upload")
	s.routes[len(s.routes)-1]["timeoutMs"] = 20_000
	s.configure()
	v := s.startAll(2)[0]
	within(t, 3*time.Second, "routes", func() bool { return s.request(v, "/read/1") == 200 })
	conn, err := net.Dial("tcp4", v.settings.Listen.Callers)
	assert.NilError(t, err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "PUT /photo/1 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: up-1\r\nX-Deadline-Ms: 18000\r\nContent-Length: 1000000\r\n\r\n")
	assert.NilError(t, err)
	_, err = conn.Write(make([]byte, 600<<10))
	assert.NilError(t, err)
	go func() { // ends with the connection
		for {
			if _, err := conn.Write(make([]byte, 1<<10)); err != nil {
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
	}()
	time.Sleep(200 * time.Millisecond)
	v.stop()
	began := time.Now()
	assert.NilError(t, conn.SetReadDeadline(began.Add(6*time.Second)))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err, "no answer after %v", time.Since(began))
	assert.Equal(t, response.StatusCode, http.StatusBadGateway)
	assert.NilError(t, <-v.done)
}
