package upstream

import (
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"heatherlock/node/lock"
	"heatherlock/responses"
	"heatherlock/steering"
)

// ErrConnectionLimit reports that all connections that are allowed to a target are in use.
var ErrConnectionLimit = errors.New("upstream: all connections to the target are in use")

// DialFunc opens a connection to address.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// keepAlive enables probes that detect idle connections whose other end no longer responds.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 2}

// Dial opens a TCP connection with keep-alive probes.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{KeepAliveConfig: keepAlive}
	return dialer.DialContext(ctx, "tcp", address)
}

// DialTarget opens a connection to a target.
func DialTarget(ctx context.Context, address string) (net.Conn, error) {
	return Dial(ctx, targetAddress(address))
}

// Pool keeps the connections to all targets. It is safe for concurrent use.
type Pool struct {
	// Dial opens connections. It must not be changed once the pool is in use.
	Dial        DialFunc
	requestIDOf func(http.Header) string
	// OnOpen, if set, is called after each connection is opened.
	OnOpen func()
	// AcceptUnnamed reports whether a response that names no request is the answer to the request in flight; nil
	// means that none is.
	AcceptUnnamed func(http.Header) bool
	// OnUnmatched, if set, is called for each response that is not the answer to the request in flight, with
	// whether it names another request.
	OnUnmatched func(named bool)

	mu      lock.Mutex
	targets map[steering.Target]*targetPool
}

// NewPool returns an empty pool. requestIDOf returns the ID of the request to which a response
// belongs, given the header of the response.
func NewPool(dial DialFunc, requestIDOf func(http.Header) string) *Pool {
	return &Pool{Dial: dial, requestIDOf: requestIDOf, targets: make(map[steering.Target]*targetPool)}
}

// targetPool keeps the connections to one target, so that none is used for another target that took
// over the address.
type targetPool struct {
	// generation is the last known generation of the target. It is guarded by the Pool's mu.
	generation steering.Generation

	mu   lock.Mutex
	idle []*conn
	open int
}

func (p *Pool) poolOf(target steering.Target, generation steering.Generation) *targetPool {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.targets[target]
	if h == nil {
		h = &targetPool{generation: generation}
		p.targets[target] = h
	}
	return h
}

// CloseStale closes the idle connections of targets that are unknown or have restarted.
// generationOf returns the generation of a target, and whether the target is known.
//
// A target that restarts behind a network partition never closes the connections of its previous
// generation. A request sent on one of these may hang or be reset, and a request that must run at
// most once is then lost. Requests in flight are left alone, since their connections may already
// lead to the new generation; a dead connection is detected by keep-alive probes.
func (p *Pool) CloseStale(generationOf func(steering.Target) (steering.Generation, bool)) {
	p.mu.Lock()
	names := make([]steering.Target, 0, len(p.targets))
	for name := range p.targets {
		names = append(names, name)
	}
	p.mu.Unlock()
	p.CloseStaleOf(names, generationOf)
}

// CloseStaleOf is CloseStale for the named targets only.
func (p *Pool) CloseStaleOf(names []steering.Target, generationOf func(steering.Target) (steering.Generation, bool)) {
	var stale []*targetPool
	p.mu.Lock()
	for _, name := range names {
		h := p.targets[name]
		if h == nil {
			continue
		}
		generation, known := generationOf(name)
		if !known {
			delete(p.targets, name)
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

// Connect opens a connection and keeps it for a later call.
func (p *Pool) Connect(ctx context.Context, call Call) error {
	c, err := p.connect(ctx, p.poolOf(call.Target, call.Generation), call)
	if err == nil {
		c.release()
	}
	return err
}

// HasIdle reports whether a call to the target would find an open connection.
func (p *Pool) HasIdle(target steering.Target) bool {
	p.mu.Lock()
	h := p.targets[target]
	p.mu.Unlock()
	if h == nil {
		return false
	}
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.ContainsFunc(h.idle, func(c *conn) bool { return c.usable(now) })
}

// Held returns for how many targets the pool holds anything, and how many connections are open.
func (p *Pool) Held() (targets, connections int) {
	p.mu.Lock()
	all := slices.Collect(maps.Values(p.targets))
	p.mu.Unlock()
	for _, h := range all {
		h.mu.Lock()
		connections += h.open
		h.mu.Unlock()
	}
	return len(all), connections
}

// CloseUnusedSince closes the idle connections that carried nothing since a time.
func (p *Pool) CloseUnusedSince(since time.Time) {
	p.mu.Lock()
	all := slices.Collect(maps.Values(p.targets))
	p.mu.Unlock()
	for _, h := range all {
		var unused []*conn
		h.mu.Lock()
		h.idle = slices.DeleteFunc(h.idle, func(c *conn) bool {
			old := c.unusedSince(since)
			if old {
				unused = append(unused, c)
			}
			return old
		})
		h.mu.Unlock()
		for _, c := range unused {
			c.close()
		}
	}
}

func (h *targetPool) closeIdle() {
	h.mu.Lock()
	idle := h.idle
	h.idle = nil
	h.mu.Unlock()
	for _, c := range idle {
		c.close()
	}
}

// takeIdle returns the idle connection that was used last and carried none of the tries, or nil. Surplus
// connections thus stay idle until they time out.
func (h *targetPool) takeIdle(now time.Time, tries *Tries) *conn {
	for {
		c := h.removeNewest(tries)
		if c == nil || c.usable(now) {
			return c
		}
		c.close()
	}
}

// removeNewest removes the idle connection that was used last and carried none of the tries, and returns it.
func (h *targetPool) removeNewest(tries *Tries) *conn {
	h.mu.Lock()
	defer h.mu.Unlock()
	for n := len(h.idle) - 1; n >= 0; n-- {
		if c := h.idle[n]; !tries.used(c) {
			h.idle = slices.Delete(h.idle, n, n+1)
			return c
		}
	}
	return nil
}

func (h *targetPool) putIdle(c *conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.idle = append(h.idle, c)
}

// remove removes a closed connection from the pool.
func (h *targetPool) remove(c *conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.open--
	for i, other := range h.idle {
		if other == c {
			h.idle = append(h.idle[:i], h.idle[i+1:]...)
			return
		}
	}
}

// open dials a connection, unless the call's MaxConnections are open already.
func (p *Pool) open(ctx context.Context, h *targetPool, call Call) (*conn, error) {
	h.mu.Lock()
	if call.MaxConnections > 0 && h.open >= call.MaxConnections {
		h.mu.Unlock()
		return nil, ErrConnectionLimit
	}
	h.open++
	h.mu.Unlock()
	raw, err := p.Dial(ctx, call.Address)
	if err != nil {
		h.mu.Lock()
		h.open--
		h.mu.Unlock()
		return nil, err
	}
	checked := responses.NewConn(raw)
	raw = checked
	if p.OnOpen != nil {
		p.OnOpen()
	}
	if call.OnOpen != nil {
		raw = call.OnOpen(raw)
	}
	c := newConn(raw, checked, h, p)
	go c.readLoop()
	return c, nil
}
