// Package offline holds the subcommands that need no running system: check,
// explain and why.
package offline
