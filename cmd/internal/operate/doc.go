// Package operate implements the subcommands that operate a running system through
// its resource API: apply, get, delete, watch, wait, status, stop and shift.
package operate
