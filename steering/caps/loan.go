package caps

import (
	"slices"
	"time"

	"heatherlock/steering"
	"heatherlock/steering/chart"
)

// loan is a number of permits that were requested from another holder and, once granted, are
// borrowed.
type loan struct {
	nonce     uint64
	state     chart.State
	rule      int64 // version of the cap when the loan was requested
	want      int
	askedAt   instant // start of the term, on this holder's clock
	expiresAt instant // when the permits must not be used any more
	free      int
	held      int
	used      queue
}

// LoanKey identifies a request for a loan, so that the lender recognizes a retry of it.
type LoanKey struct {
	From  steering.Incarnation
	Nonce uint64
}

// answered is the answer to a request for a loan. The lender keeps it as long as a retry of the
// request may arrive.
type answered struct {
	permits int
	at      instant
}

// LoanRequest is a request for a loan.
type LoanRequest struct {
	Nonce   uint64
	Version int64 // version of the Cap object that the borrower applies
	Permits int
}

// maxAnswers bounds the answers that a lender keeps. At the bound, new requests get no permits.
const maxAnswers = 4096

// RequestLoan creates a request for a loan and returns it. The term starts at now, the time of
// sending; a retry of the request must carry the same nonce and does not restart the term. A holder
// has only one outstanding request: the answer to an earlier one is ignored from now on.
func (h *Holder) RequestLoan(now time.Time, want int) LoanRequest {
	if h.pending != nil {
		h.pending.fire(eventReplaced)
	}
	h.lastNonce++
	h.pending = &loan{nonce: h.lastNonce, state: loanLifecycle.Initial(), rule: h.rule.Version, want: want, askedAt: h.at(now)}
	return LoanRequest{Nonce: h.lastNonce, Version: h.rule.Version, Permits: want}
}

// ApplyLoan applies the answer to a request for a loan, a number of permits and the lender's term,
// and returns the number of permits gained. Answers to other requests, duplicates and answers after
// the end of the term are ignored: their permits are not used.
func (h *Holder) ApplyLoan(now time.Time, nonce uint64, permits int, term time.Duration) int {
	l := h.pending
	if l == nil || nonce != l.nonce {
		return 0
	}
	h.pending = nil
	l.expiresAt = l.askedAt + min(term, h.terms.Term) - h.terms.Margin
	if l.rule != h.rule.Version || h.at(now) >= l.expiresAt || permits <= 0 {
		l.fire(eventSpent)
		return 0
	}
	l.fire(eventGranted)
	l.free = min(permits, l.want)
	h.loans = append(h.loans, l)
	return l.free
}

// Shortfall returns how many permits are missing for the expected requests of a window plus an
// eighth of them. It is negative if there are more permits than that.
func (h *Holder) Shortfall(now time.Time) int {
	at := h.advance(now)
	need := h.demand.perWindow(at, h.terms.Window)
	need += (need + 7) / 8
	return need - (h.Own() - h.lent.total - h.added.total) - h.borrowed()
}

// borrowed returns how many permits the current loans have.
func (h *Holder) borrowed() int {
	n := 0
	for _, l := range h.loans {
		n += l.free + l.held + l.used.total
	}
	return n
}

// Lend answers a request for a loan and returns the number of permits lent. It lends only permits
// that are free now, and this holder does not use them until the loan has certainly ended. Nothing
// is lent before the record of the seats has a window at least as long as the one that this holder
// applies: a later holder of this seat derives from that record how long its predecessor's loans
// may last. A retry gets the same answer as the first request.
func (h *Holder) Lend(now time.Time, key LoanKey, version int64, want int) int {
	at := h.advance(now)
	h.dropExpiredAnswers(at)
	if a, ok := h.answered[key]; ok {
		return a.permits
	}
	if version != h.rule.Version || h.longest < h.rule.Window || len(h.answered) >= maxAnswers {
		return 0
	}
	n := min(want, h.lendable(at))
	if n <= 0 {
		return 0
	}
	h.free -= n
	h.lent.push(at, h.terms.granularity(), h.terms.loanWait(), n)
	h.answered[key] = answered{permits: n, at: at}
	return n
}

// lendable returns how many free permits this holder can lend: those left after the expected
// requests of a window here plus an eighth of them.
func (h *Holder) lendable(now instant) int {
	need := h.demand.perWindow(now, h.terms.Window)
	need += (need + 7) / 8
	reserve := max(0, need-h.used.total-h.held)
	return h.free - reserve
}

// dropExpiredAnswers removes the answers whose loan has ended on both sides. A retry that arrives
// later is handled as a new request, which is safe because its borrower does not wait for the
// answer any more.
func (h *Holder) dropExpiredAnswers(now instant) {
	for key, a := range h.answered {
		if a.at+h.terms.loanWait() <= now {
			delete(h.answered, key)
		}
	}
}

func (h *Holder) advanceLoans(now instant) {
	for _, l := range h.loans {
		if now < l.expiresAt {
			l.free += l.used.pop(now, h.terms.reuseWait())
			continue
		}
		l.fire(eventTermOver)
	}
	h.loans = slices.DeleteFunc(h.loans, func(l *loan) bool { return loanLifecycle.Final(l.state) })
}

func (h *Holder) releaseBorrowed(now instant, p Permit, sent bool) {
	i := slices.IndexFunc(h.loans, func(l *loan) bool { return l.nonce == p.loan })
	if i < 0 {
		return
	}
	l := h.loans[i]
	l.held--
	switch {
	case l.state == loanClosing && l.held == 0:
		l.fire(eventReturned)
	case l.state == loanClosing || now >= l.expiresAt:
	case sent:
		l.used.push(now, h.terms.granularity(), 0, 1)
	default:
		l.free++
	}
}
