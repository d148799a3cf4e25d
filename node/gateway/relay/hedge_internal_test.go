package relay

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/steering/placement"
)

// Guards against hedges by the mean of a service where the run times of the route are known, and against
// none at all where they are not.
func TestHedgeDelayIsThatOfTheRoute(t *testing.T) {
	x := &exchange{lastPick: placement.Pick{Expected: 100 * time.Millisecond}}
	assert.Equal(t, x.hedgeDelay(), 250*time.Millisecond)
	x.lastPick.HedgeAfter = 170 * time.Millisecond
	assert.Equal(t, x.hedgeDelay(), 170*time.Millisecond)
}
