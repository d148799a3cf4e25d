package upstream

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"heatherlock/steering"
)

// ErrFull tells that the connections allowed to a target are all in use.
var ErrFull = errors.New("upstream: all connections to the target are in use")

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// keepAlive finds out that an idle connection has gone silent.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 2}

// Dial opens TCP connections.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{KeepAliveConfig: keepAlive}
	return dialer.DialContext(ctx, "tcp", address)
}

// Pool keeps the connections to all targets. It is safe for concurrent use.
type Pool struct {
	dial DialFunc
	idOf func(http.Header) string
	// Opened, when set, is called for each connection opened.
	Opened func()

	mu    sync.Mutex
	hosts map[steering.Target]*hostPool
}

// NewPool returns an empty pool; idOf returns the id of the request that an
// answer says it belongs to.
func NewPool(dial DialFunc, idOf func(http.Header) string) *Pool {
	return &Pool{dial: dial, idOf: idOf, hosts: make(map[steering.Target]*hostPool)}
}

// hostPool keeps the connections to one target, so that none is ever used for
// another target that took over the address.
type hostPool struct {
	// generation is the target's start as last told; guarded by the pool's lock.
	generation steering.Generation

	mu   sync.Mutex
	free []*conn
	open int
}

func (p *Pool) host(target steering.Target, generation steering.Generation) *hostPool {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[target]
	if h == nil {
		h = &hostPool{generation: generation}
		p.hosts[target] = h
	}
	return h
}

// Retain closes the idle connections of targets that are not known, or that have
// started again.
//
// What goes wrong otherwise: a target that restarts behind a cut never closes the
// connections of its former start, a request sent on one may hang or be reset, and one
// that must run once is then lost. A request in flight is left alone, since the
// connection may already lead to the new start; a dead one is found by its probes.
func (p *Pool) Retain(generationOf func(steering.Target) (steering.Generation, bool)) {
	var stale []*hostPool
	p.mu.Lock()
	for name, h := range p.hosts {
		generation, known := generationOf(name)
		if !known {
			delete(p.hosts, name)
		}
		if !known || generation != h.generation {
			stale = append(stale, h)
		}
		h.generation = generation
	}
	p.mu.Unlock()
	for _, h := range stale {
		h.closeIdle()
	}
}

func (h *hostPool) closeIdle() {
	h.mu.Lock()
	free := h.free
	h.free = nil
	h.mu.Unlock()
	for _, c := range free {
		c.close()
	}
}

// take returns an idle connection: the one used last, so that surplus ones age
// and close.
func (h *hostPool) take(now time.Time) *conn {
	for {
		h.mu.Lock()
		n := len(h.free)
		if n == 0 {
			h.mu.Unlock()
			return nil
		}
		c := h.free[n-1]
		h.free = h.free[:n-1]
		h.mu.Unlock()
		if c.fit(now) {
			return c
		}
		c.close()
	}
}

func (h *hostPool) idle(c *conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.free = append(h.free, c)
}

// forget removes a closed connection.
func (h *hostPool) forget(c *conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.open--
	for i, other := range h.free {
		if other == c {
			h.free = append(h.free[:i], h.free[i+1:]...)
			return
		}
	}
}

// open dials a connection, of which at most the call's limit may stand.
func (p *Pool) open(ctx context.Context, h *hostPool, call Call) (*conn, error) {
	h.mu.Lock()
	if call.MaxConnections > 0 && h.open >= call.MaxConnections {
		h.mu.Unlock()
		return nil, ErrFull
	}
	h.open++
	h.mu.Unlock()
	raw, err := p.dial(ctx, call.Address)
	if err != nil {
		h.mu.Lock()
		h.open--
		h.mu.Unlock()
		return nil, err
	}
	if p.Opened != nil {
		p.Opened()
	}
	if call.Opened != nil {
		raw = call.Opened(raw)
	}
	c := newConn(raw, h, p.idOf)
	go c.read()
	return c, nil
}
