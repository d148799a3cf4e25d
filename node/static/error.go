package static

import (
	"fmt"
	"strings"
)

// ProblemKind classifies what is wrong with a setting.
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

// Problem is one thing wrong with the settings.
type Problem struct {
	Kind   ProblemKind
	Field  string // path such as limits.headerBytes
	Value  string // as given; secrets are left out
	Remedy string
}

// String returns the problem on one line, ending with the remedy.
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

// Error reports every problem of a settings file.
type Error struct {
	Problems []Problem
}

// Error implements error, one problem a line.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Problems)+1)
	lines = append(lines, fmt.Sprintf("settings: %d problem(s)", len(e.Problems)))
	for _, p := range e.Problems {
		lines = append(lines, "  "+p.String())
	}
	return strings.Join(lines, "\n")
}

// problems collects what is wrong while settings are read and checked.
type problems struct {
	list []Problem
}

func (c *problems) add(kind ProblemKind, field, value, remedy string) {
	c.list = append(c.list, Problem{Kind: kind, Field: field, Value: shorten(value), Remedy: remedy})
}

func (c *problems) err() error {
	if len(c.list) == 0 {
		return nil
	}
	return &Error{Problems: c.list}
}

// maxValueShown keeps a hostile or mistaken value from flooding the log.
const maxValueShown = 80

func shorten(value string) string {
	if len(value) <= maxValueShown {
		return value
	}
	return value[:maxValueShown] + "..."
}
