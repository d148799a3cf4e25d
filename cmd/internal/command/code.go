package command

import (
	"fmt"

	"github.com/go-faster/errors"
)

// Code is a process exit code.
type Code int

// Exit codes, documented in docs/operations/exit-codes.md.
const (
	OK          Code = 0
	Other       Code = 1 // any failure without a code of its own
	Usage       Code = 2 // the command line is wrong
	Refused     Code = 3 // an object or request is invalid or was refused
	Conflict    Code = 4 // the object was changed concurrently
	Unreachable Code = 5 // no entry VM answered, or the platform is unavailable
)

// Codes documents all exit codes. A test compares the documentation of exit codes with it.
var Codes = []struct {
	Code    Code
	Meaning string
}{
	{OK, "done; for `wait`, the condition holds"},
	{Other, "failed in a way that has no code of its own; for `wait`, the time ran out"},
	{Usage, "the command line is wrong: an unknown flag, a missing value, a file that cannot be read"},
	{Refused, "an object is invalid, would break a promise, does not exist, or the caller has no right to it"},
	{Conflict, "the object was changed by somebody else first"},
	{Unreachable, "no entry VM answered, or the platform is out; the outcome of a write may be unknown, the message says so"},
}

// Error is a failed command.
type Error struct {
	Code    Code
	Message string
	// Remedy says how to resolve the failure. It is printed on a line of its own.
	Remedy string
}

// Error implements the error interface. The text is the message followed by the remedy.
func (e *Error) Error() string {
	if e.Remedy == "" {
		return e.Message
	}
	return e.Message + "; " + e.Remedy
}

// Failf returns an Error whose message is formatted from format and args.
func Failf(code Code, remedy, format string, args ...any) *Error {
	return &Error{Code: code, Remedy: remedy, Message: fmt.Sprintf(format, args...)}
}

// CodeOf returns the exit code of err: OK for nil, and Other if it wraps no *Error.
func CodeOf(err error) Code {
	if err == nil {
		return OK
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}
	return Other
}
