package caps

import (
	"slices"
	"time"

	"heatherlock/steering"
	"heatherlock/steering/chart"
)

// loan is a number of permits asked for and, once granted, borrowed.
type loan struct {
	nonce uint64
	state chart.State
	rule  int64 // version of the cap asked under
	want  int
	sent  instant // own clock; the term runs from here
	until instant // not used from then on
	free  int
	held  int
	used  queue
}

// LoanKey identifies a request for a loan, so that a repeat is recognised.
type LoanKey struct {
	From  steering.Incarnation
	Nonce uint64
}

// given is the answer to a request for a loan, kept while a repeat may come.
type given struct {
	permits int
	at      instant
}

// LoanAsk is a request for a loan.
type LoanAsk struct {
	Nonce   uint64
	Version int64 // of the Cap object the borrower follows
	Permits int
}

// maxGiven bounds the remembered answers. Beyond it requests get nothing.
const maxGiven = 4096

// Ask starts a request for a loan and returns it. The term runs from now, the
// moment of sending: a repeat of the request must carry the same nonce and does
// not restart it. Only one request is out: the answer to an earlier one is not
// taken any more.
func (h *Holder) Ask(now time.Time, want int) LoanAsk {
	if h.asked != nil {
		h.asked.fire(eventReplaced)
	}
	h.lastNonce++
	h.asked = &loan{nonce: h.lastNonce, state: loanLife.Initial(), rule: h.rule.Version, want: want, sent: h.at(now)}
	return LoanAsk{Nonce: h.lastNonce, Version: h.rule.Version, Permits: want}
}

// Granted takes the answer to a request for a loan: a number of permits and
// the lender's term. Answers to other requests, repeats and answers after the
// term are ignored: their permits are not used. It returns the number gained.
func (h *Holder) Granted(now time.Time, nonce uint64, permits int, term time.Duration) int {
	l := h.asked
	if l == nil || nonce != l.nonce {
		return 0
	}
	h.asked = nil
	l.until = l.sent + min(term, h.terms.Term) - h.terms.Margin
	if l.rule != h.rule.Version || h.at(now) >= l.until || permits <= 0 {
		l.fire(eventSpent)
		return 0
	}
	l.fire(eventGranted)
	l.free = min(permits, l.want)
	h.loans = append(h.loans, l)
	return l.free
}

// Shortfall returns how many permits the own demand of a window lacks.
func (h *Holder) Shortfall(now time.Time) int {
	at := h.settle(now)
	need := h.demand.perWindow(at, h.terms.Window)
	need += (need + 7) / 8
	return need - (h.Own() - h.lent.total - h.fresh.total) - h.borrowed()
}

// borrowed returns the permits of the loans that run.
func (h *Holder) borrowed() int {
	n := 0
	for _, l := range h.loans {
		n += l.free + l.held + l.used.total
	}
	return n
}

// Lend answers a request for a loan with the number of permits lent. Only
// permits that are free now are lent, and they are not used here until the loan
// is surely over. Nothing is lent before the seats record a window as long as
// the one in force here: a new holder of this seat works out from that record
// how long its predecessor's loans may last. A repeated request gets the first answer again.
func (h *Holder) Lend(now time.Time, key LoanKey, version int64, want int) int {
	at := h.settle(now)
	h.forget(at)
	if g, ok := h.given[key]; ok {
		return g.permits
	}
	if version != h.rule.Version || h.longest < h.rule.Window || len(h.given) >= maxGiven {
		return 0
	}
	n := min(want, h.spare(at))
	if n <= 0 {
		return 0
	}
	h.free -= n
	h.lent.push(at, h.terms.granule(), n)
	h.given[key] = given{permits: n, at: at}
	return n
}

// spare returns the free permits that own requests will not need soon: what is
// left of the seat after the own demand of a window with an eighth on top.
func (h *Holder) spare(now instant) int {
	need := h.demand.perWindow(now, h.terms.Window)
	need += (need + 7) / 8
	reserve := max(0, need-h.used.total-h.held)
	return h.free - reserve
}

// forget drops answers whose loan is over everywhere: a repeat that comes later
// is answered anew, and its borrower no longer waits for it.
func (h *Holder) forget(now instant) {
	for key, g := range h.given {
		if g.at+h.terms.loan() <= now {
			delete(h.given, key)
		}
	}
}

func (h *Holder) settleLoans(now instant) {
	for _, l := range h.loans {
		if now < l.until {
			l.free += l.used.pop(now, h.terms.reuse())
			continue
		}
		l.fire(eventTermOver)
	}
	h.loans = slices.DeleteFunc(h.loans, func(l *loan) bool { return loanLife.Final(l.state) })
}

func (h *Holder) doneBorrowed(now instant, p Permit, sent bool) {
	i := slices.IndexFunc(h.loans, func(l *loan) bool { return l.nonce == p.loan })
	if i < 0 {
		return
	}
	l := h.loans[i]
	l.held--
	switch {
	case l.state == loanClosing && l.held == 0:
		l.fire(eventReturned)
	case l.state == loanClosing || now >= l.until:
	case sent:
		l.used.push(now, h.terms.granule(), 1)
	default:
		l.free++
	}
}
