// Package offline holds the subcommands that need no running system: check,
// explain and why (which asks a running system only for a request key).
package offline
