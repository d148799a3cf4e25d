package caps

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"heatherlock/steering"
	"heatherlock/steering/routing"
)

// at returns a time after the epoch.
func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

var second = Rule{Version: 1, Requests: 10, Window: time.Second, TermWindows: testTerm}

// seated returns a holder whose permits are ready to use at 0.
func seated(rule Rule, permits int) *Holder {
	h := NewHolder(at(-60000), rule)
	h.Adopt(at(-60000), 1, permits, rule.Window, false)
	return h
}

// Symptom: a permit is used by borrower and lender in one window. Sequence: the
// answer to a request for a loan comes late, just within the term. Cause: a
// borrower that counts the term from the answer.
func TestTermRunsFromTheRequest(t *testing.T) {
	lender, borrower := seated(second, 4), seated(second, 0)
	ask := borrower.Ask(at(0), 4)
	n := lender.Lend(at(1), LoanKey{"b", ask.Nonce}, ask.Version, ask.Permits)
	assert.Equal(t, n, 4)
	assert.Equal(t, borrower.Granted(at(1800), ask.Nonce, n, lender.Terms().Term), 4)
	_, ok := borrower.Take(at(1899))
	assert.Assert(t, ok)
	_, ok = borrower.Take(at(1900))
	assert.Assert(t, !ok, "the term of 2 s less the margin of 100 ms is over")
	_, ok = lender.Take(at(3100))
	assert.Assert(t, !ok, "the last start under the loan may be less than a window old")
	_, ok = lender.Take(at(3110))
	assert.Assert(t, ok)
}

func TestLoanChartPageIsCurrent(t *testing.T) {
	golden.Assert(t, LoanChart(), "../../../docs/charts/caploan.md")
}

// Symptom: a lower cap is exceeded by borrowed permits. Sequence: a loan is
// made, then the cap is lowered. Cause: a loan that outlives its cap's version.
func TestLoansEndWithTheirVersionOfTheCap(t *testing.T) {
	borrower := seated(second, 0)
	ask := borrower.Ask(at(0), 4)
	assert.Equal(t, borrower.Granted(at(2), ask.Nonce, 4, 2*time.Second), 4)
	lower := second
	lower.Version, lower.Requests = 2, 1
	borrower.Configure(lower)
	_, ok := borrower.Take(at(3))
	assert.Assert(t, !ok)
}

// Symptom: a cap is exceeded after a VM was replaced. Sequence: the window was
// long, loans under it run, the window is shortened, the lender dies and its
// seat passes to a VM that only knows the short window. Cause: a loan that is
// longer than the record lets the next holder know.
func TestNothingIsLentBeforeTheRecordShowsTheWindow(t *testing.T) {
	long := second
	long.Window = 3 * time.Second
	h := NewHolder(at(-60000), long)
	h.Adopt(at(-60000), 1, 4, time.Second, false)
	assert.Equal(t, h.Lend(at(0), LoanKey{"b", 1}, 1, 4), 0)
	h.Adopt(at(0), 2, 4, 3*time.Second, false)
	assert.Equal(t, h.Lend(at(1), LoanKey{"b", 1}, 1, 4), 4)
}

// Symptom: a place gets a request under a cap that was lowered to nothing.
// Sequence: a permit is lent, the cap is lowered, the lender gives up all
// permits and writes its seat with the lent one, which it cannot give away yet;
// it reads that record, and the loan ends. Cause: taking its own record, which
// confirms what is bound, for a raise.
func TestRecordOfBoundPermitsBringsNoneBack(t *testing.T) {
	lender, borrower := seated(second, 2), seated(second, 0)
	ask := borrower.Ask(at(0), 1)
	assert.Equal(t, lender.Lend(at(1), LoanKey{"b", ask.Nonce}, ask.Version, ask.Permits), 1)
	lower := second
	lower.Version, lower.Requests = 2, 0
	lender.Configure(lower)
	assert.Equal(t, lender.Shrink(at(10), 0), 1)
	record := &routing.CapSeats{Seats: []routing.CapSeat{{VM: "a", Permits: 1}}}
	lender.Adopt(at(20), 2, 1, second.Window, Exceeds(record, lower))
	_, ok := lender.Take(at(10_000))
	assert.Assert(t, !ok)
}

func view(rule Rule, self string, own, pinned int, seats *routing.CapSeats) View {
	return View{
		Self: steering.VM(self), Incarnation: steering.Incarnation(self), Rule: rule, Seats: seats,
		Claimants: []steering.VM{"a", "b"}, Gone: func(routing.CapSeat) bool { return false }, Own: own, Pinned: pinned,
	}
}

func record(capVersion int64, a, b int) *routing.CapSeats {
	return &routing.CapSeats{Version: 9, CapVersion: capVersion, Requests: 10, WindowMs: 1000, Seats: []routing.CapSeat{
		{VM: "a", Incarnation: "a", Permits: a}, {VM: "b", Incarnation: "b", Permits: b},
	}}
}

// Symptom: a permit that is held for a request is handed to another VM.
// Sequence: the cap is lowered while permits are held and lent. Cause: a seat
// written below what cannot be given away. They are dropped as they come back.
func TestPinnedPermitsStayInTheSeat(t *testing.T) {
	lower := second
	lower.Version, lower.Requests = 2, 4
	c := Plan(view(lower, "a", 5, 4, record(1, 5, 5)))
	assert.Equal(t, c.Keep, 2)
	assert.Equal(t, seatOf(c.Seats, "a").Permits, 4)
	assert.Equal(t, seatOf(c.Seats, "b").Permits, 5, "only the holder lowers its seat")
}

// Symptom: permits that no longer exist are handed out. Sequence: the cap was
// lowered, one VM has not heard of it. Cause: a writer that trusts its own
// older cap over the record's newer one.
func TestAWriterWithAnOlderCapWritesNothing(t *testing.T) {
	c := Plan(view(second, "a", 2, 0, record(2, 2, 2)))
	assert.Assert(t, c.Seats == nil)
	assert.Equal(t, c.Keep, 2)
}
