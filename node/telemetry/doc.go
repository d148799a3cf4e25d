// Package telemetry turns what a daemon does into counters, histograms and log
// lines. Metrics are kept by tally and shown in the Prometheus text form; logs
// are JSON lines. Neither ever holds tokens, certificates or request bodies.
package telemetry
