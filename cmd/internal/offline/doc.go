// Package offline implements the subcommands that need no running system: check,
// explain and why. Only why with a request key queries a running system.
package offline
