package poison

import "time"

// copiesInFlight returns the number of requests in flight with the same ID, as the
// maximum over the IDs of the mark that have not completed recently.
//
// Several callers, or one that retries quickly, may send a poison request several
// times before the first target is lost. If all copies were sent at once, each of
// them would take down a target before the request is known to be harmful.
// Requests whose bodies are only known in part are not counted: uploads with the
// same length and beginning may still differ.
func (l *List) copiesInFlight(now time.Time, m Fingerprints) int {
	if !m.BodyComplete || len(l.inFlight) == 0 {
		return 0
	}
	most := 0
	var buf [maxIDs]ID
	for _, id := range m.ids(&buf) {
		if n := l.inFlight[id]; n > most && !l.recentlyCompleted(now, id) {
			most = n
		}
	}
	return most
}

// countInFlight counts the request as in flight under those of its IDs that have
// not completed recently, and returns their bits for Verdict.countedIDs.
func (l *List) countInFlight(now time.Time, m Fingerprints) (counted uint16) {
	if !m.BodyComplete {
		return 0
	}
	var buf [maxIDs]ID
	for i, id := range m.ids(&buf) {
		if !l.recentlyCompleted(now, id) {
			l.inFlight[id]++
			counted |= 1 << i
		}
	}
	return counted
}

// uncountInFlight reverts countInFlight when the request has ended.
func (l *List) uncountInFlight(m Fingerprints, v Verdict) {
	if v.countedIDs == 0 {
		return
	}
	var buf [maxIDs]ID
	for i, id := range m.ids(&buf) {
		if v.countedIDs&(1<<i) == 0 {
			continue
		}
		if l.inFlight[id]--; l.inFlight[id] <= 0 {
			delete(l.inFlight, id)
		}
	}
}
