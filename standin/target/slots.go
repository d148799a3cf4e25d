package target

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// slots limits the number of concurrent requests.
type slots struct {
	mu       sync.Mutex
	limit    int
	used     int
	draining bool
}

func (s *slots) tryAcquire() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining || s.used >= s.limit {
		return false
	}
	s.used++
	return true
}

func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used--
}

func (s *slots) setLimit(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = n
}

func (s *slots) setDraining(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = on
}

func (s *slots) inFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.used
}

func (s *slots) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// warmup simulates caches that fill with the requests since a cold start.
type warmup struct {
	cold Cold
	mu   sync.Mutex
	done int
	last time.Time
}

func newWarmup(cold Cold) *warmup { return &warmup{cold: cold} }

func (w *warmup) reset() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.done = 0
}

// factor counts a request that starts at now and returns the ratio of its service
// time to that on a warm target.
func (w *warmup) factor(now time.Time) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cold.Factor <= 1 || w.cold.Warm <= 0 {
		return 1
	}
	if w.cold.Idle > 0 && !w.last.IsZero() && now.Sub(w.last) > w.cold.Idle {
		w.done = 0
	}
	w.last = now
	missing := max(0, 1-float64(w.done)/float64(w.cold.Warm))
	w.done++
	return 1 + (w.cold.Factor-1)*missing
}

// limitListener closes connections above its limit immediately, as an endpoint
// without free file descriptors does.
type limitListener struct {
	net.Listener
	max  int64
	open atomic.Int64
}

// Accept returns the next connection within the limit and closes those above it.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.max {
			return &countedConn{Conn: conn, open: &l.open}, nil
		}
		l.open.Add(-1)
		_ = conn.Close()
	}
}

type countedConn struct {
	net.Conn
	open *atomic.Int64
	once sync.Once
}

// Close closes the connection and subtracts it from the count once.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}
