package client

import (
	"fmt"
	"strings"

	"github.com/go-faster/errors"

	"heatherlock/api/oas"
	"heatherlock/cmd/internal/command"
)

// Failure is a failed call: the command's error, and the typed refusal if an
// entry VM gave one.
type Failure struct {
	Cause   *command.Error
	Problem *oas.Problem // nil when no entry VM answered
}

// Error implements error.
func (f *Failure) Error() string { return f.Cause.Error() }

// Unwrap returns the command's error, which carries the exit code.
func (f *Failure) Unwrap() error { return f.Cause }

// ReasonOf returns the reason of a typed refusal, or "".
func ReasonOf(err error) oas.ProblemReason {
	var f *Failure
	if errors.As(err, &f) && f.Problem != nil {
		return f.Problem.Reason
	}
	return ""
}

// codes maps each reason to the exit code that it ends a command with.
var codes = map[oas.ProblemReason]command.Code{
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

// problemOf returns the typed refusal that an entry VM gave.
func problemOf(err error) (*oas.Problem, bool) {
	var p *oas.ProblemStatusCode
	if errors.As(err, &p) {
		return &p.Response, true
	}
	return nil, false
}

// elsewhere tells whether another entry VM may do better: one that cannot be
// reached, and one that is cut off from the platform while others may not be.
func elsewhere(err error) bool {
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

// asFailure turns an entry VM's refusal into the command's error.
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
	code, known := codes[p.Reason]
	if !known {
		code = command.Other
	}
	return &Failure{Cause: &command.Error{Code: code, Message: strings.Join(lines, "\n"), Remedy: remedy}, Problem: p}
}
