package caps

import "time"

// Rule is one version of a cap.
type Rule struct {
	Version  int64 // version of the Cap object
	Requests int
	Window   time.Duration
	// TermWindows overrides the term of loans, in windows, for experiments; 0 selects the default of
	// TermsFor. All holders of a cap must use the same value.
	TermWindows int
}

func (r Rule) terms() Terms {
	if r.TermWindows > 0 {
		return termsOf(r.Window, time.Duration(r.TermWindows)*r.Window)
	}
	return TermsFor(r.Window)
}

// Holder tracks the permits of one incarnation of an entry VM under one cap. It is not safe for
// concurrent use.
type Holder struct {
	base  time.Time // the zero instant
	rule  Rule
	terms Terms
	// longest is the longest window that the record of the seats has for this cap.
	longest time.Duration
	// seatsVersion is the version of the last record of the seats that was applied.
	seatsVersion int64

	// maxOwn bounds the number of own permits: those above it are dropped, pinned ones once returned.
	maxOwn int

	// Each own permit is in one of these states; see Own.
	free  int
	held  int   // taken by a request that is neither sent nor abandoned yet
	used  queue // request was sent, free after Terms.reuseWait
	lent  queue // lent, free after Terms.loanWait of the terms under which they were lent, and of the present ones
	added queue // added to the seat, free after seatWait

	loans     []*loan
	lastNonce uint64
	pending   *loan // the request for a loan that is not answered yet, nil if there is none
	answered  map[LoanKey]answered
	demand    demand
}

// Permit identifies one taken permit. The zero value is a permit of the holder's own seat.
type Permit struct {
	loan uint64 // nonce of the loan, 0 for an own permit
}

// NewHolder returns a holder without permits.
func NewHolder(now time.Time, rule Rule) *Holder {
	return &Holder{base: now, rule: rule, terms: rule.terms(), answered: map[LoanKey]answered{}}
}

func (h *Holder) at(now time.Time) instant { return now.Sub(h.base) }

// Rule returns the version of the cap that the holder applies.
func (h *Holder) Rule() Rule { return h.rule }

// Terms returns the durations that follow from the cap that the holder applies.
func (h *Holder) Terms() Terms { return h.terms }

// Configure applies a version of the cap; a version that is not newer is ignored. Free permits that
// were borrowed under the previous version are dropped, because the new version does not count them.
// If the new cap is lower, the caller has to lower its seat; see Plan.
func (h *Holder) Configure(rule Rule) {
	if rule.Version <= h.rule.Version {
		return
	}
	h.rule = rule
	h.terms = rule.terms()
	for _, l := range h.loans {
		l.expiresAt = 0
		l.fire(eventTermOver)
	}
}

// Own returns how many permits of its own seat the holder has, those it has lent included.
func (h *Holder) Own() int {
	return h.free + h.held + h.used.total + h.lent.total + h.added.total
}

// Pinned returns how many of the own permits cannot be released now: those held by requests that may
// still be sent, and those lent to other holders.
func (h *Holder) Pinned() int { return h.held + h.lent.total }

// SeatsVersion returns the version of the last record of the seats that was applied.
func (h *Holder) SeatsVersion() int64 { return h.seatsVersion }

// ApplySeats applies the platform's record of the seats at a version: permits is the holder's own
// seat in it and longest the longest window that it has. A version that is not newer is ignored,
// because it could raise the seat again after the holder released permits. A newer version decides
// the outcome of every write that was conditional on an older one, so its number of permits is
// valid even if the reply to a write was lost.
//
// exceeds is set if the seats together exceed the cap, which happens when the cap was lowered while
// some permits were pinned. Such a record raises nothing. Otherwise it would restore the permits
// that Shrink released, each as soon as its loan ends, and the place would get more requests than
// the lowered cap allows.
func (h *Holder) ApplySeats(now time.Time, version int64, permits int, longest time.Duration, exceeds bool) {
	if version <= h.seatsVersion {
		return
	}
	at := h.advance(now)
	h.seatsVersion = version
	h.longest = longest
	if exceeds {
		h.maxOwn = min(h.maxOwn, permits)
		h.dropExcess()
		return
	}
	h.maxOwn = permits
	if more := permits - h.Own(); more > 0 {
		h.added.push(at, h.terms.granularity(), 0, more)
		return
	}
	h.dropExcess()
}

// Shrink releases own permits until at most to are left, and returns how many are left. More than
// to are left if some are pinned; those are dropped as they are returned. Shrink must be called
// before the lower number is written to the platform. Only a newer record of the seats raises the
// number again.
func (h *Holder) Shrink(now time.Time, to int) int {
	h.maxOwn = min(h.maxOwn, max(to, 0))
	h.advance(now)
	return h.Own()
}

// dropExcess drops own permits above maxOwn: first those that were added to the seat and are not
// usable yet, then free ones, then those whose requests were sent.
func (h *Holder) dropExcess() {
	excess := h.Own() - h.maxOwn
	if excess <= 0 {
		return
	}
	excess -= h.added.drop(excess)
	cut := min(h.free, excess)
	h.free -= cut
	h.used.drop(excess - cut)
}

// advance makes permits free whose wait is over, removes loans that have ended, and returns now as
// an instant.
func (h *Holder) advance(now time.Time) instant {
	at := h.at(now)
	h.free += h.used.pop(at, h.terms.reuseWait())
	h.free += h.lent.pop(at, h.terms.loanWait())
	h.free += h.added.pop(at, h.seatWait())
	h.dropExcess()
	h.advanceLoans(at)
	return at
}

// seatWait returns the wait before permits that were added to the seat may be used. It is based on
// the longest recorded window of the cap, because the previous holder may have used that one.
func (h *Holder) seatWait() time.Duration {
	longest := h.rule
	longest.Window = max(h.longest, h.rule.Window)
	return longest.terms().SeatWait()
}

// CountRequest counts a request that needs a permit, for the estimate of the demand at this holder.
// It must be called once per request, however often Take is called for it.
func (h *Holder) CountRequest(now time.Time) { h.demand.count(h.at(now), h.terms.Window) }

// Take takes a permit that is free at now, and returns false if there is none. It prefers borrowed
// permits, because those expire sooner.
func (h *Holder) Take(now time.Time) (Permit, bool) {
	h.advance(now)
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

// Done returns a permit that was taken. If its request was sent, the permit is free one window from
// now, otherwise at once.
func (h *Holder) Done(now time.Time, p Permit, sent bool) {
	if p.loan != 0 {
		h.releaseBorrowed(h.at(now), p, sent)
		return
	}
	h.held--
	if sent {
		h.used.push(h.at(now), h.terms.granularity(), 0, 1)
	} else {
		h.free++
	}
	h.dropExcess()
}

// Free returns how many permits, own and borrowed, are free at now.
func (h *Holder) Free(now time.Time) int {
	h.advance(now)
	n := h.free
	for _, l := range h.loans {
		n += l.free
	}
	return n
}

// InUse returns how many permits, own and borrowed, are in use: held by a request that is not sent
// yet, or by one that was sent less than a window ago.
func (h *Holder) InUse(now time.Time) int {
	h.advance(now)
	n := h.held + h.used.total
	for _, l := range h.loans {
		n += l.held + l.used.total
	}
	return n
}

// NextFree returns how long to wait before a permit may be free: 0 if one is free now, otherwise the
// time until the next wait of a permit ends, but at most one window.
func (h *Holder) NextFree(now time.Time) time.Duration {
	if h.Free(now) > 0 {
		return 0
	}
	wait, at := h.terms.Window, h.at(now)
	soonest := func(q *queue, d time.Duration) {
		if next, ok := q.next(d); ok {
			wait = min(wait, next-at)
		}
	}
	soonest(&h.used, h.terms.reuseWait())
	soonest(&h.lent, h.terms.loanWait())
	soonest(&h.added, h.seatWait())
	for _, l := range h.loans {
		soonest(&l.used, h.terms.reuseWait())
	}
	return max(wait, time.Millisecond)
}
