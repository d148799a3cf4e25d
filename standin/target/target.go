package target

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"heatherlock/standin/witness"
)

// Target is a running fake target. It is safe for concurrent use.
type Target struct {
	config  Config
	address string
	faults  atomic.Pointer[Faults]
	slots   *slots
	warmup  *warmup
	served  atomic.Int64 // responses sent, for the faults of every n-th response
	crashes atomic.Int64
	last    lastAnswer
	closed  chan struct{}

	mu          sync.Mutex
	incarnation *incarnation // nil between crash and restart and after Close
	closing     bool
}

// incarnation is the target's server from a start to the next crash or Close.
type incarnation struct {
	server *http.Server
	// stopped is done once the target has crashed or closed; this ends the
	// requests in flight.
	stopped context.Context
	stop    context.CancelFunc
}

// Start starts a target. The caller must call Close.
func Start(config Config) (*Target, error) {
	config = config.withDefaults()
	if err := config.check(); err != nil {
		return nil, err
	}
	t := &Target{config: config, closed: make(chan struct{}), warmup: newWarmup(config.Cold)}
	t.slots = &slots{limit: config.Slots}
	t.faults.Store(&Faults{})
	listener, err := config.Listener("tcp", config.Listen)
	if err != nil {
		return nil, fmt.Errorf("target: %s: %w; use another address, or port 0 for a free one", config.Name, err)
	}
	t.address = listener.Addr().String()
	config.Witness.Declare(config.Name, config.Place, config.Service, config.Slots)
	t.serve(listener)
	return t, nil
}

// Name returns the target's name.
func (t *Target) Name() string { return t.config.Name }

// Address returns the host:port that the target listens on. A restart keeps it.
func (t *Target) Address() string { return t.address }

// Crashes returns the number of crashes so far.
func (t *Target) Crashes() int { return int(t.crashes.Load()) }

// InFlight returns the number of running requests.
func (t *Target) InFlight() int { return t.slots.inFlight() }

// SetFaults replaces the faults.
func (t *Target) SetFaults(f Faults) {
	t.faults.Store(&f)
	limit := t.config.Slots
	if f.WorkingSlots > 0 {
		limit = f.WorkingSlots
	}
	t.slots.setLimit(limit)
}

// Drain turns draining on or off. A draining target refuses new requests and
// completes the running ones.
func (t *Target) Drain(on bool) { t.slots.setDraining(on) }

func (t *Target) serve(listener net.Listener) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closing {
		_ = listener.Close()
		return
	}
	stopped, stop := context.WithCancel(context.Background())
	l := &incarnation{stopped: stopped, stop: stop}
	l.server = &http.Server{
		Handler:           t.handler(l),
		ReadHeaderTimeout: 10 * time.Second,
	}
	t.incarnation = l
	t.warmup.reset()
	limited := &limitListener{Listener: listener, max: int64(t.config.MaxConnections)}
	go func() { _ = l.server.Serve(limited) }()
}

// crash closes the listener and every connection immediately, and restarts the
// target on the same address after Config.Restart. It does nothing if l is no
// longer the current incarnation.
func (t *Target) crash(l *incarnation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.incarnation != l {
		return
	}
	t.incarnation = nil
	t.crashes.Add(1)
	l.stop()
	_ = l.server.Close()
	if !t.closing {
		go t.restart()
	}
}

// Crash crashes the target immediately. It restarts after Config.Restart.
func (t *Target) Crash() {
	t.mu.Lock()
	l := t.incarnation
	t.mu.Unlock()
	if l != nil {
		t.crash(l)
	}
}

func (t *Target) restart() {
	wait := time.NewTimer(t.config.Restart)
	defer wait.Stop()
	for {
		select {
		case <-t.closed:
			return
		case <-wait.C:
		}
		listener, err := t.config.Listener("tcp", t.address)
		if err == nil {
			t.serve(listener)
			return
		}
		// Another process has taken the port since the crash: retry until Close.
		wait.Reset(t.config.Restart)
	}
}

// Close stops the target and aborts running requests.
func (t *Target) Close() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closing {
		return nil
	}
	t.closing = true
	close(t.closed)
	l := t.incarnation
	t.incarnation = nil
	if l == nil {
		return nil
	}
	l.stop()
	return l.server.Close()
}

// lastAnswer holds the identity of the last response, for Faults.CrossedEvery.
type lastAnswer struct {
	mu sync.Mutex
	answer
}

// answer identifies a response: the echoed request id, and the request from which
// the body is derived.
type answer struct {
	id      string
	request string
}

// swap stores a and returns the previous answer.
func (l *lastAnswer) swap(a answer) answer {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.answer
	l.answer = a
	return before
}

// body returns the response body.
func (a answer) body(size int) []byte { return witness.Body(a.request, size) }
