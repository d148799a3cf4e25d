package caps

import (
	"cmp"
	"slices"

	"heatherlock/steering"
	"heatherlock/steering/routing"
)

// View is the input of Plan: the state of one cap as one entry VM knows it.
type View struct {
	Self        steering.VM
	Incarnation steering.Incarnation
	// Rule is the declared cap; Requests is 0 once the cap was deleted.
	Rule Rule
	// Seats is the newest known record of the seats, nil if there is none.
	Seats *routing.CapSeats
	// Claimants are the entry VMs that should hold a seat: those in the receiving zones that are
	// neither leaving nor gone.
	Claimants []steering.VM
	// Gone reports whether the platform lists the holder of a seat as gone.
	Gone func(routing.CapSeat) bool
	// Leader is set on the entry VM that removes the seats of gone VMs and assigns free permits.
	Leader bool
	// Own is the number of permits that the holder counts as its own, and Pinned the number of those
	// that it cannot release now. See Holder.Own and Holder.Pinned.
	Own, Pinned int
}

// Change is the result of Plan: how an entry VM should change a cap's seats.
type Change struct {
	// Keep is the number of permits to keep. The caller must call Holder.Shrink with it before it
	// writes Seats. This VM's seat in Seats is larger than Keep while some of the permits above
	// Keep are pinned; the holder drops those as they are returned, and a later Plan writes the
	// lower seat.
	Keep int
	// Seats is the record to write, on condition that the stored record still has the version that
	// this one was made from; nil means that nothing has to be written.
	Seats *routing.CapSeats
	// Delete is set when the record should be deleted: the cap is not declared any more and no seat
	// is left.
	Delete bool
}

// Plan returns how this entry VM should change the seats, if at all. It never lowers the seat of
// another VM unless that VM is gone, and never raises the sum of the seats above the cap.
func Plan(v View) Change {
	if v.Seats != nil && v.Seats.CapVersion > v.Rule.Version {
		// Another VM already applies a newer version of the cap. Based on the older one, this VM
		// could assign permits that no longer exist.
		return Change{Keep: seatOf(v.Seats, v.Self).Permits}
	}
	p := newPlan(v)
	p.clear()
	p.claimOwnSeat()
	p.lowerOwnSeat()
	p.raiseSeats()
	p.recordWindow()
	return p.change()
}

// Exceeds reports whether the seats together hold more permits than a rule allows, as they do for
// some time after a cap was lowered.
func Exceeds(seats *routing.CapSeats, rule Rule) bool {
	total := 0
	for _, s := range seats.Seats {
		total += s.Permits
	}
	return total > rule.Requests
}

// plan is the state of one call of Plan.
type plan struct {
	View
	seats           []routing.CapSeat
	shares          map[steering.VM]int
	current         *routing.CapSeats // the stored record, empty if there is none
	keep            int               // permits that this VM keeps
	changed         bool              // whether the record has to be written
	longestWindowMs int64
}

func newPlan(v View) *plan {
	p := &plan{View: v, current: v.Seats}
	if p.current == nil {
		p.current = &routing.CapSeats{}
	}
	p.seats = slices.Clone(p.current.Seats)
	p.longestWindowMs = p.current.WindowMs
	p.shares = p.computeShares()
	return p
}

// computeShares returns each claimant's share of the cap. The shares are equal, and the remainder
// goes to the first claimants by name, so that all VMs with the same view compute the same shares.
func (p *plan) computeShares() map[steering.VM]int {
	claimants := slices.Clone(p.Claimants)
	slices.Sort(claimants)
	claimants = slices.Compact(claimants)
	shares := make(map[steering.VM]int, len(claimants))
	for i, vm := range claimants {
		shares[vm] = equalShare(p.Rule.Requests, i, len(claimants))
	}
	return shares
}

// equalShare returns the i-th of n equal parts of total. The first parts are larger by one if total
// is not a multiple of n.
func equalShare(total, i, n int) int {
	if i < total%n {
		return total/n + 1
	}
	return total / n
}

func (p *plan) isClaimant() bool {
	_, ok := p.shares[p.Self]
	return ok
}

// clear removes the seats of gone VMs. For these alone, only the leader writes the record.
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

// claimOwnSeat puts this incarnation into its VM's seat. Taking over the seat of an earlier
// incarnation always requires a write: any conditional write of that incarnation that is still on
// its way to the platform then fails.
func (p *plan) claimOwnSeat() {
	i := p.seatIndex(p.Self)
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

// lowerOwnSeat releases permits of this VM if the seats exceed the cap, if another claimant has less
// than its share, or if this VM is not a claimant.
func (p *plan) lowerOwnSeat() {
	i := p.seatIndex(p.Self)
	if i < 0 {
		return
	}
	seat := p.seats[i].Permits
	drop := seat
	if p.isClaimant() {
		drop = max(p.excess(i), min(seat-p.shares[p.Self], p.othersShortfall()), 0)
	}
	p.keep = seat - drop
	if drop = min(drop, seat-p.Pinned); drop > 0 {
		p.seats[i].Permits -= drop
		p.changed = true
	}
	// An earlier write that lowered the seat may still be on its way to the platform. The holder
	// has to keep to the lower number until the record changes; any write, this one included,
	// changes it.
	if p.Own < p.seats[i].Permits {
		p.changed = true
	}
	if p.seats[i].Permits == 0 && !p.isClaimant() {
		p.seats = slices.Delete(p.seats, i, i+1)
		p.changed = true
	}
}

// excess returns how many permits this VM's seat must release because the seats exceed the cap. It
// depends only on the record, not on which VMs this VM considers claimants: holders that have the
// same record lower their seats at the same time, without communication, to a sum within the cap.
func (p *plan) excess(self int) int {
	over := p.totalPermits() - p.Rule.Requests
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
	return min(over, p.seats[self].Permits-equalShare(p.Rule.Requests, rank, holders))
}

// othersShortfall returns how many permits the seats of the other claimants lack to reach their
// shares, less the permits that no seat holds.
func (p *plan) othersShortfall() int {
	shortfall := 0
	for vm, share := range p.shares {
		if i := p.seatIndex(vm); i >= 0 && vm != p.Self {
			shortfall += max(0, share-p.seats[i].Permits)
		}
	}
	return shortfall - max(0, p.Rule.Requests-p.totalPermits())
}

// raiseSeats assigns free permits to the seats that are below their share, starting with this VM's
// seat. For other VMs' seats alone, only the leader writes the record; a VM that writes it for
// another reason raises them as well.
func (p *plan) raiseSeats() {
	free := p.Rule.Requests - p.totalPermits()
	fill := func(i int) bool {
		more := min(free, p.shares[p.seats[i].VM]-p.seats[i].Permits)
		if more <= 0 {
			return false
		}
		p.seats[i].Permits += more
		free -= more
		return true
	}
	if i := p.seatIndex(p.Self); i >= 0 && fill(i) {
		p.changed = true
	}
	if !p.changed && !p.Leader {
		return
	}
	for i := range p.seats {
		if fill(i) {
			p.changed = true
		}
	}
}

// recordWindow puts the cap's window into the record if it is the longest so far.
func (p *plan) recordWindow() {
	window := p.Rule.Window.Milliseconds()
	if window > p.longestWindowMs && p.seatIndex(p.Self) >= 0 {
		p.changed = true
	}
	p.longestWindowMs = max(p.longestWindowMs, window)
}

func (p *plan) change() Change {
	c := Change{Keep: p.keep}
	if !p.changed {
		c.Delete = p.Leader && p.Rule.Requests == 0 && p.Seats != nil && len(p.seats) == 0
		return c
	}
	slices.SortFunc(p.seats, func(a, b routing.CapSeat) int { return cmp.Compare(a.VM, b.VM) })
	c.Seats = &routing.CapSeats{
		Version:    p.current.Version,
		CapVersion: max(p.current.CapVersion, p.Rule.Version),
		Requests:   p.Rule.Requests,
		WindowMs:   p.longestWindowMs,
		Seats:      p.seats,
	}
	return c
}

func (p *plan) seatIndex(vm steering.VM) int {
	return slices.IndexFunc(p.seats, func(s routing.CapSeat) bool { return s.VM == vm })
}

func (p *plan) totalPermits() int {
	n := 0
	for _, s := range p.seats {
		n += s.Permits
	}
	return n
}

// seatOf returns the seat of a VM, or the zero value if it has none.
func seatOf(seats *routing.CapSeats, vm steering.VM) routing.CapSeat {
	for _, s := range seats.Seats {
		if s.VM == vm {
			return s
		}
	}
	return routing.CapSeat{}
}
