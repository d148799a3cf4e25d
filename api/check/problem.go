package check

import (
	"fmt"
	"strings"

	"heatherlock/api/oas"
)

// Class tells whether an operator can override a problem.
type Class string

// Classes of problems. An Invalid problem cannot be overridden.
const (
	Invalid       Class = "invalid"
	BreaksPromise Class = "breaks_promise" // an operator can override it with a recorded reason
)

// Ref identifies an object by its kind and name.
type Ref struct {
	Kind oas.Kind
	Name string
}

// String returns "Kind/name".
func (r Ref) String() string { return string(r.Kind) + "/" + r.Name }

// Problem is a problem with one field of one object. Field is empty if the problem concerns the
// whole object.
type Problem struct {
	Class   Class
	Object  Ref
	Field   string // path in the object, for example spec.targets[2].address
	Message string
	Remedy  string
}

// String returns the problem on one line, which ends with the remedy.
func (p Problem) String() string {
	return fmt.Sprintf("%s %s: %s; %s", p.Object, p.Field, p.Message, p.Remedy)
}

// Problems is a list of problems, in a stable order.
type Problems []Problem

// Class returns Invalid if any problem is Invalid, BreaksPromise if there are only problems of that
// class, and "" if there are no problems.
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

// Error implements error. The text has one line per problem.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = "check: " + p.String()
	}
	return strings.Join(lines, "\n")
}

// MaxProblems is the maximum number of problems that are reported for one change. The first ones
// suffice to show what is wrong, and the limit keeps the response to a malicious object small.
const MaxProblems = 100

// report adds problems of one object to a list.
type report struct {
	object   Ref
	problems *Problems
}

func (r report) invalid(field, remedy, format string, args ...any) {
	r.add(Invalid, field, remedy, fmt.Sprintf(format, args...))
}

func (r report) breaksPromise(field, remedy, format string, args ...any) {
	r.add(BreaksPromise, field, remedy, fmt.Sprintf(format, args...))
}

func (r report) add(class Class, field, remedy, message string) {
	*r.problems = append(*r.problems, Problem{Class: class, Object: r.object, Field: field, Message: message, Remedy: remedy})
}
