package caps

import "time"

// Rule is one version of a cap.
type Rule struct {
	Version  int64 // of the Cap object
	Requests int
	Window   time.Duration
	// TermWindows is the term of loans in windows, for experiments; 0 takes the
	// usual one. All holders of a cap must go by the same.
	TermWindows int
}

func (r Rule) terms() Terms {
	if r.TermWindows > 0 {
		return termsOf(r.Window, time.Duration(r.TermWindows)*r.Window)
	}
	return TermsFor(r.Window)
}

// Holder keeps the books of one incarnation of an entry VM under one cap. It
// is not safe for concurrent use.
type Holder struct {
	base  time.Time // instants count from here
	rule  Rule
	terms Terms
	// longest is the longest window that the seats record for this cap.
	longest time.Duration
	// seen is the platform's version of the seats last acted on.
	seen int64

	// ceiling bounds the own permits: what comes back above it is dropped.
	ceiling int

	// The own permits are free, held, used, lent or fresh; see own.
	free  int
	held  int   // taken, not yet sent or given up
	used  queue // sent, wait Terms.reuse
	lent  queue // lent, wait Terms.loan
	fresh queue // new in the seat, wait Terms.SeatWait

	loans     []*loan
	lastNonce uint64
	asked     *loan // the request that is out, nil when none is
	given     map[LoanKey]given
	demand    demand
}

// Permit is one taken permit. The zero value is an own one.
type Permit struct {
	loan uint64
}

// NewHolder returns a holder without permits.
func NewHolder(now time.Time, rule Rule) *Holder {
	return &Holder{base: now, rule: rule, terms: rule.terms(), given: map[LoanKey]given{}}
}

func (h *Holder) at(now time.Time) instant { return now.Sub(h.base) }

// Rule returns the version of the cap in force here.
func (h *Holder) Rule() Rule { return h.rule }

// Terms returns the times in force here.
func (h *Holder) Terms() Terms { return h.terms }

// Configure puts a version of the cap into force; an older one is ignored. Free
// borrowed permits of the version before are dropped: the new version does not
// count them. The caller lowers its seat when the cap is lower (see Plan).
func (h *Holder) Configure(rule Rule) {
	if rule.Version <= h.rule.Version {
		return
	}
	h.rule = rule
	h.terms = rule.terms()
	for _, l := range h.loans {
		l.until = 0
		l.fire(eventTermOver)
	}
}

// Own returns the permits of the own seat as the holder counts them.
func (h *Holder) Own() int {
	return h.free + h.held + h.used.total + h.lent.total + h.fresh.total
}

// Pinned returns the own permits that cannot be given away now: held ones may
// be sent late, and lent ones are in another's hands.
func (h *Holder) Pinned() int { return h.held + h.lent.total }

// Seen returns the version of the seats last acted on.
func (h *Holder) Seen() int64 { return h.seen }

// Adopt acts on the platform's record of the own seat at a version of the
// seats. An older or equal version is ignored: it could raise the seat again
// after the holder gave permits away. A newer version settles every write that
// was conditional on an older one, so its permits count even after a write
// whose reply was lost.
//
// over says that the seats together exceed the cap: it was lowered while some
// permits could not be given away. The record then raises nothing. Taken for a
// raise, it would bring back the permits that Shrink gave up, each as soon as it
// returns from its loan, and the place would get more than the lowered cap.
func (h *Holder) Adopt(now time.Time, version int64, permits int, longest time.Duration, over bool) {
	if version <= h.seen {
		return
	}
	at := h.settle(now)
	h.seen = version
	h.longest = longest
	if over {
		h.ceiling = min(h.ceiling, permits)
		h.trim()
		return
	}
	h.ceiling = permits
	if more := permits - h.Own(); more > 0 {
		h.fresh.push(at, h.terms.granule(), more)
		return
	}
	h.trim()
}

// Shrink stops using own permits until at most to are left, and returns how
// many are left: more than to when some are pinned; those are dropped as they
// come back. It must be called before the lower number is written to the
// platform. Only a newer record of the seats raises the number again.
func (h *Holder) Shrink(now time.Time, to int) int {
	h.ceiling = min(h.ceiling, max(to, 0))
	h.settle(now)
	return h.Own()
}

// trim drops own permits above the ceiling, the least useful first.
func (h *Holder) trim() {
	excess := h.Own() - h.ceiling
	if excess <= 0 {
		return
	}
	excess -= h.fresh.drop(excess)
	cut := min(h.free, excess)
	h.free -= cut
	h.used.drop(excess - cut)
}

// settle moves permits whose wait is over to the free ones and forgets loans
// that have ended.
func (h *Holder) settle(now time.Time) instant {
	at := h.at(now)
	h.free += h.used.pop(at, h.terms.reuse())
	h.free += h.lent.pop(at, h.terms.loan())
	h.free += h.fresh.pop(at, h.seatWait())
	h.trim()
	h.settleLoans(at)
	return at
}

// seatWait is the wait for permits new in the seat. It follows the longest
// window the cap has had: their old holder may have followed that one.
func (h *Holder) seatWait() time.Duration {
	longest := h.rule
	longest.Window = max(h.longest, h.rule.Window)
	return longest.terms().SeatWait()
}

// Arrive counts a request that wants a permit, for the estimate of the own
// demand. It is called once per request, however often Take is tried for it.
func (h *Holder) Arrive(now time.Time) { h.demand.count(h.at(now), h.terms.Window) }

// Take takes a permit that is usable at now: a borrowed one first, for those
// end sooner.
func (h *Holder) Take(now time.Time) (Permit, bool) {
	h.settle(now)
	for _, l := range h.loans {
		if l.free > 0 {
			l.free--
			l.held++
			return Permit{loan: l.nonce}, true
		}
	}
	if h.free == 0 {
		return Permit{}, false
	}
	h.free--
	h.held++
	return Permit{}, true
}

// Done ends the holding of a permit. A sent one waits a window from now on; one
// that was not sent is free at once.
func (h *Holder) Done(now time.Time, p Permit, sent bool) {
	if p.loan != 0 {
		h.doneBorrowed(h.at(now), p, sent)
		return
	}
	h.held--
	if sent {
		h.used.push(h.at(now), h.terms.granule(), 1)
	} else {
		h.free++
	}
	h.trim()
}

// Free returns the permits usable at now, own and borrowed.
func (h *Holder) Free(now time.Time) int {
	h.settle(now)
	n := h.free
	for _, l := range h.loans {
		n += l.free
	}
	return n
}

// InUse returns the own and borrowed permits that are held or were sent less
// than a window ago.
func (h *Holder) InUse(now time.Time) int {
	h.settle(now)
	n := h.held + h.used.total
	for _, l := range h.loans {
		n += l.held + l.used.total
	}
	return n
}

// NextFree returns how long until some permit may come free; a window when
// nothing is known to come.
func (h *Holder) NextFree(now time.Time) time.Duration {
	if h.Free(now) > 0 {
		return 0
	}
	wait, at := h.terms.Window, h.at(now)
	soonest := func(q *queue, d time.Duration) {
		if first, ok := q.first(); ok {
			wait = min(wait, first+d-at)
		}
	}
	soonest(&h.used, h.terms.reuse())
	soonest(&h.lent, h.terms.loan())
	soonest(&h.fresh, h.seatWait())
	for _, l := range h.loans {
		soonest(&l.used, h.terms.reuse())
	}
	return max(wait, time.Millisecond)
}
