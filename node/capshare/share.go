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

// share is this entry VM's part in one cap.
type share struct {
	name string
	self seam.Member
	stop context.CancelFunc // ends the loops; does nothing before they run

	// changed is told when the seats should be looked at, hungry when permits
	// are missing.
	changed chan struct{}
	hungry  chan struct{}
	refused atomic.Int64 // requests refused so far

	mu     sync.Mutex
	holder *caps.Holder
	// seats is the newest record known, from a snapshot or a reply.
	seats *routing.CapSeats
	// snapshot is the configuration last followed.
	snapshot *routing.Snapshot
	// freed is closed and replaced when permits may have come free.
	freed chan struct{}
	empty map[steering.VM]time.Time // lenders that had nothing, until when
	turn  int
}

func newShare(name string, self seam.Member, rule caps.Rule, now time.Time) *share {
	return &share{
		name: name, self: self, stop: func() {},
		changed: make(chan struct{}, 1),
		hungry:  make(chan struct{}, 1),
		holder:  caps.NewHolder(now, rule),
		freed:   make(chan struct{}),
		empty:   map[steering.VM]time.Time{},
	}
}

// wake makes the seat loop look again.
func (s *share) wake() { notify(s.changed) }

// hunger makes the borrow loop ask for a loan.
func (s *share) hunger() { notify(s.hungry) }

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// follow puts the cap and the seats of a snapshot into force here: a lower cap
// binds from this moment on, before anything is written.
func (s *share) follow(now time.Time, snapshot *routing.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshot = snapshot
	s.holder.Configure(ruleOf(snapshot, s.name))
	if seats := snapshot.Seats[s.name]; seats != nil {
		s.adopt(now, seats)
	} else if s.seats != nil && s.seats.Version < snapshot.Version {
		// The record was deleted, which happens once no seat is left in it.
		s.seats = nil
		s.holder.ApplySeats(now, snapshot.Version, 0, 0, false)
	}
	s.holder.Shrink(now, caps.Plan(s.view(nil, false)).Keep)
}

// adopt acts on a record of the seats unless a newer one is known; s.mu is held.
func (s *share) adopt(now time.Time, seats *routing.CapSeats) {
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

// view is what a plan is made from; s.mu is held. Without claimants the plan
// says only how many permits may be kept.
func (s *share) view(claimants []steering.VM, leader bool) caps.View {
	return caps.View{
		Self: s.self.VM, Incarnation: s.self.Incarnation,
		Rule: s.holder.Rule(), Seats: s.seats,
		Claimants: append(claimants, s.self.VM),
		Gone:      func(routing.CapSeat) bool { return false },
		Leader:    leader,
		Own:       s.holder.Own(), Pinned: s.holder.Pinned(),
	}
}

// release tells waiting requests that permits may have come free; s.mu is held.
func (s *share) release() {
	close(s.freed)
	s.freed = make(chan struct{})
}
