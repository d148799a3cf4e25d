package quickstart

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"heatherlock/cmd/internal/caller"
	"heatherlock/standin/witness"
)

// Range of the latency histograms, in microseconds.
const (
	minLatencyUs  = 1
	maxLatencyUs  = 600_000_000
	latencyDigits = 3
)

// results counts how requests ended after all their tries.
type results struct {
	mu      sync.Mutex
	counts  counts
	latency map[string]*hdrhistogram.Histogram
}

// counts are requests by their end; Requests is the sum of the others but
// Dropped.
type counts struct {
	Requests int
	Answered int
	Refused  int
	Wrong    int
	Broken   int
	Failed   int
	Unsent   int
	// Dropped requests were never sent: the emulator carried too many.
	Dropped int
}

func newResults() *results { return &results{latency: map[string]*hdrhistogram.Histogram{}} }

func (r *results) drop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.Dropped++
}

func (r *results) add(service string, result caller.Result, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.Requests++
	switch result.Answer {
	case witness.AnswerWhole:
		r.counts.Answered++
		_ = r.histogram(service).RecordValue(max(took.Microseconds(), minLatencyUs))
	case witness.AnswerRefused:
		r.counts.Refused++
	case witness.AnswerWrong:
		r.counts.Wrong++
	case witness.AnswerBroken:
		r.counts.Broken++
	case witness.AnswerFailed:
		r.counts.Failed++
	case witness.AnswerUnsent:
		r.counts.Unsent++
	}
}

func (r *results) histogram(service string) *hdrhistogram.Histogram {
	h, ok := r.latency[service]
	if !ok {
		h = hdrhistogram.New(minLatencyUs, maxLatencyUs, latencyDigits)
		r.latency[service] = h
	}
	return h
}

// snapshot returns the counts so far.
func (r *results) snapshot() counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts
}

// Latency of the whole answers of one service, in milliseconds.
type Latency struct {
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
	Count int64   `json:"count"`
}

func (r *results) latencies() map[string]Latency {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := map[string]Latency{}
	for service, h := range r.latency {
		all[service] = Latency{
			P50:   milliseconds(h.ValueAtQuantile(50)),
			P99:   milliseconds(h.ValueAtQuantile(99)),
			Max:   milliseconds(h.Max()),
			Count: h.TotalCount(),
		}
	}
	return all
}

func milliseconds(us int64) float64 { return float64(us) / 1000 }
