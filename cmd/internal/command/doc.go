// Package command is the frame that every subcommand of the client fits into:
// a name, flags, a body and a typed error with an exit code.
//
// flaggy parses the arguments. It ends the process by itself on bad usage; Main
// turns that into a return value, so that the whole command line can be driven
// by a test in one process. flaggy keeps that switch in a package variable, so
// Main must not run twice at once.
package command
