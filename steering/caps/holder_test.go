package caps

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"heatherlock/steering"
	"heatherlock/steering/routing"
)

// at returns the time that is ms milliseconds after the epoch.
func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

var oneSecondRule = Rule{Version: 1, Requests: 10, Window: time.Second, TermWindows: testTermWindows}

// newReadyHolder returns a holder whose permits are usable from at(0) on.
func newReadyHolder(rule Rule, permits int) *Holder {
	h := NewHolder(at(-60000), rule)
	h.ApplySeats(at(-60000), 1, permits, rule.Window, false)
	return h
}

// Guards against borrower and lender using the same permit within one window. This would happen if
// the answer to a request for a loan came late, just within the term, and the borrower counted the
// term from the answer.
func TestLoanTermStartsAtTheRequest(t *testing.T) {
	lender, borrower := newReadyHolder(oneSecondRule, 4), newReadyHolder(oneSecondRule, 0)
	ask := borrower.RequestLoan(at(0), 4)
	n := lender.Lend(at(1), LoanKey{"b", ask.Nonce}, ask.Version, ask.Permits)
	assert.Equal(t, n, 4)
	assert.Equal(t, borrower.ApplyLoan(at(1800), ask.Nonce, n, lender.Terms().Term), 4)
	_, ok := borrower.Take(at(1899))
	assert.Assert(t, ok)
	_, ok = borrower.Take(at(1900))
	assert.Assert(t, !ok, "the term of 2 s less the margin of 100 ms has ended")
	_, ok = lender.Take(at(3100))
	assert.Assert(t, !ok, "the last start under the loan may be less than a window old")
	_, ok = lender.Take(at(3110))
	assert.Assert(t, ok)
}

func TestLoanChartPageIsCurrent(t *testing.T) {
	golden.Assert(t, LoanChart(), "../../../docs/charts/caploan.md")
}

// Guards against exceeding a lower cap with borrowed permits: a loan that was made before the cap
// was lowered must not stay valid under the new version.
func TestLoansEndWhenTheCapChanges(t *testing.T) {
	borrower := newReadyHolder(oneSecondRule, 0)
	ask := borrower.RequestLoan(at(0), 4)
	assert.Equal(t, borrower.ApplyLoan(at(2), ask.Nonce, 4, 2*time.Second), 4)
	lower := oneSecondRule
	lower.Version, lower.Requests = 2, 1
	borrower.Configure(lower)
	_, ok := borrower.Take(at(3))
	assert.Assert(t, !ok)
}

// Guards against exceeding a cap after a VM was replaced: loans are made under a long window, the
// window is shortened, the lender crashes, and its seat goes to a VM that knows only the short
// window. That VM would wait too short if loans could last longer than the window in the record
// implies.
func TestNoLoanBeforeTheRecordHasTheWindow(t *testing.T) {
	long := oneSecondRule
	long.Window = 3 * time.Second
	h := NewHolder(at(-60000), long)
	h.ApplySeats(at(-60000), 1, 4, time.Second, false)
	assert.Equal(t, h.Lend(at(0), LoanKey{"b", 1}, 1, 4), 0)
	h.ApplySeats(at(0), 2, 4, 3*time.Second, false)
	assert.Equal(t, h.Lend(at(1), LoanKey{"b", 1}, 1, 4), 4)
}

// Guards against a request under a cap that was lowered to 0: a permit is lent, the cap is lowered,
// the lender releases its permits and writes its seat with the lent one, which is pinned. It then
// reads that record, and the loan ends. The lender must not treat the record as a raise of its
// seat.
func TestRecordOfPinnedPermitsRaisesNothing(t *testing.T) {
	lender, borrower := newReadyHolder(oneSecondRule, 2), newReadyHolder(oneSecondRule, 0)
	ask := borrower.RequestLoan(at(0), 1)
	assert.Equal(t, lender.Lend(at(1), LoanKey{"b", ask.Nonce}, ask.Version, ask.Permits), 1)
	lower := oneSecondRule
	lower.Version, lower.Requests = 2, 0
	lender.Configure(lower)
	assert.Equal(t, lender.Shrink(at(10), 0), 1)
	record := &routing.CapSeats{Seats: []routing.CapSeat{{VM: "a", Permits: 1}}}
	lender.ApplySeats(at(20), 2, 1, oneSecondRule.Window, Exceeds(record, lower))
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

// Guards against assigning a permit to another VM while a request still holds it: when the cap is
// lowered while permits are held and lent, the seat must not be written below the pinned permits.
// The holder drops those as they are returned.
func TestPinnedPermitsStayInTheSeat(t *testing.T) {
	lower := oneSecondRule
	lower.Version, lower.Requests = 2, 4
	c := Plan(view(lower, "a", 5, 4, record(1, 5, 5)))
	assert.Equal(t, c.Keep, 2)
	assert.Equal(t, seatOf(c.Seats, "a").Permits, 4)
	assert.Equal(t, seatOf(c.Seats, "b").Permits, 5, "only the holder lowers its seat")
}

// Guards against assigning permits that no longer exist: after the cap was lowered, a VM that has
// not received the change must not write seats based on its older version of the cap.
func TestPlanWithAnOlderCapWritesNothing(t *testing.T) {
	c := Plan(view(oneSecondRule, "a", 2, 0, record(2, 2, 2)))
	assert.Assert(t, c.Seats == nil)
	assert.Equal(t, c.Keep, 2)
}

// Guards against a permit that lender and borrower both use, because the cap's window was shortened at
// the lender while the permit was lent under the longer one.
func TestLentPermitsWaitForTheTermsTheyWereLentUnder(t *testing.T) {
	long := Rule{Version: 1, Requests: 1, Window: time.Second, TermWindows: testTermWindows}
	short := Rule{Version: 2, Requests: 1, Window: 500 * time.Millisecond, TermWindows: testTermWindows}
	lender, borrower := NewHolder(epoch, long), NewHolder(epoch, long)
	lender.ApplySeats(epoch, 1, 1, long.Window, false)
	now := epoch.Add(time.Minute)
	ask := borrower.RequestLoan(now, 1)
	n := lender.Lend(now, LoanKey{"borrower", ask.Nonce}, ask.Version, ask.Permits)
	assert.Equal(t, borrower.ApplyLoan(now, ask.Nonce, n, lender.Terms().Term), 1)
	lender.Configure(short)

	used := now.Add(1850 * time.Millisecond)
	_, ok := borrower.Take(used)
	assert.Assert(t, ok, "the loan has not ended")
	for at := now; at.Before(used.Add(short.Window)); at = at.Add(50 * time.Millisecond) {
		_, ok := lender.Take(at)
		assert.Assert(t, !ok, "the lender uses its lent permit %v after it lent it", at.Sub(now))
	}
	_, ok = lender.Take(now.Add(3200 * time.Millisecond))
	assert.Assert(t, ok, "the permit never returns")
}
