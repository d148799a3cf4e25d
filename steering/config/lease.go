package config

import (
	"time"

	"heatherlock/steering"
)

// Terms are the times of a reader lease.
type Terms struct {
	// TTL is how long a record must stay unchanged, on the observer's clock,
	// before another may take over; the holder stops Margin before that.
	TTL time.Duration
	// Renew is the holder's interval between writes.
	Renew time.Duration
	// Poll is a candidate's interval between readings.
	Poll time.Duration
	// Margin covers clocks that run at different rates.
	Margin time.Duration
}

// DefaultTerms cost a zone one write and two readings in three seconds.
var DefaultTerms = Terms{TTL: 10 * time.Second, Renew: 3 * time.Second, Poll: 3 * time.Second, Margin: 500 * time.Millisecond}

// Record is the stored lease.
type Record struct {
	Holder      steering.VM          `json:"holder"` // empty when released
	Incarnation steering.Incarnation `json:"incarnation"`
	// Epoch grows with every change of holder. What a holder writes carries
	// it, so that a holder that was paused past its lease is recognised.
	Epoch int64 `json:"epoch"`
	// Beat grows with every renewal.
	Beat int64 `json:"beat"`
}

// Step is what the lease's owner must do next.
type Step uint8

// Steps of a lease.
const (
	// Wait means nothing until At.
	Wait Step = iota
	// Read means read the record and call Observed.
	Read
	// Write means write Record on condition of Version (create when 0) and
	// call Written.
	Write
)

// Action is a decision of a lease.
type Action struct {
	Step    Step
	At      time.Time // for Wait
	Version int64     // for Write
	Record  Record    // for Write
}

// WriteResult is how a conditional write of the record ended.
type WriteResult uint8

// Results of a write.
const (
	WriteOK WriteResult = iota
	// WriteConflict means another write came first; nothing took effect.
	WriteConflict
	// WriteRefused means that nothing took effect.
	WriteRefused
	// WriteUnknown means that the reply was lost; the write may have taken
	// effect.
	WriteUnknown
)

// Lease is one entry VM's part in its zone's reader lease.
type Lease struct {
	vm          steering.VM
	incarnation steering.Incarnation
	terms       Terms

	record    Record
	version   int64     // of record; 0 when none is stored
	seen      time.Time // when the record was first seen at version
	read      bool      // record was read at least once
	validTill time.Time // zero unless held
	nextWrite time.Time
	nextRead  time.Time
	pending   Record    // last written, for lost replies
	pendingAt time.Time // when it was sent; zero when none is open
}

// NewLease returns the lease of one process life.
func NewLease(vm steering.VM, incarnation steering.Incarnation, terms Terms) *Lease {
	return &Lease{vm: vm, incarnation: incarnation, terms: terms}
}

// Holding returns the epoch and whether this process holds the lease at now.
// The time counts from the moment the last good write was sent, so that a
// process that was paused finds its lease over before it acts on it.
func (l *Lease) Holding(now time.Time) (epoch int64, holding bool) {
	if l.validTill.IsZero() || !now.Before(l.validTill) {
		return 0, false
	}
	return l.record.Epoch, true
}

// Holder returns the holder as last read; empty when none is known.
func (l *Lease) Holder() steering.VM { return l.record.Holder }

// Next decides what to do at now. Candidates read; others leave the record
// alone, so that the platform's load does not grow with the zone.
func (l *Lease) Next(now time.Time, candidate bool) Action {
	if _, holding := l.Holding(now); holding && l.pendingAt.IsZero() {
		if now.Before(l.nextWrite) {
			return Action{Step: Wait, At: l.nextWrite}
		}
		return l.write(now, Record{Holder: l.vm, Incarnation: l.incarnation, Epoch: l.record.Epoch, Beat: l.record.Beat + 1})
	}
	if !candidate && l.pendingAt.IsZero() {
		return Action{Step: Wait, At: now.Add(l.terms.Poll)}
	}
	if !now.Before(l.nextRead) {
		l.nextRead = now.Add(l.terms.Poll)
		return Action{Step: Read}
	}
	if candidate && l.read && l.free(now) && !now.Before(l.nextWrite) {
		return l.write(now, Record{Holder: l.vm, Incarnation: l.incarnation, Epoch: l.record.Epoch + 1, Beat: l.record.Beat + 1})
	}
	return Action{Step: Wait, At: l.nextRead}
}

// free says whether the record may be taken over. It must have been read
// since: a record judged by an old reading would be taken from a holder that
// renewed it meanwhile, which the condition on the version refuses anyway.
func (l *Lease) free(now time.Time) bool {
	if !l.pendingAt.IsZero() {
		return false
	}
	if l.version == 0 || l.record.Holder == "" {
		return true
	}
	return now.Sub(l.seen) >= l.terms.TTL
}

func (l *Lease) write(now time.Time, r Record) Action {
	l.pending, l.pendingAt = r, now
	return Action{Step: Write, Version: l.version, Record: r}
}

// Release returns the write that gives the lease up, if it is held at now.
func (l *Lease) Release(now time.Time) (Action, bool) {
	if _, holding := l.Holding(now); !holding {
		return Action{}, false
	}
	l.validTill = time.Time{}
	return l.write(now, Record{Epoch: l.record.Epoch, Beat: l.record.Beat + 1}), true
}

// Observed takes a reading of the record; version 0 means that none is stored.
// A reading behind one already seen comes from a replica that lags, and is
// ignored.
func (l *Lease) Observed(now time.Time, r Record, version int64) {
	if l.read && version < l.version {
		return
	}
	if !l.read || version != l.version {
		l.record, l.version, l.seen = r, version, now
		l.read = true
	}
	l.settle()
}

// settle closes a write whose reply was lost, by what is stored now. A write
// of ours that is stored took effect when it was sent, not when it was read
// back: counting from the reading would stretch the lease.
func (l *Lease) settle() {
	if l.pendingAt.IsZero() {
		l.dropIfLost()
		return
	}
	sent := l.pendingAt
	l.pendingAt = time.Time{}
	if l.record == l.pending && l.pending.Incarnation == l.incarnation {
		l.hold(sent)
		return
	}
	l.dropIfLost()
}

func (l *Lease) dropIfLost() {
	if l.record.Incarnation != l.incarnation {
		l.validTill = time.Time{}
	}
}

func (l *Lease) hold(sent time.Time) {
	l.validTill = sent.Add(l.terms.TTL - l.terms.Margin)
	l.nextWrite = sent.Add(l.terms.Renew)
}

// Written takes the end of the last write; version is the stored one when it
// is known to have taken effect.
func (l *Lease) Written(now time.Time, result WriteResult, version int64) {
	if l.pendingAt.IsZero() {
		return
	}
	sent := l.pendingAt
	switch result {
	case WriteOK:
		l.pendingAt = time.Time{}
		l.record, l.version, l.seen, l.read = l.pending, version, now, true
		if l.pending.Holder != "" {
			l.hold(sent)
		}
	case WriteRefused:
		l.pendingAt = time.Time{}
		l.nextWrite = now.Add(l.terms.Renew)
		l.nextRead = now.Add(l.terms.Poll)
	case WriteConflict:
		l.pendingAt = time.Time{}
		l.validTill = time.Time{}
		l.read = false
		l.nextRead = now
	case WriteUnknown:
		l.nextRead = now
	}
}
