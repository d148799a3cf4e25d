package client

import (
	"fmt"
	"strings"

	"github.com/go-faster/errors"

	"heatherlock/api/oas"
	"heatherlock/cmd/internal/command"
)

// Failure is the error of a failed call. It wraps the command's error.
type Failure struct {
	Cause   *command.Error
	Problem *oas.Problem // refusal by an entry VM; nil if none answered
}

// Error returns the text of the command's error.
func (f *Failure) Error() string { return f.Cause.Error() }

// Unwrap returns the command's error, which carries the exit code.
func (f *Failure) Unwrap() error { return f.Cause }

// ReasonOf returns the reason of a refusal by an entry VM, or "" if err is none.
func ReasonOf(err error) oas.ProblemReason {
	var f *Failure
	if errors.As(err, &f) && f.Problem != nil {
		return f.Problem.Reason
	}
	return ""
}

// exitCodes maps the reason of a refusal to the exit code of the command.
var exitCodes = map[oas.ProblemReason]command.Code{
	oas.ProblemReasonInvalid:        command.Refused,
	oas.ProblemReasonBreaksPromise:  command.Refused,
	oas.ProblemReasonNotFound:       command.Refused,
	oas.ProblemReasonUnauthorized:   command.Refused,
	oas.ProblemReasonTooLarge:       command.Refused,
	oas.ProblemReasonGone:           command.Other,
	oas.ProblemReasonExists:         command.Conflict,
	oas.ProblemReasonConflict:       command.Conflict,
	oas.ProblemReasonUnavailable:    command.Unreachable,
	oas.ProblemReasonOutcomeUnknown: command.Unreachable,
	oas.ProblemReasonInternal:       command.Other,
}

// problemOf returns the refusal by an entry VM that err wraps, and whether there is one.
func problemOf(err error) (*oas.Problem, bool) {
	var p *oas.ProblemStatusCode
	if errors.As(err, &p) {
		return &p.Response, true
	}
	return nil, false
}

// retryable reports whether a call may succeed on another entry VM. That is so if this one could
// not be reached, or failed in a way that others may not, such as having lost the connection to
// the platform.
func retryable(err error) bool {
	p, ok := problemOf(err)
	if !ok {
		return true
	}
	switch p.Reason {
	case oas.ProblemReasonUnavailable, oas.ProblemReasonOutcomeUnknown, oas.ProblemReasonInternal:
		return true
	}
	return false
}

// asFailure converts the error of an API call to a *Failure, whose message and exit code come
// from the refusal if an entry VM sent one.
func asFailure(err error) error {
	if err == nil {
		return nil
	}
	p, ok := problemOf(err)
	if !ok {
		return &Failure{Cause: command.Failf(command.Unreachable, "check the addresses of the entry VMs", "%v", err)}
	}
	lines := []string{fmt.Sprintf("%s: %s", p.Reason, p.Message)}
	for _, f := range p.Fields {
		lines = append(lines, fmt.Sprintf("  %s: %s; %s", f.Field, f.Message, f.Remedy))
	}
	remedy := p.Remedy
	if ms, ok := p.RetryAfterMs.Get(); ok {
		remedy += fmt.Sprintf(" (%d ms)", ms)
	}
	code, known := exitCodes[p.Reason]
	if !known {
		code = command.Other
	}
	return &Failure{Cause: &command.Error{Code: code, Message: strings.Join(lines, "\n"), Remedy: remedy}, Problem: p}
}
