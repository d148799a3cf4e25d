package relay

import "heatherlock/node/lock"

// sending decides whether attempts of an exchange may still send its request. Once it is closed, no
// attempt sends it any more, so that a request that no target has received is known not to run.
type sending struct {
	mu     lock.Mutex
	closed bool
	begun  int
}

// begin reports whether an attempt may send the request now.
func (s *sending) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.begun++
	return true
}

// count returns how many attempts have begun to send.
func (s *sending) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.begun
}

// close makes begin return false from now on, and returns how many attempts have begun to send.
func (s *sending) close() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	return s.begun
}
