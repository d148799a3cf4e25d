package objects

import (
	"fmt"
	"time"

	"github.com/go-faster/errors"
)

// ErrorKind classifies a failed platform call.
type ErrorKind string

// Kinds of error.
const (
	NotFound    ErrorKind = "not_found"
	Conflict    ErrorKind = "conflict"    // the version given is not the stored one
	Gone        ErrorKind = "gone"        // the watch revision is too old
	TooLarge    ErrorKind = "too_large"   // the value is over MaxValueBytes
	Unavailable ErrorKind = "unavailable" // refused before any effect
	Throttled   ErrorKind = "throttled"   // over the platform's rates, no effect
	Unknown     ErrorKind = "unknown"     // the write may have taken effect
	Invalid     ErrorKind = "invalid"
)

// Error is a failed platform call.
type Error struct {
	Kind       ErrorKind
	Op         string
	Object     string // "kind/name"; empty for lists and watches
	RetryAfter time.Duration
	Err        error
}

// Error implements error; the message ends with the remedy.
func (e *Error) Error() string {
	msg := fmt.Sprintf("platform: %s %s: %s", e.Op, e.Object, e.Kind)
	if e.Err != nil {
		msg += ": " + e.Err.Error()
	}
	return msg + "; " + e.Remedy()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Remedy says what to do about the error.
func (e *Error) Remedy() string {
	switch e.Kind {
	case NotFound:
		return "create the object first"
	case Conflict:
		return "read the object again and repeat the change on its new version"
	case Gone:
		return "list again and watch from the list's revision"
	case TooLarge:
		return "split the value"
	case Unavailable, Throttled:
		return "come back after the time given"
	case Unknown:
		return "read the object back: the write may have taken effect"
	case Invalid:
		return "correct the call"
	}
	return "report this error kind: it has no remedy"
}

// KindOf returns the kind of a platform error, or "" for any other error.
func KindOf(err error) ErrorKind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}
