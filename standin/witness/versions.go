package witness

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// Handling is what became of a request on a route: the service that ran it, or one of the constants.
type Handling string

// Handlings by which no service runs a request.
const (
	HandlingNoRoute  Handling = "no route"
	HandlingTooLarge Handling = "too large"
)

// Versions judges how entry VMs handle requests by the configurations that an operator writes. Each VM has to handle a
// request as some version allows that is no older than the newest one confirmed ApplyBound before the request was sent,
// and no older than one by which the same process has handled an earlier request. It is safe for concurrent use.
type Versions struct {
	// ApplyBound is the time within which a confirmed version has to be in force.
	ApplyBound time.Duration

	mu      sync.Mutex
	written []writtenVersion // in the order of their numbers
	floors  map[string]int   // the oldest version that each process may still use, as an index of written
	judged  int
	// required counts those judged that a confirmed version bound.
	required int
}

// writtenVersion is a version with the handlings that it allows for each probe.
type writtenVersion struct {
	number    int
	confirmed time.Time // zero if it is not
	allowed   map[string][]Handling
}

// NewVersions returns a judge that knows no version.
func NewVersions(applyBound time.Duration) *Versions {
	return &Versions{ApplyBound: applyBound, floors: make(map[string]int)}
}

// Sent records that the operator writes a version, which may be in force from now on. allowed holds the handlings that it
// allows for each probe. Numbers increase.
func (v *Versions) Sent(number int, allowed map[string][]Handling) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.written = append(v.written, writtenVersion{number: number, allowed: allowed})
}

// Confirmed records that the store confirmed a version.
func (v *Versions) Confirmed(number int, at time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for i := range v.written {
		if v.written[i].number == number {
			v.written[i].confirmed = at
		}
	}
}

// Lost records that the store no longer holds the versions that were confirmed after a time.
func (v *Versions) Lost(after time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for i := range v.written {
		if v.written[i].confirmed.After(after) {
			v.written[i].confirmed = time.Time{}
		}
	}
}

// Question is a request on the way to a process.
type Question struct {
	versions *Versions
	process  string
	probe    string
	floor    int
	required bool
}

// Ask returns a question that is sent to a process now. With inTouch unset, the process may not have been told what was
// confirmed, and only has to be as new as it was before.
func (v *Versions) Ask(process, probe string, inTouch bool, now time.Time) Question {
	v.mu.Lock()
	defer v.mu.Unlock()
	q := Question{versions: v, process: process, probe: probe, floor: v.floors[process]}
	if !inTouch {
		return q
	}
	for i := len(v.written) - 1; i >= q.floor; i-- {
		if at := v.written[i].confirmed; !at.IsZero() && !now.Before(at.Add(v.ApplyBound)) {
			q.floor, q.required = i, true
			break
		}
	}
	return q
}

// Answered judges how a process handled a request. The error describes a violation.
func (q Question) Answered(got Handling) error {
	v := q.versions
	v.mu.Lock()
	defer v.mu.Unlock()
	v.judged++
	if q.required {
		v.required++
	}
	for i := q.floor; i < len(v.written); i++ {
		if slices.Contains(v.written[i].allowed[q.probe], got) {
			v.floors[q.process] = max(v.floors[q.process], i)
			return nil
		}
	}
	since := "it has used before"
	if q.required {
		since = "confirmed long before"
	}
	return fmt.Errorf("%s handled %s as %q, version %d %s; %s", q.process, q.probe, got, v.written[q.floor].number, since, q.allowing(got))
}

// Judged returns how many requests were judged, and how many of them were bound by a confirmed version.
func (v *Versions) Judged() (all, required int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.judged, v.required
}

// allowing names the older versions that allow a handling.
func (q Question) allowing(got Handling) string {
	var numbers []string
	for _, w := range q.versions.written[:q.floor] {
		if slices.Contains(w.allowed[q.probe], got) {
			numbers = append(numbers, fmt.Sprint(w.number))
		}
	}
	if len(numbers) == 0 {
		return "no version allows that"
	}
	return "allowed by " + strings.Join(numbers, ", ")
}
