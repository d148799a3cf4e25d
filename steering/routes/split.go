package routes

import (
	"sync"

	"heatherlock/steering"
)

// Splitter divides requests between services by weight. It is safe for
// concurrent use.
type Splitter struct {
	mu     sync.Mutex
	parts  []WeightedService
	credit []float64 // weight credited to each part, minus the total for each request it got
	total  float64
}

// NewSplitter returns a Splitter. Parts with a weight of zero or less get no requests.
func NewSplitter(parts []WeightedService) *Splitter {
	s := &Splitter{}
	for _, p := range parts {
		if p.Weight > 0 {
			s.parts = append(s.parts, p)
			s.total += p.Weight
		}
	}
	s.credit = make([]float64, len(s.parts))
	return s
}

// Next returns the service for the next request. Every part is credited with its weight, and the
// part with the highest credit gets the request and is charged the sum of all weights. Next returns
// the empty name if no part has a positive weight.
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
		s.credit[i] += p.Weight
		if s.credit[i] > s.credit[best] {
			best = i
		}
	}
	s.credit[best] -= s.total
	return s.parts[best].Service
}
