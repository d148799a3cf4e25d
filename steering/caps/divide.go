package caps

import (
	"cmp"
	"slices"

	"heatherlock/steering"
	"heatherlock/steering/routing"
)

// View is what one entry VM knows when it looks at a cap's seats.
type View struct {
	Self        steering.VM
	Incarnation steering.Incarnation
	// Rule is the cap as declared; Requests is 0 once it was deleted.
	Rule Rule
	// Seats is the newest record of the seats, nil when there is none.
	Seats *routing.CapSeats
	// Claimants are the entry VMs that should hold a seat: those of the
	// receiving zones that are neither leaving nor gone.
	Claimants []steering.VM
	// Gone reports whether the platform has shown the holder of a seat as gone.
	Gone func(routing.CapSeat) bool
	// Leader is set at the entry VM that clears seats of gone VMs and hands out
	// free permits.
	Leader bool
	// Own and Pinned are the permits that the holder counts as its own now, and
	// those of them that cannot be given away.
	Own, Pinned int
}

// Change is what an entry VM should do about a cap's seats.
type Change struct {
	// Keep is the number of own permits to keep. The holder must shrink to it
	// before Seats is written. The own seat in Seats is larger while some of the
	// permits over Keep are pinned; they are dropped as they come back, and a
	// later Plan writes that.
	Keep int
	// Seats is what to write, conditional on the version of the record it was
	// made from; nil means nothing to write.
	Seats *routing.CapSeats
	// Delete is set when the record should be deleted: no seat is left of a cap
	// that is not declared.
	Delete bool
}

// Plan decides whether and how this entry VM changes the seats. It lowers no
// other VM's seat unless that VM is gone, and never lets the sum of the seats
// grow past the cap.
func Plan(v View) Change {
	if v.Seats != nil && v.Seats.CapVersion > v.Rule.Version {
		// A newer cap is in force elsewhere. By the older one this VM could hand
		// out permits that no longer exist.
		return Change{Keep: seatOf(v.Seats, v.Self).Permits}
	}
	p := newPlan(v)
	p.clear()
	p.enter()
	p.lower()
	p.raise()
	p.record()
	return p.change()
}

// Exceeds reports whether the seats together hold more than a rule allows, as
// they do for a while after a cap was lowered.
func Exceeds(seats *routing.CapSeats, rule Rule) bool {
	total := 0
	for _, s := range seats.Seats {
		total += s.Permits
	}
	return total > rule.Requests
}

// plan is a record of seats being worked on.
type plan struct {
	View
	seats   []routing.CapSeat
	shares  map[steering.VM]int
	written *routing.CapSeats // the record as it stands
	keep    int               // own permits to keep
	changed bool              // something must be written
	longest int64
}

func newPlan(v View) *plan {
	p := &plan{View: v, written: v.Seats}
	if p.written == nil {
		p.written = &routing.CapSeats{}
	}
	p.seats = slices.Clone(p.written.Seats)
	p.longest = p.written.WindowMs
	p.shares = p.divide()
	return p
}

// divide gives each claimant its share of the cap: equal parts, the remainder
// to the first by name, so that every VM with the same view works out the same.
func (p *plan) divide() map[steering.VM]int {
	claimants := slices.Clone(p.Claimants)
	slices.Sort(claimants)
	claimants = slices.Compact(claimants)
	shares := make(map[steering.VM]int, len(claimants))
	for i, vm := range claimants {
		shares[vm] = part(p.Rule.Requests, i, len(claimants))
	}
	return shares
}

// part is the i-th of n equal parts of a total; the first ones get what is left
// over.
func part(total, i, n int) int {
	if i < total%n {
		return total/n + 1
	}
	return total / n
}

func (p *plan) isClaimant() bool {
	_, ok := p.shares[p.Self]
	return ok
}

// clear drops the seats of gone VMs. Only the leader starts a write for that.
func (p *plan) clear() {
	kept := p.seats[:0]
	for _, s := range p.seats {
		if s.VM != p.Self && p.Gone(s) {
			p.changed = p.changed || p.Leader
			continue
		}
		kept = append(kept, s)
	}
	p.seats = kept
}

// enter writes this incarnation into its VM's seat. Taking over the seat of an
// earlier incarnation is a write of its own: whatever that one may still have
// on the way to the platform fails from then on.
func (p *plan) enter() {
	i := p.index(p.Self)
	if i >= 0 {
		if p.seats[i].Incarnation != p.Incarnation {
			p.seats[i].Incarnation = p.Incarnation
			p.changed = true
		}
		return
	}
	if p.isClaimant() && p.Rule.Requests > 0 {
		p.seats = append(p.seats, routing.CapSeat{VM: p.Self, Incarnation: p.Incarnation})
		p.changed = true
	}
}

// lower gives up own permits when the seats exceed the cap, when another
// claimant has less than its share, or when this VM is no claimant.
func (p *plan) lower() {
	i := p.index(p.Self)
	if i < 0 {
		return
	}
	seat := p.seats[i].Permits
	give := seat
	if p.isClaimant() {
		give = max(p.surplus(i), min(seat-p.shares[p.Self], p.missing()), 0)
	}
	p.keep = seat - give
	if give = min(give, seat-p.Pinned); give > 0 {
		p.seats[i].Permits -= give
		p.changed = true
	}
	// An earlier write that lowered the seat may still be on its way. Until the
	// record changes the holder must go by the lower number; any write ends that.
	if p.Own < p.seats[i].Permits {
		p.changed = true
	}
	if p.seats[i].Permits == 0 && !p.isClaimant() {
		p.seats = slices.Delete(p.seats, i, i+1)
		p.changed = true
	}
}

// surplus is what the own seat must give up because the seats exceed the cap.
// It follows from the record alone, not from this VM's view of who is a
// claimant: holders with one record lower at the same time, without hearing of
// each other, to a sum within the cap.
func (p *plan) surplus(self int) int {
	over := p.sum() - p.Rule.Requests
	if over <= 0 || p.seats[self].Permits == 0 {
		return 0
	}
	rank, holders := 0, 0
	for i, s := range p.seats {
		if s.Permits == 0 {
			continue
		}
		if i < self {
			rank++
		}
		holders++
	}
	return min(over, p.seats[self].Permits-part(p.Rule.Requests, rank, holders))
}

// missing returns how many permits the other claimants lack to their shares
// beyond what is free anyway.
func (p *plan) missing() int {
	lack := 0
	for vm, share := range p.shares {
		if i := p.index(vm); i >= 0 && vm != p.Self {
			lack += max(0, share-p.seats[i].Permits)
		}
	}
	return lack - max(0, p.Rule.Requests-p.sum())
}

// raise hands free permits to the seats below their share, the own one first.
// Only the leader starts a write for others; any writer does it along the way.
func (p *plan) raise() {
	free := p.Rule.Requests - p.sum()
	give := func(i int) bool {
		more := min(free, p.shares[p.seats[i].VM]-p.seats[i].Permits)
		if more <= 0 {
			return false
		}
		p.seats[i].Permits += more
		free -= more
		return true
	}
	if i := p.index(p.Self); i >= 0 && give(i) {
		p.changed = true
	}
	if !p.changed && !p.Leader {
		return
	}
	for i := range p.seats {
		if give(i) {
			p.changed = true
		}
	}
}

// record notes the cap's version and its longest window when they are new.
func (p *plan) record() {
	window := p.Rule.Window.Milliseconds()
	if window > p.longest && p.index(p.Self) >= 0 {
		p.changed = true
	}
	p.longest = max(p.longest, window)
}

func (p *plan) change() Change {
	c := Change{Keep: p.keep}
	if !p.changed {
		c.Delete = p.Leader && p.Rule.Requests == 0 && p.Seats != nil && len(p.seats) == 0
		return c
	}
	slices.SortFunc(p.seats, func(a, b routing.CapSeat) int { return cmp.Compare(a.VM, b.VM) })
	c.Seats = &routing.CapSeats{
		Version:    p.written.Version,
		CapVersion: max(p.written.CapVersion, p.Rule.Version),
		Requests:   p.Rule.Requests,
		WindowMs:   p.longest,
		Seats:      p.seats,
	}
	return c
}

func (p *plan) index(vm steering.VM) int {
	return slices.IndexFunc(p.seats, func(s routing.CapSeat) bool { return s.VM == vm })
}

func (p *plan) sum() int {
	n := 0
	for _, s := range p.seats {
		n += s.Permits
	}
	return n
}

// seatOf returns the seat of a VM, zero when it has none.
func seatOf(seats *routing.CapSeats, vm steering.VM) routing.CapSeat {
	for _, s := range seats.Seats {
		if s.VM == vm {
			return s
		}
	}
	return routing.CapSeat{}
}
