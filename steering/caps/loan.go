package caps

import (
	"time"

	"heatherlock/steering"
)

// loan is a number of borrowed permits.
type loan struct {
	id    uint64
	until instant // own clock; not used from then on
	free  int
	held  int
	used  queue
}

// ask is the request for a loan that is out, if any.
type ask struct {
	nonce uint64
	sent  instant
	rule  int64
	want  int
	out   bool
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
	h.asked = ask{nonce: h.asked.nonce + 1, sent: h.at(now), rule: h.rule.Version, want: want, out: true}
	return LoanAsk{Nonce: h.asked.nonce, Version: h.rule.Version, Permits: want}
}

// Granted takes the answer to a request for a loan: a number of permits and
// the lender's term. Answers to other requests, repeats and answers after the
// term are ignored: their permits are not used. It returns the number gained.
func (h *Holder) Granted(now time.Time, nonce uint64, permits int, term time.Duration) int {
	if !h.asked.out || nonce != h.asked.nonce {
		return 0
	}
	h.asked.out = false
	until := h.asked.sent + min(term, h.terms.Term) - h.terms.Margin
	if h.asked.rule != h.rule.Version || h.at(now) >= until || permits <= 0 {
		return 0
	}
	n := min(permits, h.asked.want)
	h.nextID++
	h.loans = append(h.loans, &loan{id: h.nextID, until: until, free: n})
	return n
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
	kept := h.loans[:0]
	for _, l := range h.loans {
		if now < l.until {
			l.free += l.used.pop(now, h.terms.reuse())
			kept = append(kept, l)
			continue
		}
		l.free = 0
		l.used = queue{}
		if l.held > 0 {
			kept = append(kept, l)
		}
	}
	clear(h.loans[len(kept):])
	h.loans = kept
}

func (h *Holder) doneBorrowed(now instant, p Permit, sent bool) {
	for _, l := range h.loans {
		if l.id != p.loan {
			continue
		}
		l.held--
		switch {
		case now >= l.until:
		case sent:
			l.used.push(now, h.terms.granule(), 1)
		default:
			l.free++
		}
		return
	}
}
