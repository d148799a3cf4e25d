package retry_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"heatherlock/steering/retry"
)

// Guards against a failing service that receives twice the requests of its callers and therefore
// stays down: all targets fail and every entry VM retries everything, because each of them spends
// the whole slack. In any window, the extra tries of all entry VMs must stay within ratio x
// requests + slack.
func TestTriesOfAllEntryVMsStayWithinTheBound(t *testing.T) {
	cfg := retry.SharedBudgetConfig{Ratio: 0.2, Slack: 64, Window: 10 * time.Second}
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.IntRange(1, 24).Draw(t, "members")
		perSecond := rapid.IntRange(1, 40).Draw(t, "requests a second and entry VM")
		vms := make([]*retry.SharedBudget, members)
		for i := range vms {
			vms[i] = retry.NewSharedBudget(cfg)
			vms[i].SetMembers(members)
		}
		start := time.Unix(0, 0)
		const seconds = 40
		var requests, tries [seconds]int
		for second := range seconds {
			failing := rapid.IntRange(0, 2).Draw(t, "failing") > 0
			for n := range perSecond {
				now := start.Add(time.Duration(second)*time.Second + time.Duration(n)*time.Second/time.Duration(perSecond))
				for _, a := range vms {
					a.RecordRequest(now, "tickets")
					requests[second]++
					if failing && a.TakeTry(now, "tickets") {
						tries[second]++
					}
				}
			}
		}
		for from := 0; from+10 <= seconds; from++ {
			asked, again := 0, 0
			for s := from; s < from+10; s++ {
				asked += requests[s]
				again += tries[s]
			}
			assert.Assert(t, float64(again) <= cfg.Ratio*float64(asked)+cfg.Slack, "%d tries for %d requests from second %d", again, asked, from)
		}
	})
}
