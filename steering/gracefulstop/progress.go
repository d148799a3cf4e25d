package gracefulstop

import "time"

// Progress is how far the stop of a VM is. A VM may stand still at any moment of it, so the steps that are due follow from the
// time alone, and none is left out because its time has passed unseen.
type Progress struct {
	schedule Schedule
	// answeredAt is when final responses were first due, as a time since the VM was told to stop; zero before.
	answeredAt time.Duration
}

// NewProgress returns the progress of a stop that begins.
func NewProgress(s Schedule) *Progress { return &Progress{schedule: s} }

// Due holds the steps of a stop that are due. Those that were due before stay due.
type Due struct {
	// Close: each connection is closed with a response.
	Close bool
	// Reject: no connection is accepted, and idle ones are closed.
	Reject bool
	// Answer: what has no response yet gets a final one.
	Answer bool
	// End: the process ends, whatever is still being written.
	End bool
}

// Next returns the steps that are due at a time since the VM was told to stop. The process ends no sooner after the final
// responses than planned, also if their time has passed unseen.
func (p *Progress) Next(since time.Duration) Due {
	d := Due{Close: since >= p.schedule.Keep, Reject: since > p.schedule.Accept, Answer: since >= p.schedule.Answer}
	if d.Answer && p.answeredAt == 0 {
		p.answeredAt = since
	}
	d.End = since >= p.schedule.End && since-p.answeredAt >= p.schedule.End-p.schedule.Answer
	return d
}
