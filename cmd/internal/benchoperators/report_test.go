package benchoperators

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestPercentilesAreExact guards against interpolated percentiles and an index that is off by
// one, also for one value and for none.
func TestPercentilesAreExact(t *testing.T) {
	var all []time.Duration
	for i := 200; i >= 1; i-- {
		all = append(all, time.Duration(i)*time.Millisecond)
	}
	assert.DeepEqual(t, summarise(all), Times{Count: 200, P50: 100, P99: 198, Max: 200})
	assert.DeepEqual(t, summarise(all[:1]), Times{Count: 1, P50: 200, P99: 200, Max: 200})
	assert.DeepEqual(t, summarise(nil), Times{})
}
