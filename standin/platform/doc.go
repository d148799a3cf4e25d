// Package platform is a small in-memory stand-in for the platform's object
// API, for tests and quickstart. It keeps objects under one monotone revision,
// answers conditional writes, lists and long-poll watches, keeps a list of VMs
// that lags, counts each call by kind and caller, and has fault switches.
//
// Store is used in process through Store.As, and over HTTP through
// Store.Handler; both go through the same faults, rates and counters. It keeps
// nothing on disk and offers no authentication.
package platform
