package traffic

import (
	"maps"
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

// results counts requests by their result after all tries.
type results struct {
	mu       sync.Mutex
	counts   Counts
	refusals map[string]int
	latency  map[string]*hdrhistogram.Histogram
}

// Counts are numbers of requests by result. Requests is the sum of all others except
// Dropped.
type Counts struct {
	Requests int
	Answered int
	Refused  int
	Wrong    int
	Broken   int
	Failed   int
	Unsent   int
	Late     int
	// Dropped requests were never sent because too many were in flight.
	Dropped int
}

func newResults() *results {
	return &results{refusals: map[string]int{}, latency: map[string]*hdrhistogram.Histogram{}}
}

func (r *results) recordDropped() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.Dropped++
}

func (r *results) record(service string, result caller.Result, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.Requests++
	switch result.Answer {
	case witness.AnswerWhole:
		r.counts.Answered++
		_ = r.histogram(service).RecordValue(max(took.Microseconds(), minLatencyUs))
	case witness.AnswerRefused:
		r.counts.Refused++
		r.refusals[result.Reason]++
	case witness.AnswerWrong:
		r.counts.Wrong++
	case witness.AnswerBroken:
		r.counts.Broken++
	case witness.AnswerFailed:
		r.counts.Failed++
	case witness.AnswerUnsent:
		r.counts.Unsent++
	case witness.AnswerLate:
		r.counts.Late++
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

// Counts returns the current counts.
func (t *Traffic) Counts() Counts {
	r := t.results
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts
}

// Latency summarizes the latencies of the complete answers of one service, in
// milliseconds.
type Latency struct {
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
	Count int64   `json:"count"`
}

// Latencies returns the current latencies by service.
func (t *Traffic) Latencies() map[string]Latency {
	r := t.results
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

// Refusals returns the number of requests whose last try was refused, by reason.
func (t *Traffic) Refusals() map[string]int {
	r := t.results
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.refusals)
}

// Histogram returns a copy of the latency histogram of a service in microseconds, or
// nil if the service has had no complete answer.
func (t *Traffic) Histogram(service string) *hdrhistogram.Histogram {
	r := t.results
	r.mu.Lock()
	defer r.mu.Unlock()
	h, ok := r.latency[service]
	if !ok {
		return nil
	}
	return hdrhistogram.Import(h.Export())
}

func milliseconds(us int64) float64 { return float64(us) / 1000 }
