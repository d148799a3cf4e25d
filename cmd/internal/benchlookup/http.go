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

// HTTPResult is look-ups over loopback HTTP, callers in the same process.
type HTTPResult struct {
	Clients          int     `json:"clients"`
	LookupsPerSecond float64 `json:"lookupsPerSecond"`
	P50Ms            float64 `json:"p50Ms"`
	P99Ms            float64 `json:"p99Ms"`
	Failed           int64   `json:"failed"`
	// CPUs is the number of processors that server and callers shared.
	CPUs int `json:"cpus"`
}

// caller keeps one connection and sends one look-up after another.
type caller struct {
	conn    net.Conn
	reader  *bufio.Reader
	times   *hdrhistogram.Histogram
	request []byte
}

func newCaller(address string) (*caller, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "dial")
	}
	request := fmt.Sprintf("GET %s?service=%s HTTP/1.1\r\nHost: %s\r\n\r\n", lookups.Path, services[0], address)
	return &caller{conn: conn, reader: bufio.NewReader(conn), times: hdrhistogram.New(1, int64(time.Minute), 3), request: []byte(request)}, nil
}

// lookUp sends one look-up and reads its answer whole.
func (c *caller) lookUp() error {
	begun := time.Now()
	if _, err := c.conn.Write(c.request); err != nil {
		return err
	}
	reply, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, reply.Body)
	_ = reply.Body.Close()
	if err == nil && reply.StatusCode != http.StatusOK {
		err = errors.Errorf("status %d", reply.StatusCode)
	}
	_ = c.times.RecordValue(time.Since(begun).Nanoseconds())
	return err
}

// overHTTP measures look-ups over loopback.
func (r *rig) overHTTP(ctx context.Context, cpus int) (HTTPResult, error) {
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
	for range r.world.options.Clients {
		c, err := newCaller(listener.Addr().String())
		if err != nil {
			return HTTPResult{}, err
		}
		defer func() { _ = c.conn.Close() }()
		callers = append(callers, c)
	}
	out := drive(ctx, callers, r.world.options.Round)
	out.CPUs = cpus
	return out, nil
}

// drive lets every caller send for a round.
func drive(ctx context.Context, callers []*caller, round time.Duration) HTTPResult {
	ctx, cancel := context.WithTimeout(ctx, round)
	defer cancel()
	var group sync.WaitGroup
	var failed atomic.Int64
	begun := time.Now()
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
	took := time.Since(begun)
	all := hdrhistogram.New(1, int64(time.Minute), 3)
	for _, c := range callers {
		all.Merge(c.times)
	}
	return HTTPResult{
		Clients:          len(callers),
		LookupsPerSecond: float64(all.TotalCount()) / took.Seconds(),
		P50Ms:            float64(all.ValueAtQuantile(50)) / 1e6,
		P99Ms:            float64(all.ValueAtQuantile(99)) / 1e6,
		Failed:           failed.Load(),
	}
}
