package routes

import (
	"sync"

	"heatherlock/steering"
)

// Splitter divides requests between services by weight. It is safe for
// concurrent use.
type Splitter struct {
	mu    sync.Mutex
	parts []Part
	owed  []float64 // weight that each part is due
	total float64
}

// NewSplitter returns a splitter; parts without weight get nothing.
func NewSplitter(parts []Part) *Splitter {
	s := &Splitter{}
	for _, p := range parts {
		if p.Weight > 0 {
			s.parts = append(s.parts, p)
			s.total += p.Weight
		}
	}
	s.owed = make([]float64, len(s.parts))
	return s
}

// Next returns the service of the next request: each part is credited its
// weight, and the part that is owed most gets the request. It returns the empty
// name when no part has weight.
func (s *Splitter) Next() steering.Service {
	if len(s.parts) == 0 {
		return ""
	}
	if len(s.parts) == 1 {
		return s.parts[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	best := 0
	for i, p := range s.parts {
		s.owed[i] += p.Weight
		if s.owed[i] > s.owed[best] {
			best = i
		}
	}
	s.owed[best] -= s.total
	return s.parts[best].Service
}
