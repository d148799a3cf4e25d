package feed

import (
	"slices"
	"time"

	"heatherlock/steering"
	"heatherlock/steering/storepos"
)

// decisions are what a state went by other than the store's word for some targets, since they were taken last.
type decisions struct {
	// kept holds the targets that are used although the store does not list them, heldClosed those that it lists
	// and that get no requests, and opened those that time alone has opened.
	kept, heldClosed, opened []steering.Target
}

// maxLoggedNames bounds the target names in one log line.
const maxLoggedNames = 12

// logDecisions logs what the state went by other than the store's word. from is where the data came from, and age that
// of what was known before.
func (r *Reader) logDecisions(from string, age time.Duration, at storepos.Position) {
	d := r.state.decided
	r.state.decided = decisions{}
	for _, line := range []struct {
		msg   string
		names []steering.Target
	}{{"targets kept though not listed, the store may have been away", d.kept}, {"targets listed again get nothing until they write", d.heldClosed}, {"targets listed for long get requests again", d.opened}} {
		if len(line.names) == 0 {
			continue
		}
		slices.Sort(line.names)
		_ = r.log.Log("msg", line.msg, "count", len(line.names), "targets", line.names[:min(len(line.names), maxLoggedNames)], "from", from, "known_age_ms", age.Milliseconds(), "position", at) // the log writer counts the lines that it drops
	}
}
