package check

import (
	"fmt"
	"strings"

	"heatherlock/api/oas"
)

// Class says what can be done about a problem.
type Class string

// Classes of problem.
const (
	Invalid       Class = "invalid"
	BreaksPromise Class = "breaks_promise" // may be overridden with a reason
)

// Ref names an object.
type Ref struct {
	Kind oas.Kind
	Name string
}

// String returns "Kind/name".
func (r Ref) String() string { return string(r.Kind) + "/" + r.Name }

// Problem is one thing wrong with one field of one object.
type Problem struct {
	Class   Class
	Object  Ref
	Field   string // path in the object, for example spec.targets[2].address
	Message string
	Remedy  string
}

// String returns the problem on one line, the remedy last.
func (p Problem) String() string {
	return fmt.Sprintf("%s %s: %s; %s", p.Object, p.Field, p.Message, p.Remedy)
}

// Problems is a list of problems, in a stable order.
type Problems []Problem

// Class returns Invalid if any problem is, else BreaksPromise, else "".
func (ps Problems) Class() Class {
	class := Class("")
	for _, p := range ps {
		if p.Class == Invalid {
			return Invalid
		}
		class = p.Class
	}
	return class
}

// Error implements error, one line per problem.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = "check: " + p.String()
	}
	return strings.Join(lines, "\n")
}

// MaxProblems bounds how many problems are reported for one change: the first
// ones show what is wrong, and the reply to a hostile object stays small.
const MaxProblems = 100

// report collects problems of one object.
type report struct {
	object   Ref
	problems *Problems
}

func (r report) invalid(field, remedy, format string, args ...any) {
	r.add(Invalid, field, remedy, fmt.Sprintf(format, args...))
}

func (r report) breaks(field, remedy, format string, args ...any) {
	r.add(BreaksPromise, field, remedy, fmt.Sprintf(format, args...))
}

func (r report) add(class Class, field, remedy, message string) {
	*r.problems = append(*r.problems, Problem{Class: class, Object: r.object, Field: field, Message: message, Remedy: remedy})
}
