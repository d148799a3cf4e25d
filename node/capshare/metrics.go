package capshare

import "github.com/uber-go/tally/v4"

// metrics holds the counters of the caps at this entry VM.
type metrics struct {
	admitted       tally.Counter
	refused        tally.Counter
	lent           tally.Counter
	borrowed       tally.Counter
	borrowFailed   tally.Counter
	borrowRepeated tally.Counter
	writes         tally.Counter
	conflicts      tally.Counter
}

func newMetrics(scope tally.Scope) metrics {
	scope = scope.SubScope("cap")
	return metrics{
		admitted:       scope.Counter("admitted"),
		refused:        scope.Counter("refused"),
		lent:           scope.Counter("permits_lent"),
		borrowed:       scope.Counter("permits_borrowed"),
		borrowFailed:   scope.Counter("borrow_failed"),
		borrowRepeated: scope.Counter("borrow_repeated"),
		writes:         scope.Counter("seat_writes"),
		conflicts:      scope.Counter("seat_conflicts"),
	}
}
