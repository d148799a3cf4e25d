package relay_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"heatherlock/node/gateway/callers"
	"heatherlock/standin/endpoint"
)

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
