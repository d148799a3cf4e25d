package witness

import (
	"time"

	"heatherlock/steering"
)

// Kind says what a caller's request is, as far as the promises differ.
type Kind uint8

// Kinds of request.
const (
	KindRead     Kind = iota // idempotent
	KindPurchase             // non-idempotent, runs at most once
	KindUpload               // non-idempotent, with a long body
)

// Answer says how a caller's try ended.
type Answer uint8

// Ends of a try as its caller saw them.
const (
	AnswerWhole   Answer = iota // the whole answer to its own request
	AnswerWrong                 // bytes of another answer, or fewer than declared, passed off as whole
	AnswerRefused               // the system's own typed refusal
	AnswerBroken                // the connection broke, which the caller could tell
	AnswerFailed                // the target's own error answer
	AnswerUnsent                // nothing was sent: no connection
	AnswerLate                  // none by the caller's own deadline: it went away
)

// Try is one try of a caller.
type Try struct {
	Request string
	Try     string
	Kind    Kind
	Start   time.Time
	End     time.Time
	Answer  Answer
	// Reason and Ran are those of a refusal.
	Reason string
	Ran    string
	// EntryVM is the one the caller sent to.
	EntryVM string
	// Excused marks a try that a planted fault cut, not the system: its entry
	// VM was killed while it held the try.
	Excused bool
	// SentBytes and SentSum describe the body sent.
	SentBytes int64
	SentSum   string
}

// RanNo is the wire form of "not run" in a refusal.
const RanNo = "no"

type callerRecord struct {
	tries     int
	answers   map[Answer]int
	refusals  map[string]int
	notRun    map[string]string // try -> reason of the claim
	purchases map[string]bool
	uploads   map[string]*uploadRecord
	broken    int // broken tries that no planted fault excuses
	excused   int
}

// uploadRecord is what a caller knows of one upload over all its tries.
type uploadRecord struct {
	bytes int64
	sum   string
	acked bool
	cut   int
	// why says how the newest try that was cut ended.
	why string
	// answerLost is set when the target's own answer ended early or was
	// another request's: the bytes must have arrived all the same.
	answerLost bool
	// killed is set when a planted fault ended the entry VM that held a try.
	// What the others say of the same key later is a consequence, not a cut.
	killed bool
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

// Answered records the end of a caller's try.
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
		u.cutBy("another's answer")
	case AnswerBroken:
		u.killed = u.killed || t.Excused
		if !t.Excused {
			u.cutBy("connection broken")
		}
	case AnswerRefused:
		u.refused(t)
	}
}

func (u *uploadRecord) cutBy(why string) {
	u.cut++
	u.why = why
}

// saysHomeGone reports the reasons that a repeat gets when the entry VM that
// keeps its key died or restarted.
func saysHomeGone(reason string) bool {
	return reason == string(steering.ReasonKeyOwnerGone) || reason == string(steering.ReasonPeerUnreachable)
}

func (u *uploadRecord) refused(t Try) {
	switch {
	case t.Ran == RanNo || t.Excused:
	case u.killed && saysHomeGone(t.Reason):
	case t.Reason == string(steering.ReasonResponseTruncated) || t.Reason == string(steering.ReasonResponseMismatched):
		u.answerLost = true
	default:
		u.cutBy(t.Reason + " by " + t.EntryVM)
	}
}
