package callers

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"heatherlock/node/gateway/buffering"
	"heatherlock/node/lock"
)

// Server serves callers on a listener. It is safe for concurrent use.
type Server struct {
	handler Handler
	limits  LimitsFunc
	// maxConns bounds the open connections; further ones are closed at once.
	maxConns int
	// Buffers counts what is held for callers; nil means no bound. It must not be changed once Serve
	// is called.
	Buffers *buffering.VM

	draining atomic.Bool
	mu       lock.Mutex
	conns    map[*conn]struct{}
	running  atomic.Int64
	accepted atomic.Int64
}

// NewServer returns a server that passes requests to h and keeps at most maxConns connections open.
func NewServer(h Handler, limits LimitsFunc, maxConns int) *Server {
	return &Server{handler: h, limits: limits, maxConns: maxConns, conns: make(map[*conn]struct{})}
}

// acceptPause is the delay after a failed accept, for example when no file descriptors are left.
const acceptPause = 20 * time.Millisecond

// Serve accepts connections until the listener is closed. Requests are cancelled when ctx is done.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	for {
		raw, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			time.Sleep(acceptPause)
			continue
		}
		s.startConn(ctx, raw)
	}
}

func (s *Server) startConn(ctx context.Context, raw net.Conn) {
	s.mu.Lock()
	full := len(s.conns) >= s.maxConns
	c := newConn(s, raw)
	if !full {
		s.conns[c] = struct{}{}
	}
	s.mu.Unlock()
	if full {
		_ = raw.Close() // the caller uses another entry VM
		return
	}
	s.accepted.Add(1)
	go c.serve(ctx)
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

// StartDrain makes the server close each connection with a response: that to the last request which has been
// read or is being read, or if there is none, that to the next one.
func (s *Server) StartDrain() { s.draining.Store(true) }

// Accepted returns the number of connections that were accepted since the server was created.
func (s *Server) Accepted() int64 { return s.accepted.Load() }

// CloseIdle closes the connections on which no request is being read or has no response yet.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	all := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		all = append(all, c)
	}
	s.mu.Unlock()
	for _, c := range all {
		c.closeIfIdle()
	}
}

// InFlight returns the number of requests in flight.
func (s *Server) InFlight() int { return int(s.running.Load()) }

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}
