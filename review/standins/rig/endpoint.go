package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// segmentBytes is the segment size of Ethernet. On loopback it would be 64 KB, and the kernel of the sender
	// would take megabytes before a peer that does not read blocks it.
	segmentBytes = 1460
	// receiveBytes is the receive buffer of an endpoint's connection.
	receiveBytes = 16 << 10
)

// endpoint is a server as the platform's pages describe it.
type endpoint struct {
	id, service, zone string
	slotCount         int
	work              time.Duration
	record            *record
	listener          net.Listener
	slots             chan struct{}

	mu       sync.Mutex
	changed  *sync.Cond
	silent   bool
	since    time.Time
	waiting  int
	runCount int
}

func startEndpoint(id, service, zone string, slots int, work time.Duration, r *record) (*endpoint, error) {
	e := &endpoint{id: id, service: service, zone: zone, slotCount: slots, work: work, record: r, slots: make(chan struct{}, slots)}
	e.changed = sync.NewCond(&e.mu)
	options := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) {
			failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentBytes)
			if failed == nil {
				failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBytes)
			}
		})
		if err != nil {
			return err
		}
		return failed
	}}
	var err error
	if e.listener, err = options.Listen(context.Background(), "tcp4", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	server := &http.Server{Handler: e}
	go func() { _ = server.Serve(silencingListener{e.listener, e}) }() // returns when the process ends
	return e, nil
}

func (e *endpoint) address() string { return e.listener.Addr().String() }

// setSilent makes the endpoint neither read nor answer, or ends that.
func (e *endpoint) setSilent(silent bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if silent && !e.silent {
		e.since = time.Now()
	}
	e.silent = silent
	e.changed.Broadcast()
}

func (e *endpoint) silentSince() (time.Time, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.since, e.silent
}

// awaitVoice returns once the endpoint is not silent.
func (e *endpoint) awaitVoice() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for e.silent {
		e.changed.Wait()
	}
}

// silencingListener accepts connections on which nothing is read or written while the endpoint is silent.
type silencingListener struct {
	net.Listener
	e *endpoint
}

func (l silencingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return silencingConn{c, l.e}, nil
}

type silencingConn struct {
	net.Conn
	e *endpoint
}

func (c silencingConn) Read(p []byte) (int, error) {
	c.e.awaitVoice()
	return c.Conn.Read(p)
}

func (c silencingConn) Write(p []byte) (int, error) {
	c.e.awaitVoice()
	return c.Conn.Write(p)
}

// ServeHTTP runs a request in a slot. It refuses requests that are meant for another endpoint, and those for
// which neither a slot nor a place in the queue is free.
func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Instance-Id", e.id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !e.takeSlot(r.Context()) {
		w.Header().Set("X-Not-Executed", "1")
		e.setLoad(w)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.freeSlot()
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler) // the body did not arrive whole
	}
	e.record.ran(id, e.id)
	select {
	case <-time.After(time.Duration((0.7 + 0.6*rand.Float64()) * float64(e.work))):
	case <-r.Context().Done():
		e.record.dropped(id)
		return
	}
	e.record.finished(id)
	w.Header().Set("X-Response-Signature", signatureOf(e.id, id))
	e.setLoad(w)
	_, _ = io.WriteString(w, bodyOf(e.id, id)) // the caller may have disconnected
}

func signatureOf(endpoint, id string) string { return "proof." + endpoint + "." + id }
func bodyOf(endpoint, id string) string      { return "answer of " + endpoint + " to " + id + "\n" }

// takeSlot waits for a slot, and reports false if the queue is full.
func (e *endpoint) takeSlot(ctx context.Context) bool {
	e.mu.Lock()
	if e.waiting >= 3*e.slotCount {
		e.mu.Unlock()
		return false
	}
	e.waiting++
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.waiting--
		e.mu.Unlock()
	}()
	select {
	case e.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (e *endpoint) freeSlot() { <-e.slots }

func (e *endpoint) setLoad(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,%d,%d", len(e.slots), e.waiting, e.slotCount))
}
