package caps

import "time"

// maxDrift is the largest rate error of a clock that is covered, in parts of a
// thousand: five times what NTP lets a clock slew.
const maxDrift = 1

// Bounds of a loan's term and margin. After each term a lent permit rests for a
// window, so longer terms waste less; but a permit lent for long is missing when
// the lender's own demand comes, and the seat of a VM that is gone rests for a
// whole term. docs/measurements/caps.md weighs it.
const (
	termWindows    = 8 // for short windows
	minTermWindows = 4 // for long ones
	usualTerm      = 30 * time.Second
	// marginParts is the margin as a part of the term, far above the drift.
	marginParts = 20
	minMargin   = 50 * time.Millisecond
	// granules is the resolution of the books: times are rounded up to a part
	// of the window, which bounds memory and wastes at most that part.
	granules = 512
)

// Terms are the times that follow from a cap's window. Each is meant for the
// clock of the process that waits.
type Terms struct {
	// Window is how long a permit stays taken after its request was sent.
	Window time.Duration
	// Term is how long a loan lasts, from the sending of the request for it.
	Term time.Duration
	// Margin is kept by both sides of a loan.
	Margin time.Duration
}

// TermsFor returns the times for a cap's window.
func TermsFor(window time.Duration) Terms {
	return termsOf(window, min(termWindows*window, max(minTermWindows*window, usualTerm)))
}

func termsOf(window, term time.Duration) Terms {
	return Terms{Window: window, Term: term, Margin: max(term/marginParts, minMargin)}
}

// stretch lengthens a wait so that it is long enough on a clock that runs fast.
func stretch(d time.Duration) time.Duration { return d + d*maxDrift/1000 + 1 }

// reuse is the wait from sending until a permit may start another request.
func (t Terms) reuse() time.Duration { return stretch(t.Window) }

// loan is the wait from answering a request for a loan until the permits are
// back.
func (t Terms) loan() time.Duration { return stretch(t.Term + t.Margin + t.Window) }

// SeatWait is the wait from learning of new permits in the own seat until
// their first use: by then the old holder's last use and the last use under its
// last loan are a window old.
func (t Terms) SeatWait() time.Duration { return t.loan() }

// granule is the resolution of the books.
func (t Terms) granule() time.Duration { return max(t.Window/granules, 1) }
