package static

import (
	"fmt"
	"strings"
)

// ProblemKind classifies the problem of a setting.
type ProblemKind string

// Kinds of problem.
const (
	UnknownField ProblemKind = "unknown field"
	MissingField ProblemKind = "missing field"
	BadType      ProblemKind = "wrong type"
	BadAddress   ProblemKind = "bad address"
	BadDuration  ProblemKind = "bad duration"
	BadValue     ProblemKind = "bad value"
	BadSyntax    ProblemKind = "not JSON"
)

// Problem describes one invalid, missing or unknown setting.
type Problem struct {
	Kind   ProblemKind
	Field  string // path, for example limits.headerBytes
	Value  string // as given, truncated; empty or "(not shown)" for secrets
	Remedy string
}

// String returns the problem as one line that ends with the remedy.
func (p Problem) String() string {
	var b strings.Builder
	b.WriteString(string(p.Kind))
	if p.Field != "" {
		fmt.Fprintf(&b, " %s", p.Field)
	}
	if p.Value != "" {
		fmt.Fprintf(&b, " = %s", p.Value)
	}
	fmt.Fprintf(&b, "; %s", p.Remedy)
	return b.String()
}

// Error contains every problem of a settings file.
type Error struct {
	Problems []Problem
}

// Error returns a count of the problems followed by one line for each.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Problems)+1)
	lines = append(lines, fmt.Sprintf("settings: %d problem(s)", len(e.Problems)))
	for _, p := range e.Problems {
		lines = append(lines, "  "+p.String())
	}
	return strings.Join(lines, "\n")
}

// problems collects problems while settings are decoded and checked.
type problems struct {
	list []Problem
}

func (c *problems) add(kind ProblemKind, field, value, remedy string) {
	c.list = append(c.list, Problem{Kind: kind, Field: field, Value: truncate(value), Remedy: remedy})
}

func (c *problems) err() error {
	if len(c.list) == 0 {
		return nil
	}
	return &Error{Problems: c.list}
}

// maxValueShown is the length to which the value in a problem is truncated, so that a malicious
// or mistaken value doesn't flood the log.
const maxValueShown = 80

func truncate(value string) string {
	if len(value) <= maxValueShown {
		return value
	}
	return value[:maxValueShown] + "..."
}
