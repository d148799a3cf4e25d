package callers_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
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

// forwarder passes requests on to one target.
type forwarder struct {
	rig
	pool *upstream.Pool
	to   string
}

// Serve implements callers.Handler.
func (f *forwarder) Serve(ctx context.Context, r *callers.Request) *callers.Response {
	got, err := f.pool.Do(ctx, upstream.Call{Target: "t", Address: f.to, DialTimeout: time.Second},
		&upstream.Request{Method: r.Method, Path: r.Path, Host: "h", Header: http.Header{}, Body: r.Body, BodyRest: r.BodyRest, Length: r.Length, ID: "x"})
	if err != nil {
		return f.Reject(callers.Rejection{Status: http.StatusBadGateway, Detail: err.Error()})
	}
	return &callers.Response{Status: got.Status, Header: http.Header{}, Body: got.Body}
}

// BenchmarkLargeUpload measures an upload that is streamed to a target which reads it at once.
func BenchmarkLargeUpload(b *testing.B) {
	for _, mb := range []int{8, 64} {
		b.Run(fmt.Sprint(mb, "MB"), func(b *testing.B) {
			target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body) // a short body shows in the bytes a second
				_, _ = io.WriteString(w, "ok")
			}))
			defer target.Close()
			f := &forwarder{pool: upstream.NewPool(upstream.Dial, func(http.Header) string { return "x" }), to: strings.TrimPrefix(target.URL, "http://")}
			server := callers.NewServer(f, func() routes.Limits { return routes.Limits{} }, 100)
			server.Buffers = buffering.NewVM(buffers.NewConfig(136, math.MaxInt64), log.NewNopLogger(), tally.NoopScope)
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			assert.NilError(b, err)
			defer listener.Close()
			go func() { _ = server.Serve(b.Context(), listener) }() // returns when the listener is closed
			body := make([]byte, mb<<20)
			b.SetBytes(int64(len(body)))
			for b.Loop() {
				response, err := http.Post("http://"+listener.Addr().String()+"/", "", bytes.NewReader(body))
				assert.NilError(b, err)
				assert.Equal(b, response.StatusCode, http.StatusOK)
				_ = response.Body.Close()
			}
		})
	}
}
