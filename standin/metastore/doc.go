// Package metastore implements a fake of the users' metadata store, for tests. It
// stores objects by kind and name under one revision, serves lists in pages and
// watches from its history, and can inject faults: it can hang or return errors for all
// or some callers, delay responses, drop the responses to writes, lose its history, be
// restored from an older copy, and serve stale reads.
package metastore
