// Package command defines what all subcommands of the command line have in common: a
// name, flags, a body, and a typed error with an exit code.
//
// flaggy parses the arguments. On bad usage it exits the process by itself. Main turns
// that into a return value, so that a test can run the whole command line in its own
// process. flaggy stores the setting for that in a package variable, so Main must not
// run concurrently.
package command
