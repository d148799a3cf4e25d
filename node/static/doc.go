// Package static holds the settings with which a daemon starts: its identity, its listen
// addresses, how it reaches the platform and its peers, and its limits.
//
// Settings don't change while a process runs. Everything that operators change at run time is
// stored as objects on the platform instead (see package dynamic). Parsing is strict and reports
// all problems of a file at once, so that several mistakes cost one restart instead of one each.
package static
