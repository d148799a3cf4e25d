package departure

import (
	"cmp"

	"heatherlock/steering"
)

// Word is a point in what a target has said of itself: a start of the target and a count of its writes since then.
type Word struct {
	Generation steering.Generation
	Beat       int64
}

// Compare returns -1 if w was said before o, 0 if they are the same, and 1 if w was said after o. A target counts its
// writes anew with each start.
func (w Word) Compare(o Word) int {
	if c := cmp.Compare(w.Generation, o.Generation); c != 0 {
		return c
	}
	return cmp.Compare(w.Beat, o.Beat)
}

// After reports whether w was said after o.
func (w Word) After(o Word) bool { return w.Compare(o) > 0 }

// Departure is the end of the use of a target. Only a later word of the target undoes it.
type Departure struct {
	Target     steering.Target     `json:"target"`
	Generation steering.Generation `json:"generation,omitempty"`
	// Beat is the last write of the target that is known.
	Beat int64 `json:"beat,omitempty"`
	// Gone is set if the entry was removed. Otherwise the target has said that it leaves.
	Gone bool `json:"gone,omitempty"`
}

// Word returns the last word of the target that is known.
func (d Departure) Word() Word { return Word{d.Generation, d.Beat} }

// outranks reports whether d is known after o. With the same word the end of a target comes after its leaving.
func (d Departure) outranks(o Departure) bool {
	c := d.Word().Compare(o.Word())
	return c > 0 || c == 0 && d.Gone && !o.Gone
}

// Ledger holds the latest departure of each target, also of targets that are not listed now: they may be listed again by
// an older write.
type Ledger struct {
	known map[steering.Target]Departure
}

// NewLedger returns a ledger without departures. The zero value cannot record any.
func NewLedger() Ledger { return Ledger{make(map[steering.Target]Departure)} }

// Note records a departure unless a later one of the target is known. It reports whether it was recorded.
func (l Ledger) Note(d Departure) bool {
	if known, found := l.known[d.Target]; found && !d.outranks(known) {
		return false
	}
	l.known[d.Target] = d
	return true
}

// Of returns the latest departure of a target; known is false if there is none.
func (l Ledger) Of(name steering.Target) (d Departure, known bool) {
	d, known = l.known[name]
	return d, known
}

// Holds reports whether a target has departed and has said nothing since, if w is its last word.
func (l Ledger) Holds(name steering.Target, w Word) bool {
	d, known := l.known[name]
	return known && !w.After(d.Word())
}

// Revoke forgets the departure of a target, which has said something later.
func (l Ledger) Revoke(name steering.Target) { delete(l.known, name) }

// Trim drops the departures of targets that are not to be remembered, so that the ledger does not grow with each target
// that ever was.
func (l Ledger) Trim(remembered func(steering.Target) bool) {
	for name := range l.known {
		if !remembered(name) {
			delete(l.known, name)
		}
	}
}

// All calls visit with each departure, in no order.
func (l Ledger) All(visit func(Departure)) {
	for _, d := range l.known {
		visit(d)
	}
}
