// Package telemetry provides a daemon's metrics and its logger. Metrics are recorded with tally
// and served in the Prometheus text format; logs are JSON lines. Neither may contain tokens,
// certificates or request bodies.
package telemetry
