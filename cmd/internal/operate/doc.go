// Package operate holds the subcommands that work on a running system through
// its resource API: apply, get, delete, watch, wait, status, stop and shift.
package operate
