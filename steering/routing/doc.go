// Package routing defines the immutable snapshot of configuration that every
// decision reads. A snapshot is built whole from the operators' objects, is
// never changed after it is published, and carries one monotone version: the
// platform's revision it was built from.
//
// Limits: a snapshot says what was declared, never what is measured. Load,
// health and membership live elsewhere and are looked up by name.
package routing
