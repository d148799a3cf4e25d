// Package static holds the settings with which a daemon starts: who it is,
// where it listens, how it reaches the platform and its peers, and its limits.
//
// Settings never change while a process lives. Everything that operators
// change at run time is an object on the platform instead (see package
// dynamic). Parsing is strict and reports every problem of a file at once, so
// that a typing error costs one restart and not one restart per error.
package static
