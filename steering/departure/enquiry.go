package departure

import (
	"time"

	"heatherlock/steering"
)

const (
	// quickQuestions is how many VMs an enquiry asks one right after the other, and latePause the time between two
	// further questions. After a fault that many VMs share most of them cannot tell, but are told meanwhile.
	quickQuestions = 8
	latePause      = time.Second
	// enquiryTime is how long an enquiry lasts at most: by then the VMs that can be reached are heard again.
	enquiryTime = 10 * time.Second
	// fellowWait is how long a VM waits for others to come back into hearing before it asks one that was heard all
	// along, and before it asks the same one again, and fellowPause the time from any question to such a one. Those
	// are told meanwhile.
	fellowWait  = 500 * time.Millisecond
	fellowPause = 250 * time.Millisecond
	// PollInterval is how often Next is to be called while the enquiry is active.
	PollInterval = 100 * time.Millisecond
	// manyVMs is how many VMs are remembered before those are forgotten that have not been heard for long.
	manyVMs = 4096
)

// Enquiry decides which other VMs an entry VM asks for departures that it may lack, after its start and after it was out of
// touch. It is not safe for concurrent use.
//
// A VM that was heard all the while was out of touch as well. So those are asked first that come back into hearing, one at
// a time, until one knows all that has happened meanwhile. In a large zone most VMs hear no other zone; after
// fellowWait they ask those of their own, which may have been told by then.
type Enquiry struct {
	// silence is the time without a heartbeat after which a VM counts as heard again.
	silence   time.Duration
	heard     map[steering.VM]hearing
	begun     time.Time
	askedAt   time.Time
	until     time.Time
	need      time.Duration
	asked     int
	answering bool
}

// hearing is what an enquiry knows of another VM.
type hearing struct {
	last time.Time // of its heartbeats
	// returned is when it was heard again after a silence: it was on the other side of a cut, or one of them
	// stood still.
	returned time.Time
	asked    time.Time // last
}

// NewEnquiry returns an enquiry that has not begun. silence is the time without a read of the store from which on a VM is
// out of touch.
func NewEnquiry(silence time.Duration) *Enquiry {
	return &Enquiry{silence: silence, heard: make(map[steering.VM]hearing)}
}

// Begin begins an enquiry of a VM that was out of touch for a time.
func (e *Enquiry) Begin(now time.Time, outOfTouch time.Duration) {
	e.begun, e.until, e.need, e.asked = now, now.Add(enquiryTime), max(outOfTouch, e.silence), 0
}

// Active reports whether the enquiry has begun and may ask further VMs.
func (e *Enquiry) Active(now time.Time) bool { return now.Before(e.until) }

// Heard records a heartbeat of another VM.
func (e *Enquiry) Heard(now time.Time, vm steering.VM) {
	h := e.heard[vm]
	if now.Sub(h.last) > e.silence {
		h.returned = now
	}
	h.last = now
	e.heard[vm] = h
	e.trim(now)
}

// Next returns the VM to ask now; ask is false if there is none. A call of Answered must follow if it is true.
func (e *Enquiry) Next(now time.Time) (vm steering.VM, ask bool) {
	late := e.asked >= quickQuestions
	if !e.Active(now) || e.answering || late && now.Sub(e.askedAt) < latePause {
		return "", false
	}
	fellows := now.Sub(e.begun) >= fellowWait && now.Sub(e.askedAt) >= fellowPause
	var best hearing
	for name, h := range e.heard {
		h.returned, h.last = e.returnedAfter(now, h), time.Time{}
		if h.returned.IsZero() && !(fellows && now.Sub(h.asked) >= fellowWait) {
			continue
		}
		if !ask || h.before(best) || h == best && name < vm {
			vm, best, ask = name, h, true
		}
	}
	if ask {
		h := e.heard[vm]
		h.asked, e.askedAt = now, now
		e.heard[vm] = h
		e.asked++
		e.answering = true
	}
	return vm, ask
}

// returnedAfter returns when a VM came back into hearing if it is to be asked for that, and the zero time otherwise.
func (e *Enquiry) returnedAfter(now time.Time, h hearing) time.Time {
	if now.Sub(h.returned) >= enquiryTime || !h.asked.Before(e.begun) {
		return time.Time{}
	}
	return h.returned
}

// before reports whether a VM is asked before another one: those that came back first, then those that have not been asked
// for longest.
func (h hearing) before(o hearing) bool {
	if h.returned.IsZero() != o.returned.IsZero() {
		return o.returned.IsZero()
	}
	return h.asked.Before(o.asked)
}

// Answered records the end of a question. knows is for how long the VM that was asked has known all that happened; 0 if
// it has not answered.
func (e *Enquiry) Answered(knows time.Duration) {
	e.answering = false
	if knows >= e.need {
		e.until = time.Time{}
	}
}

// trim bounds the memory for VMs of earlier names. One that is forgotten counts as back when it is heard again, which
// costs one question at most.
func (e *Enquiry) trim(now time.Time) {
	if len(e.heard) < manyVMs {
		return
	}
	for vm, h := range e.heard {
		if now.Sub(h.last) > enquiryTime {
			delete(e.heard, vm)
		}
	}
}
