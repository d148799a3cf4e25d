package dynamic

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// limit is the time in which an accepted change must be in force everywhere.
const limit = 4 * time.Second

func TestChangeIsInForceEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4, 5)
		f.put(KindService, "tickets", serviceValue(1000))
		f.startAll()
		defer f.killAll()
		time.Sleep(15 * time.Second)
		assert.Equal(t, f.readers(), 4)
		version := f.put(KindService, "tickets", serviceValue(2000))
		time.Sleep(limit)
		f.inForce(version)
		f.agree()
		for _, m := range f.nodes {
			assert.Equal(t, m.spread.Snapshot().Services["tickets"].Timeout, 2*time.Second)
		}
	})
}
