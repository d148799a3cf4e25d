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

// reportEvery is how long a counted event may take to show up in /metrics.
const reportEvery = time.Second

// prefix starts the name of every metric.
const prefix = "heatherlock"

// Metrics is one daemon's registry. Each daemon has its own, so that several
// can run in one process.
type Metrics struct {
	Scope   tally.Scope
	handler http.Handler
	closer  io.Closer
}

// New returns a registry whose metrics carry the daemon's name and zone.
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
	}, reportEvery)
	return &Metrics{Scope: scope, handler: reporter.HTTPHandler(), closer: closer}
}

// Handler serves the metrics in the Prometheus text form.
func (m *Metrics) Handler() http.Handler { return m.handler }

// Close stops the reporting goroutine after a last report.
func (m *Metrics) Close() error { return m.closer.Close() }

// sanitize keeps label values such as "norte-a" as operators write them; only
// names of metrics and labels are bound to the narrow character set.
func sanitize() *tally.SanitizeOptions {
	options := tallyprom.DefaultSanitizerOpts
	options.ValueCharacters = tally.ValidCharacters{
		Ranges:     tally.AlphanumericRange,
		Characters: []rune{'_', '-', '.', '/', ':'},
	}
	return &options
}
