package caps

import "time"

// maxDriftPerMille is the largest clock drift that the waits allow for, in parts per thousand. It is
// five times the rate at which NTP slews a clock.
const maxDriftPerMille = 1

// Bounds of a loan's term and margin. A lent permit is unused for one window after each term, so
// longer terms waste fewer permits. With longer terms, however, a lender waits longer for its
// permits when its own demand rises, and the permits of a VM that is gone are unused for a whole
// term. docs/measurements/caps.md compares terms.
const (
	maxTermWindows = 8 // applies to short windows
	minTermWindows = 4 // applies to long windows
	preferredTerm  = 30 * time.Second
	// marginDivisor sets the margin to the term divided by it, far more than clocks drift in a term.
	marginDivisor = 20
	minMargin     = 50 * time.Millisecond
	// granulesPerWindow sets the resolution of the recorded times: they are rounded up to the window
	// divided by it, which bounds memory and delays the reuse of a permit by at most that time.
	granulesPerWindow = 512
)

// Terms are the durations that follow from a cap's window. Each process measures them on its own
// clock.
type Terms struct {
	// Window is how long a permit stays in use after its request was sent.
	Window time.Duration
	// Term is how long a loan lasts, counted from when the borrower sent the request for it.
	Term time.Duration
	// Margin is the safety margin of a loan: the borrower stops using the permits that much before
	// the end of the term, and the lender waits that much longer before it uses them again.
	Margin time.Duration
}

// TermsFor returns the durations for a cap's window.
func TermsFor(window time.Duration) Terms {
	return termsOf(window, min(maxTermWindows*window, max(minTermWindows*window, preferredTerm)))
}

func termsOf(window, term time.Duration) Terms {
	return Terms{Window: window, Term: term, Margin: max(term/marginDivisor, minMargin)}
}

// allowForDrift extends a wait so that it is long enough on a clock that runs fast.
func allowForDrift(d time.Duration) time.Duration { return d + d*maxDriftPerMille/1000 + 1 }

// reuseWait returns the wait from sending a request until its permit may start another one.
func (t Terms) reuseWait() time.Duration { return allowForDrift(t.Window) }

// loanWait returns how long a lender waits, from its answer, before it uses lent permits again.
func (t Terms) loanWait() time.Duration { return allowForDrift(t.Term + t.Margin + t.Window) }

// SeatWait returns how long a holder waits before it uses permits that were added to its seat,
// counted from when it received the record. By then, the previous holder's last use and the last use
// under its last loan are at least one window ago.
func (t Terms) SeatWait() time.Duration { return t.loanWait() }

// granularity returns the resolution of the recorded times.
func (t Terms) granularity() time.Duration { return max(t.Window/granulesPerWindow, 1) }
