package capshare

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"heatherlock/node/seam"
	"heatherlock/steering"
	"heatherlock/steering/caps"
	"heatherlock/steering/routing"
)

// share is this entry VM's share of one cap.
type share struct {
	name string
	self seam.Member
	stop context.CancelFunc // stops the loops; does nothing before they run

	// checkWanted is signaled when the seats should be checked, loanWanted when permits are
	// missing.
	checkWanted chan struct{}
	loanWanted  chan struct{}
	refused     atomic.Int64 // requests refused so far

	mu     sync.Mutex
	holder *caps.Holder
	// seats is the newest known record, from a snapshot or a reply of the platform.
	seats *routing.CapSeats
	// snapshot is the configuration applied last.
	snapshot *routing.Snapshot
	// freed is closed and replaced when permits may have become free.
	freed        chan struct{}
	backoffUntil map[steering.VM]time.Time // when to ask lenders again that had nothing
	lenderOffset int
}

func newShare(name string, self seam.Member, rule caps.Rule, now time.Time) *share {
	return &share{
		name: name, self: self, stop: func() {},
		checkWanted:  make(chan struct{}, 1),
		loanWanted:   make(chan struct{}, 1),
		holder:       caps.NewHolder(now, rule),
		freed:        make(chan struct{}),
		backoffUntil: map[steering.VM]time.Time{},
	}
}

// requestCheck makes the seat loop check the seats.
func (s *share) requestCheck() { notify(s.checkWanted) }

// requestLoan makes the borrow loop ask for a loan.
func (s *share) requestLoan() { notify(s.loanWanted) }

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// applySnapshot puts the cap and the seats of a snapshot into force. A lower cap applies
// immediately, before any seat is written.
func (s *share) applySnapshot(now time.Time, snapshot *routing.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshot = snapshot
	s.holder.Configure(ruleOf(snapshot, s.name))
	if seats := snapshot.Seats[s.name]; seats != nil {
		s.applySeats(now, seats)
	} else if s.seats != nil && s.seats.Version < snapshot.Version {
		// The record was deleted, which happens once it contains no seats.
		s.seats = nil
		s.holder.ApplySeats(now, snapshot.Version, 0, 0, false)
	}
	s.holder.Shrink(now, caps.Plan(s.planView(nil, false)).Keep)
}

// applySeats applies a record of the seats unless a newer one is known. The caller holds s.mu.
func (s *share) applySeats(now time.Time, seats *routing.CapSeats) {
	if s.seats != nil && seats.Version <= s.seats.Version {
		return
	}
	s.seats = seats
	own := 0
	for _, seat := range seats.Seats {
		if seat.VM == s.self.VM && seat.Incarnation == s.self.Incarnation {
			own = seat.Permits
		}
	}
	s.holder.ApplySeats(now, seats.Version, own, time.Duration(seats.WindowMs)*time.Millisecond, caps.Exceeds(seats, s.holder.Rule()))
}

// planView returns the input of caps.Plan. The caller holds s.mu. Without claimants, only
// Change.Keep of the resulting plan is valid.
func (s *share) planView(claimants []steering.VM, leader bool) caps.View {
	return caps.View{
		Self: s.self.VM, Incarnation: s.self.Incarnation,
		Rule: s.holder.Rule(), Seats: s.seats,
		Claimants: append(claimants, s.self.VM),
		Gone:      func(routing.CapSeat) bool { return false },
		Leader:    leader,
		Own:       s.holder.Own(), Pinned: s.holder.Pinned(),
	}
}

// signalFreed wakes waiting requests because permits may have become free. The caller holds s.mu.
func (s *share) signalFreed() {
	close(s.freed)
	s.freed = make(chan struct{})
}
