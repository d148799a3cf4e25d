package witness

import (
	"time"

	"heatherlock/steering"
)

// Kind is the kind of a caller's request. Different promises apply to each kind.
type Kind uint8

// Request kinds.
const (
	KindRead     Kind = iota // idempotent
	KindPurchase             // non-idempotent, must run at most once
	KindUpload               // non-idempotent, with a large body
)

// Answer is the outcome of a try as its caller saw it.
type Answer uint8

// Outcomes of a try.
const (
	AnswerWhole   Answer = iota // the complete response to its own request
	AnswerWrong                 // bytes of another response, or a truncated body, without a detectable error
	AnswerRefused               // a refusal by an entry VM, with a reason
	AnswerBroken                // a broken connection, which the caller could detect
	AnswerFailed                // an error response of the target
	AnswerUnsent                // no connection, so nothing was sent
	AnswerLate                  // no response by the caller's own deadline, after which it gave up
)

// Try is one attempt of a caller to get a response to a request.
type Try struct {
	Request string
	Try     string
	Kind    Kind
	Start   time.Time
	End     time.Time
	Answer  Answer
	// Reason and Ran are the reason of a refusal and whether the request ran.
	Reason string
	Ran    string
	// EntryVM is the entry VM that the caller sent the request to.
	EntryVM string
	// Excused is set if an injected fault broke the try: its entry VM was killed
	// while the try was in flight. Such a try does not count as broken.
	Excused bool
	// SentBytes and SentSum are the size and digest (see Sum) of the sent body.
	SentBytes int64
	SentSum   string
}

// RanNo is the value on the wire by which a refusal states that the request did
// not run.
const RanNo = "no"

type callerRecord struct {
	tries     int
	answers   map[Answer]int
	refusals  map[string]int
	notRun    map[string]string // refusal reason by try that was refused as not run
	purchases map[string]bool
	uploads   map[string]*uploadRecord
	broken    int // broken tries that no injected fault explains
	excused   int
}

// uploadRecord is the state of one upload over all its tries, as its caller knows it.
type uploadRecord struct {
	bytes int64
	sum   string
	acked bool
	cuts  int
	// cutReason is the reason of the newest cut.
	cutReason string
	// answerLost is set if the target's response was truncated or belonged to
	// another request. The upload must have reached the target nevertheless.
	answerLost bool
	// entryVMKilled is set if an injected fault killed the entry VM that handled a try.
	// Refusals of later tries because of the lost home of the key are a
	// consequence of that and do not count as cuts.
	entryVMKilled bool
}

func newCallerRecord() callerRecord {
	return callerRecord{
		answers:   map[Answer]int{},
		refusals:  map[string]int{},
		notRun:    map[string]string{},
		purchases: map[string]bool{},
		uploads:   map[string]*uploadRecord{},
	}
}

// Answered records the outcome of a caller's try.
func (w *Witness) Answered(t Try) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := &w.callers
	c.tries++
	c.answers[t.Answer]++
	if t.Answer == AnswerRefused {
		c.refusals[t.Reason]++
	}
	if t.Answer == AnswerRefused && t.Ran == RanNo {
		c.notRun[t.Try] = t.Reason
	}
	if t.Answer == AnswerBroken && !t.Excused {
		c.broken++
	}
	if t.Answer == AnswerBroken && t.Excused {
		c.excused++
	}
	switch t.Kind {
	case KindPurchase:
		c.purchases[t.Request] = true
	case KindUpload:
		c.upload(t)
	}
}

func (c *callerRecord) upload(t Try) {
	u, ok := c.uploads[t.Request]
	if !ok {
		u = &uploadRecord{}
		c.uploads[t.Request] = u
	}
	u.bytes, u.sum = t.SentBytes, t.SentSum
	switch t.Answer {
	case AnswerWhole:
		u.acked = true
	case AnswerWrong:
		u.recordCut("another's answer")
	case AnswerBroken:
		u.entryVMKilled = u.entryVMKilled || t.Excused
		if !t.Excused {
			u.recordCut("connection broken")
		}
	case AnswerRefused:
		u.refused(t)
	}
}

func (u *uploadRecord) recordCut(cutReason string) {
	u.cuts++
	u.cutReason = cutReason
}

// isHomeGone reports whether reason is one that a repeated request gets if the entry
// VM that stores the state of its key has crashed or restarted.
func isHomeGone(reason string) bool {
	return reason == string(steering.ReasonKeyOwnerGone) || reason == string(steering.ReasonPeerUnreachable)
}

func (u *uploadRecord) refused(t Try) {
	switch {
	case t.Ran == RanNo || t.Excused:
	case u.entryVMKilled && isHomeGone(t.Reason):
	case t.Reason == string(steering.ReasonResponseTruncated) || t.Reason == string(steering.ReasonResponseMismatched) ||
		t.Reason == string(steering.ReasonResponseMalformed):
		u.answerLost = true
	default:
		u.recordCut(t.Reason + " by " + t.EntryVM)
	}
}
