package benchlookup

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-faster/errors"

	"heatherlock/node/lookups"
)

// HTTPResult is the result of lookups over HTTP on the loopback interface, with the callers in the
// same process as the server.
type HTTPResult struct {
	Clients          int     `json:"clients"`
	LookupsPerSecond float64 `json:"lookupsPerSecond"`
	P50Ms            float64 `json:"p50Ms"`
	P99Ms            float64 `json:"p99Ms"`
	Failed           int64   `json:"failed"`
	// CPUs is the number of processors that the server and the callers share.
	CPUs int `json:"cpus"`
}

// caller sends lookups one after another over one connection.
type caller struct {
	conn      net.Conn
	reader    *bufio.Reader
	latencies *hdrhistogram.Histogram
	request   []byte
}

func newCaller(address string) (*caller, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "dial")
	}
	request := fmt.Sprintf("GET %s?service=%s HTTP/1.1\r\nHost: %s\r\n\r\n", lookups.Path, services[0], address)
	return &caller{conn: conn, reader: bufio.NewReader(conn), latencies: hdrhistogram.New(1, int64(time.Minute), 3), request: []byte(request)}, nil
}

// lookUp sends one lookup, reads the whole response and records the latency. It returns an error
// unless the status is 200.
func (c *caller) lookUp() error {
	startedAt := time.Now()
	if _, err := c.conn.Write(c.request); err != nil {
		return err
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	if err == nil && response.StatusCode != http.StatusOK {
		err = errors.Errorf("status %d", response.StatusCode)
	}
	_ = c.latencies.RecordValue(time.Since(startedAt).Nanoseconds())
	return err
}

// measureHTTP measures lookups over HTTP on the loopback interface.
func (r *rig) measureHTTP(ctx context.Context, cpus int) (HTTPResult, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return HTTPResult{}, errors.Wrap(err, "listen")
	}
	mux := http.NewServeMux()
	mux.Handle(lookups.Path, r.lookups)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	var callers []*caller
	for range r.deployment.options.Clients {
		c, err := newCaller(listener.Addr().String())
		if err != nil {
			return HTTPResult{}, err
		}
		defer func() { _ = c.conn.Close() }()
		callers = append(callers, c)
	}
	out := runCallers(ctx, callers, r.deployment.options.Round)
	out.CPUs = cpus
	return out, nil
}

// runCallers lets all callers send lookups concurrently for one round. A caller stops at its first
// error.
func runCallers(ctx context.Context, callers []*caller, round time.Duration) HTTPResult {
	ctx, cancel := context.WithTimeout(ctx, round)
	defer cancel()
	var group sync.WaitGroup
	var failed atomic.Int64
	startedAt := time.Now()
	for _, c := range callers {
		group.Go(func() {
			for ctx.Err() == nil {
				if err := c.lookUp(); err != nil {
					failed.Add(1)
					return
				}
			}
		})
	}
	group.Wait()
	elapsed := time.Since(startedAt)
	all := hdrhistogram.New(1, int64(time.Minute), 3)
	for _, c := range callers {
		all.Merge(c.latencies)
	}
	return HTTPResult{
		Clients:          len(callers),
		LookupsPerSecond: float64(all.TotalCount()) / elapsed.Seconds(),
		P50Ms:            float64(all.ValueAtQuantile(50)) / 1e6,
		P99Ms:            float64(all.ValueAtQuantile(99)) / 1e6,
		Failed:           failed.Load(),
	}
}
