package objects

import (
	"fmt"
	"time"

	"github.com/go-faster/errors"
)

// ErrorKind classifies a failed platform call.
type ErrorKind string

// Kinds of platform errors.
const (
	NotFound    ErrorKind = "not_found"
	Conflict    ErrorKind = "conflict"    // the given version is not the stored one, or the object to create exists
	Gone        ErrorKind = "gone"        // a watch cannot continue from its revision: it is too old, or the changes since then cannot be read
	TooLarge    ErrorKind = "too_large"   // the value exceeds MaxValueBytes
	Unavailable ErrorKind = "unavailable" // the platform could not be reached or did not serve the call; nothing was written
	Throttled   ErrorKind = "throttled"   // a rate limit was exceeded; nothing was written
	Unknown     ErrorKind = "unknown"     // the write may have taken effect
	Invalid     ErrorKind = "invalid"     // the call or the client's configuration is malformed
)

// Error is a failed platform call.
type Error struct {
	Kind       ErrorKind
	Op         string
	Object     string        // "kind/name"; empty for calls that concern no single object
	RetryAfter time.Duration // how long to wait before a retry; zero if not known
	Err        error
}

// Error implements error. The message ends with the remedy.
func (e *Error) Error() string {
	msg := fmt.Sprintf("platform: %s %s: %s", e.Op, e.Object, e.Kind)
	if e.Err != nil {
		msg += ": " + e.Err.Error()
	}
	return msg + "; " + e.Remedy()
}

// Unwrap returns the underlying error, which may be nil.
func (e *Error) Unwrap() error { return e.Err }

// Remedy returns what the caller can do about the error, as an imperative sentence without a
// period.
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

// KindOf returns the kind of the *Error in err's chain, or "" if there is none.
func KindOf(err error) ErrorKind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}
