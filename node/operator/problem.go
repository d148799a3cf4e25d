package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/ogen-go/ogen/ogenerrors"

	"heatherlock/api/check"
	"heatherlock/api/oas"
	"heatherlock/objects"
)

// httpStatuses maps each problem reason to an HTTP status.
var httpStatuses = map[oas.ProblemReason]int{
	oas.ProblemReasonInvalid:        http.StatusUnprocessableEntity,
	oas.ProblemReasonNotFound:       http.StatusNotFound,
	oas.ProblemReasonExists:         http.StatusConflict,
	oas.ProblemReasonConflict:       http.StatusConflict,
	oas.ProblemReasonBreaksPromise:  http.StatusUnprocessableEntity,
	oas.ProblemReasonUnavailable:    http.StatusServiceUnavailable,
	oas.ProblemReasonOutcomeUnknown: http.StatusGatewayTimeout,
	oas.ProblemReasonUnauthorized:   http.StatusUnauthorized,
	oas.ProblemReasonTooLarge:       http.StatusRequestEntityTooLarge,
	oas.ProblemReasonGone:           http.StatusGone,
	oas.ProblemReasonInternal:       http.StatusInternalServerError,
}

// Error is a refusal together with the problem that the API returns for it.
type Error struct {
	Problem oas.Problem
	Err     error // cause, for the log; may be nil
}

// Error returns the reason, the message and the remedy.
func (e *Error) Error() string {
	return fmt.Sprintf("operator: %s: %s; %s", e.Problem.Reason, e.Problem.Message, e.Problem.Remedy)
}

// Unwrap returns Err.
func (e *Error) Unwrap() error { return e.Err }

func newError(reason oas.ProblemReason, remedy, format string, args ...any) *Error {
	return &Error{Problem: oas.Problem{Reason: reason, Message: fmt.Sprintf(format, args...), Remedy: remedy}}
}

// problemsError converts failed checks to an Error. It returns nil if there are none, or if
// they only break promises and override gives a reason.
func problemsError(problems check.Problems, own check.Ref, override string) *Error {
	var e *Error
	switch problems.Class() {
	case check.Invalid:
		e = newError(oas.ProblemReasonInvalid, "correct the fields named", "%s has %d problems", own, len(problems))
	case check.BreaksPromise:
		if override != "" {
			return nil
		}
		e = newError(oas.ProblemReasonBreaksPromise, "change it so that nothing is lost, or override with a reason, which is recorded", "%s would break a promise", own)
	default:
		return nil
	}
	for _, p := range problems {
		field := p.Field
		if p.Object != own {
			field = p.Object.String() + " " + p.Field
		}
		e.Problem.Fields = append(e.Problem.Fields, oas.FieldProblem{Field: field, Message: p.Message, Remedy: p.Remedy})
	}
	return e
}

// platformError converts the error of a platform call to an Error.
func platformError(err error, ref check.Ref) *Error {
	var pe *objects.Error
	if !errors.As(err, &pe) {
		e := newError(oas.ProblemReasonInternal, "try again; look into the entry VM's log", "unexpected failure")
		e.Err = err
		return e
	}
	var e *Error
	switch pe.Kind {
	case objects.NotFound:
		e = newError(oas.ProblemReasonNotFound, "list the kind to see what there is", "there is no %s", ref)
	case objects.Conflict:
		e = newError(oas.ProblemReasonConflict, "get it again and repeat the change on its new version", "%s was changed by somebody else first", ref)
	case objects.Gone:
		e = newError(oas.ProblemReasonGone, "list again and watch from the list's version", "the version to watch from is too old")
	case objects.TooLarge:
		e = tooLargeError(ref)
	case objects.Unavailable, objects.Throttled:
		e = newError(oas.ProblemReasonUnavailable, "come back after the time given; nothing was changed, and the configuration in force stays", "the platform does not answer (%s)", pe.Kind)
		e.Problem.RetryAfterMs = oas.NewOptInt64(max(pe.RetryAfter, defaultRetryAfter).Milliseconds())
	case objects.Unknown:
		e = newError(oas.ProblemReasonOutcomeUnknown, "get the object and compare", "the platform broke off; %s may have been changed", ref)
	default:
		e = newError(oas.ProblemReasonInternal, "look into the entry VM's log", "the platform refused the call (%s)", pe.Kind)
	}
	e.Err = err
	return e
}

// readError converts the error of a platform read to an Error. A read changes nothing, so it
// returns Unavailable where platformError would return OutcomeUnknown.
func readError(err error, ref check.Ref) *Error {
	if objects.KindOf(err) != objects.Unknown {
		return platformError(err, ref)
	}
	e := newError(oas.ProblemReasonUnavailable, "come back after the time given", "the platform broke off while reading")
	e.Problem.RetryAfterMs = oas.NewOptInt64(defaultRetryAfter.Milliseconds())
	e.Err = err
	return e
}

func tooLargeError(ref check.Ref) *Error {
	return newError(oas.ProblemReasonTooLarge, "split it, for example one ClientBlocks object per region", "%s is too large: at most %d bytes, client blocks at most %d", ref, maxObjectBytes, maxBodyBytes)
}

// toResponse converts an Error to the response that ogen sends.
func toResponse(e *Error) *oas.ProblemStatusCode {
	return &oas.ProblemStatusCode{StatusCode: httpStatuses[e.Problem.Reason], Response: e.Problem}
}

// writeProblem sends an Error from a handler that isn't generated by ogen.
func writeProblem(w http.ResponseWriter, status int, e *Error) {
	body, err := e.Problem.MarshalJSON()
	if err != nil {
		body, _ = json.Marshal(map[string]string{"reason": string(oas.ProblemReasonInternal)})
	}
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	if ms, ok := e.Problem.RetryAfterMs.Get(); ok {
		seconds := (time.Duration(ms)*time.Millisecond + time.Second - 1) / time.Second
		w.Header().Set("Retry-After", fmt.Sprint(int64(seconds)))
	}
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// handleDecodeError responds to requests that ogen can't decode.
func handleDecodeError(_ context.Context, w http.ResponseWriter, _ *http.Request, err error) {
	status := ogenerrors.ErrorCode(err)
	reason, remedy := oas.ProblemReasonInvalid, "correct the request; see `heatherlock explain`"
	if status >= http.StatusInternalServerError {
		reason, remedy = oas.ProblemReasonInternal, "look into the entry VM's log"
	}
	writeProblem(w, status, newError(reason, remedy, "%s", truncate(err.Error())))
}

// maxMessageBytes is the length to which a decoding error is truncated, because it can quote
// the request.
const maxMessageBytes = 400

func truncate(s string) string {
	if len(s) <= maxMessageBytes {
		return s
	}
	return s[:maxMessageBytes] + "..."
}
