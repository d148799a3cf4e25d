package admit

import (
	"github.com/uber-go/tally/v4"

	"heatherlock/steering"
)

// metrics counts what the pools of an entry VM do.
type metrics struct {
	scope            tally.Scope
	granted          tally.Counter // slots given to requests here
	asked            tally.Counter // calls of Acquire to other entry VMs
	askedByOthers    tally.Counter // calls of Acquire from them
	ownerUnreachable tally.Counter // owners that did not answer
	staleGrants      tally.Counter // grants of an entry VM that no longer owns the pool, given back
	takeovers        tally.Counter // pools taken
	handovers        tally.Counter // pools left to another entry VM
	disagreements    tally.Counter // pools taken although members named another owner
	pauses           tally.Counter // times this process found that it was paused
	releasesLost     tally.Counter // releases that could not be delivered
	releasesHealed   tally.Counter // grants ended because their holder no longer has them
	orphans          tally.Counter // grants of dead members
}

func newMetrics(scope tally.Scope) metrics {
	s := scope.SubScope("admit")
	return metrics{
		scope:            s,
		granted:          s.Counter("granted"),
		asked:            s.Counter("asked_owner"),
		askedByOthers:    s.Counter("asked_by_members"),
		ownerUnreachable: s.Counter("owner_unreachable"),
		staleGrants:      s.Counter("stale_grants"),
		takeovers:        s.Counter("takeovers"),
		handovers:        s.Counter("handovers"),
		disagreements:    s.Counter("disagreements"),
		pauses:           s.Counter("pauses"),
		releasesLost:     s.Counter("releases_lost"),
		releasesHealed:   s.Counter("releases_healed"),
		orphans:          s.Counter("orphans"),
	}
}

// refused counts a refusal by its reason and returns it.
func (m *metrics) refused(r *steering.Refusal) *steering.Refusal {
	m.scope.Tagged(map[string]string{"reason": string(r.Reason)}).Counter("refused").Inc(1)
	return r
}

// targetState counts that a target entered a state.
func (m *metrics) targetState(state string) {
	m.scope.Tagged(map[string]string{"state": state}).Counter("target_state").Inc(1)
}
