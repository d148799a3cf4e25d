package relay

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/steering/placement"
)

// Guards against VMs of different builds that read what targets have said differently.
func TestToldNoticesAreReadAsWritten(t *testing.T) {
	closings := []placement.Closing{{Target: "t 1", Generation: 7, Leaving: true, Rest: 1500 * time.Millisecond}}
	limits := []placement.TargetLimit{{Target: "t&2", Generation: 8, Told: placement.ToldLimit{InForce: true, PerSecond: 2.6, Age: 20 * time.Millisecond, RequestAge: time.Second}}}
	h := make(http.Header)
	toldNotices{closed: encodeClosings(closings), limits: encodeLimits(limits)}.set(h)
	assert.Equal(t, h.Get("Heatherlock-Hop-Closed"), "t+1=7&t+1=true&t+1=1500")
	assert.Equal(t, h.Get("Heatherlock-Hop-Limits"), "t%262=8&t%262=2.6&t%262=20&t%262=1000")
	read := readToldNotices(h)
	assert.DeepEqual(t, decodeClosings(read.closed), closings)
	assert.DeepEqual(t, decodeLimits(read.limits), limits)
	for _, broken := range []string{"%zz", "t1=1", "t1=1&t1=x&t1=0&t1=0", "t1=1&t1=-1&t1=0&t1=0"} {
		assert.Equal(t, len(decodeLimits(broken)), 0, "%q", broken)
	}
}
