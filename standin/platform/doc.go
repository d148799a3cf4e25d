// Package platform implements a small in-memory fake of the platform's object
// API for tests and quickstart. It stores objects under one monotonic revision,
// serves conditional writes, lists and long-poll watches, keeps a list of VMs
// that can lag, counts calls by operation and client, and can inject faults.
//
// A Store is used in process through Store.As, and over HTTP through
// Store.Handler; both apply the same faults, rate limits and counters. It stores
// nothing on disk and has no authentication.
package platform
