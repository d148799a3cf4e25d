package callers

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// Server serves callers on a listener.
type Server struct {
	handler Handler
	limits  LimitsFunc
	// maxConns bounds the open connections.
	maxConns int

	leaving atomic.Bool
	mu      sync.Mutex
	conns   map[*conn]struct{}
	running atomic.Int64
}

// NewServer returns a server with at most maxConns connections.
func NewServer(h Handler, limits LimitsFunc, maxConns int) *Server {
	return &Server{handler: h, limits: limits, maxConns: maxConns, conns: make(map[*conn]struct{})}
}

// acceptPause is waited after a failed accept, such as one without descriptors.
const acceptPause = 20 * time.Millisecond

// Serve accepts connections until the listener is closed.
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
		s.begin(ctx, raw)
	}
}

func (s *Server) begin(ctx context.Context, raw net.Conn) {
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
	go c.serve(ctx)
}

func (s *Server) ended(c *conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

// Leave makes each further answer end its connection.
func (s *Server) Leave() { s.leaving.Store(true) }

// CloseIdle closes the connections on which nothing runs.
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

// Running returns how many requests run.
func (s *Server) Running() int { return int(s.running.Load()) }

// Connections returns how many connections are open.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}
