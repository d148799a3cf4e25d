package config

import (
	"time"

	"heatherlock/steering"
)

// LeaseTiming are the timing parameters of a reader lease.
type LeaseTiming struct {
	// TTL is the time for which the record must have stayed unchanged, on the
	// observer's clock, before another VM may take over. The holder stops using
	// the lease Margin earlier.
	TTL time.Duration
	// Renew is the interval at which the holder writes the record.
	Renew time.Duration
	// Poll is the interval at which a candidate reads the record.
	Poll time.Duration
	// Margin compensates for clocks that run at different rates.
	Margin time.Duration
}

// DefaultLeaseTiming cost a zone with two candidates one write and two reads every
// three seconds.
var DefaultLeaseTiming = LeaseTiming{TTL: 10 * time.Second, Renew: 3 * time.Second, Poll: 3 * time.Second, Margin: 500 * time.Millisecond}

// Record is the stored form of the lease.
type Record struct {
	Holder      steering.VM          `json:"holder"` // empty when released
	Incarnation steering.Incarnation `json:"incarnation"`
	// Epoch increases with every change of holder. Every write of a holder
	// carries it, which identifies the writes of a holder that was paused until
	// after its lease had expired.
	Epoch int64 `json:"epoch"`
	// Beat increases with every write of the record, so that a renewal changes it.
	Beat int64 `json:"beat"`
}

// Step is what the caller of [Lease.Next] must do next.
type Step uint8

const (
	// Wait means to call Next again at Action.At.
	Wait Step = iota
	// Read means to read the record and call ObserveRecord.
	Read
	// Write means to write Action.Record on condition that the stored version is
	// Action.Version (create it if that is 0), and to call ObserveWrite.
	Write
)

// Action is a step with its parameters.
type Action struct {
	Step    Step
	At      time.Time // for Wait
	Version int64     // for Write
	Record  Record    // for Write
}

// WriteResult is the result of a conditional write of the record.
type WriteResult uint8

const (
	WriteOK WriteResult = iota
	// WriteConflict means that another write came first; this one had no effect.
	WriteConflict
	// WriteRefused means that the platform rejected the write, which had no effect.
	WriteRefused
	// WriteUnknown means that the response was lost; the write may have taken
	// effect.
	WriteUnknown
)

// Lease is the state machine of one entry VM for the reader lease of its zone. It
// does no I/O: Next returns the step to take, and ObserveRecord and ObserveWrite
// receive its result. It is not safe for concurrent use.
type Lease struct {
	vm          steering.VM
	incarnation steering.Incarnation
	terms       LeaseTiming

	record        Record
	version       int64     // of record; 0 if none is stored
	firstSeenAt   time.Time // when record was first seen at version
	hasRead       bool      // record was read or written since the last conflict
	validUntil    time.Time // zero unless held
	nextWrite     time.Time
	nextRead      time.Time
	pending       Record    // last record written, to recognise it if the response is lost
	pendingSentAt time.Time // when pending was sent; zero if its result is known
}

// NewLease returns the lease of one incarnation of an entry VM. It is not held.
func NewLease(vm steering.VM, incarnation steering.Incarnation, terms LeaseTiming) *Lease {
	return &Lease{vm: vm, incarnation: incarnation, terms: terms}
}

// Holding returns the epoch and whether this process holds the lease at now. The
// validity is counted from the time at which the last successful write was sent, so
// a process that was paused finds its lease expired before it acts on it.
func (l *Lease) Holding(now time.Time) (epoch int64, holding bool) {
	if l.validUntil.IsZero() || !now.Before(l.validUntil) {
		return 0, false
	}
	return l.record.Epoch, true
}

// Holder returns the holder in the last known record; empty if there is none.
func (l *Lease) Holder() steering.VM { return l.record.Holder }

// Next returns the step to take at now. The holder renews the record, and candidates
// read it and take the lease over when it is free. Other VMs do not access the
// record, so the load on the platform does not grow with the number of VMs in the
// zone.
func (l *Lease) Next(now time.Time, candidate bool) Action {
	if _, holding := l.Holding(now); holding && l.pendingSentAt.IsZero() {
		if now.Before(l.nextWrite) {
			return Action{Step: Wait, At: l.nextWrite}
		}
		return l.write(now, Record{Holder: l.vm, Incarnation: l.incarnation, Epoch: l.record.Epoch, Beat: l.record.Beat + 1})
	}
	if !candidate && l.pendingSentAt.IsZero() {
		return Action{Step: Wait, At: now.Add(l.terms.Poll)}
	}
	if !now.Before(l.nextRead) {
		l.nextRead = now.Add(l.terms.Poll)
		return Action{Step: Read}
	}
	if candidate && l.hasRead && l.isFree(now) && !now.Before(l.nextWrite) {
		return l.write(now, Record{Holder: l.vm, Incarnation: l.incarnation, Epoch: l.record.Epoch + 1, Beat: l.record.Beat + 1})
	}
	return Action{Step: Wait, At: l.nextRead}
}

// isFree reports whether the lease may be taken over: the record is not stored, was
// released, or has not changed for the TTL. The caller must have read the record.
// If the holder has renewed the record since that reading, the condition on the
// version rejects the takeover.
func (l *Lease) isFree(now time.Time) bool {
	if !l.pendingSentAt.IsZero() {
		return false
	}
	if l.version == 0 || l.record.Holder == "" {
		return true
	}
	return now.Sub(l.firstSeenAt) >= l.terms.TTL
}

func (l *Lease) write(now time.Time, r Record) Action {
	l.pending, l.pendingSentAt = r, now
	return Action{Step: Write, Version: l.version, Record: r}
}

// Release ends the lease and returns the write that releases the record. It
// returns false if the lease is not held at now.
func (l *Lease) Release(now time.Time) (Action, bool) {
	if _, holding := l.Holding(now); !holding {
		return Action{}, false
	}
	l.validUntil = time.Time{}
	return l.write(now, Record{Epoch: l.record.Epoch, Beat: l.record.Beat + 1}), true
}

// ObserveRecord handles a reading of the record; version 0 means that none is
// stored. A reading that is older than the known record comes from a lagging replica
// and is ignored.
func (l *Lease) ObserveRecord(now time.Time, r Record, version int64) {
	if l.hasRead && version < l.version {
		return
	}
	if !l.hasRead || version != l.version {
		l.record, l.version, l.firstSeenAt = r, version, now
		l.hasRead = true
	}
	l.resolvePending()
}

// resolvePending determines from the stored record whether a write whose response
// was lost took effect. If it did, the lease counts from the time at which the write
// was sent: counting from the time of the reading would extend the lease beyond the
// TTL that other VMs observe.
func (l *Lease) resolvePending() {
	if l.pendingSentAt.IsZero() {
		l.dropIfNotHolder()
		return
	}
	sent := l.pendingSentAt
	l.pendingSentAt = time.Time{}
	if l.record == l.pending && l.pending.Incarnation == l.incarnation {
		l.extend(sent)
		return
	}
	l.dropIfNotHolder()
}

func (l *Lease) dropIfNotHolder() {
	if l.record.Incarnation != l.incarnation {
		l.validUntil = time.Time{}
	}
}

func (l *Lease) extend(sent time.Time) {
	l.validUntil = sent.Add(l.terms.TTL - l.terms.Margin)
	l.nextWrite = sent.Add(l.terms.Renew)
}

// ObserveWrite handles the result of the last write; version is the stored version
// and is only used with WriteOK.
func (l *Lease) ObserveWrite(now time.Time, result WriteResult, version int64) {
	if l.pendingSentAt.IsZero() {
		return
	}
	sent := l.pendingSentAt
	switch result {
	case WriteOK:
		l.pendingSentAt = time.Time{}
		l.record, l.version, l.firstSeenAt, l.hasRead = l.pending, version, now, true
		if l.pending.Holder != "" {
			l.extend(sent)
		}
	case WriteRefused:
		l.pendingSentAt = time.Time{}
		l.nextWrite = now.Add(l.terms.Renew)
		l.nextRead = now.Add(l.terms.Poll)
	case WriteConflict:
		l.pendingSentAt = time.Time{}
		l.validUntil = time.Time{}
		l.hasRead = false
		l.nextRead = now
	case WriteUnknown:
		l.nextRead = now
	}
}
