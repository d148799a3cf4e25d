package admit

import (
	"github.com/uber-go/tally/v4"

	"heatherlock/steering"
)

// metrics counts the operations of an entry VM's pools.
type metrics struct {
	scope             tally.Scope
	granted           tally.Counter // slots granted to requests at this entry VM
	ownerCalls        tally.Counter // Acquire calls to other entry VMs
	memberCalls       tally.Counter // Acquire calls from other entry VMs
	ownerUnreachable  tally.Counter // failed Acquire calls to owners
	staleGrants       tally.Counter // grants from former owners, released unused
	takeovers         tally.Counter // takeovers started
	handovers         tally.Counter // pools handed over to another entry VM
	disagreements     tally.Counter // takeovers completed although members named another owner
	pauses            tally.Counter // pauses of this process detected
	releasesLost      tally.Counter // releases that could not be delivered
	releasesRecovered tally.Counter // grants ended because their holder no longer held them
	orphans           tally.Counter // grants ended because their holder crashed or restarted
}

func newMetrics(scope tally.Scope) metrics {
	s := scope.SubScope("admit")
	return metrics{
		scope:             s,
		granted:           s.Counter("granted"),
		ownerCalls:        s.Counter("asked_owner"),
		memberCalls:       s.Counter("asked_by_members"),
		ownerUnreachable:  s.Counter("owner_unreachable"),
		staleGrants:       s.Counter("stale_grants"),
		takeovers:         s.Counter("takeovers"),
		handovers:         s.Counter("handovers"),
		disagreements:     s.Counter("disagreements"),
		pauses:            s.Counter("pauses"),
		releasesLost:      s.Counter("releases_lost"),
		releasesRecovered: s.Counter("releases_healed"),
		orphans:           s.Counter("orphans"),
	}
}

// refused counts a refusal under its reason and returns it.
func (m *metrics) refused(r *steering.Refusal) *steering.Refusal {
	m.scope.Tagged(map[string]string{"reason": string(r.Reason)}).Counter("refused").Inc(1)
	return r
}

// targetState counts a target's transition into a state.
func (m *metrics) targetState(state string) {
	m.scope.Tagged(map[string]string{"state": state}).Counter("target_state").Inc(1)
}
