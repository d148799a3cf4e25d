package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"heatherlock/cmd/internal/command"
	"heatherlock/cmd/internal/traffic"
)

// Report is the result of a run.
type Report struct {
	Deployment string  `json:"deployment"`
	Seed       uint64  `json:"seed"`
	RateAsked  float64 `json:"rate_asked"`
	// RateSent is the number of requests sent per second. It is lower than RateAsked
	// if the emulator could not keep up.
	RateSent  float64                    `json:"rate_sent"`
	Seconds   float64                    `json:"seconds"`
	Requests  int                        `json:"requests"`
	Answered  int                        `json:"answered"`
	Refused   int                        `json:"refused"`
	Wrong     int                        `json:"wrong_answers"`
	Broken    int                        `json:"broken_off"`
	Failed    int                        `json:"failed"`
	Unsent    int                        `json:"unsent"`
	Late      int                        `json:"no_answer_in_time"`
	Dropped   int                        `json:"dropped_by_emulator"`
	Refusals  map[string]int             `json:"refusals"`
	LatencyMs map[string]traffic.Latency `json:"latency_ms"`

	histograms map[string]*hdrhistogram.Histogram
}

func newReport(o Options, t *traffic.Traffic, sent, total time.Duration) *Report {
	c := t.Counts()
	r := &Report{
		Deployment: o.Deployment, Seed: o.Seed, RateAsked: o.Rate, RateSent: float64(c.Requests) / sent.Seconds(),
		Seconds: total.Seconds(), Requests: c.Requests, Answered: c.Answered, Refused: c.Refused, Wrong: c.Wrong,
		Broken: c.Broken, Failed: c.Failed, Unsent: c.Unsent, Late: c.Late, Dropped: c.Dropped,
		Refusals: t.Refusals(), LatencyMs: t.Latencies(), histograms: map[string]*hdrhistogram.Histogram{},
	}
	for service := range r.LatencyMs {
		r.histograms[service] = t.Histogram(service)
	}
	return r
}

// WriteJSON writes the report to a file as one JSON object.
func (r *Report) WriteJSON(path string) error {
	return command.WriteReport(path, r)
}

// WriteText writes the report as tables.
func (r *Report) WriteText(w io.Writer) {
	fmt.Fprintf(w, "%s, seed %d: %d requests in %.1f s (%.0f a second asked, %.0f sent)\n",
		r.Deployment, r.Seed, r.Requests, r.Seconds, r.RateAsked, r.RateSent)
	fmt.Fprintf(w, "%d answered, %d refused, %d wrong, %d failed by targets, %d broken off, %d without answer in time, %d not sent, %d dropped by the emulator\n",
		r.Answered, r.Refused, r.Wrong, r.Failed, r.Broken, r.Late, r.Unsent, r.Dropped)
	fmt.Fprintf(w, "\n%-14s %10s %10s %10s %10s\n", "service", "p50 ms", "p99 ms", "max ms", "answers")
	for _, service := range slices.Sorted(maps.Keys(r.LatencyMs)) {
		l := r.LatencyMs[service]
		fmt.Fprintf(w, "%-14s %10.1f %10.1f %10.1f %10d\n", service, l.P50, l.P99, l.Max, l.Count)
	}
	for _, reason := range slices.Sorted(maps.Keys(r.Refusals)) {
		fmt.Fprintf(w, "refused %-22s %8d\n", reason, r.Refusals[reason])
	}
}
