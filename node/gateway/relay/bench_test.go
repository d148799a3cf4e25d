package relay_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"heatherlock/node/gateway/callers"
	"heatherlock/standin/endpoint"
)

// BenchmarkCall measures a call over a caller's connection while nothing is wrong, its target included.
func BenchmarkCall(b *testing.B) {
	g := newRig(&testing.T{}, 2, func(c *endpoint.Config) { c.Work = 0 })
	conn, err := net.Dial("tcp4", g.address)
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	in := bufio.NewReader(conn)
	ask := func(n int) {
		fmt.Fprintf(conn, "GET /read/1 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: b%d\r\nX-Affinity-Key: 17\r\nX-Deadline-Ms: 2000\r\n\r\n", n)
		response, err := http.ReadResponse(in, nil)
		if err != nil || response.StatusCode != http.StatusOK {
			b.Fatal(err, response)
		}
		_, _ = io.Copy(io.Discard, response.Body) // a missing end breaks the next response
	}
	ask(-1)
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		ask(n)
	}
}

// BenchmarkRequest measures what a request costs while nothing is wrong, its target included.
func BenchmarkRequest(b *testing.B) {
	g := newRig(&testing.T{}, 2, func(c *endpoint.Config) { c.Work = 0 })
	ask := func(n int) {
		r := &callers.Request{Method: http.MethodGet, Path: "/read/1", Host: "shop.example", Received: time.Now(),
			Header: http.Header{"X-Request-Id": {fmt.Sprint("b", n)}, "X-Affinity-Key": {"17"}, "X-Deadline-Ms": {"2000"}}}
		if response := g.relay.Serve(context.Background(), r); response.Status != http.StatusOK {
			b.Fatal(response.Status)
		}
	}
	ask(-1)
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		ask(n)
	}
}
