package telemetry

import (
	"io"
	"net/http"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is the interval at which counts are reported to the registry, and so the longest
// time until an event appears in /metrics.
const reportInterval = time.Second

// prefix is the first part of every metric name.
const prefix = "heatherlock"

// Metrics is the metrics registry of one daemon. Each daemon has its own, so that several can run
// in one process.
type Metrics struct {
	Scope   tally.Scope
	handler http.Handler
	closer  io.Closer
}

// New returns a registry whose metrics are labeled with the daemon's VM name and zone.
func New(vm, zone string) *Metrics {
	registry := prom.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector())
	registry.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reporter := tallyprom.NewReporter(tallyprom.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 prefix,
		Tags:                   map[string]string{"vm": vm, "zone": zone},
		CachedReporter:         reporter,
		Separator:              tallyprom.DefaultSeparator,
		SanitizeOptions:        sanitize(),
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{Scope: scope, handler: reporter.HTTPHandler(), closer: closer}
}

// Handler returns a handler that serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler { return m.handler }

// Close reports the metrics a last time and stops the reporting goroutine.
func (m *Metrics) Close() error { return m.closer.Close() }

// sanitize returns options that keep label values such as "norte-a" unchanged. Only the names of
// metrics and labels are restricted to Prometheus's character set.
func sanitize() *tally.SanitizeOptions {
	options := tallyprom.DefaultSanitizerOpts
	options.ValueCharacters = tally.ValidCharacters{
		Ranges:     tally.AlphanumericRange,
		Characters: []rune{'_', '-', '.', '/', ':'},
	}
	return &options
}
