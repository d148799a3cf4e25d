package gateway_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against metrics from which operators cannot tell what fills their links: bytes must be
// counted by purpose within seconds of the requests.
func TestTrafficIsReportedByPurpose(t *testing.T) {
	t.Parallel()
	s := newTestCluster(t)
	all := s.startAll(2)
	for n := range 20 {
		assert.Equal(t, s.request(all[0], fmt.Sprint("/read/", n)), 200)
	}
	counted := func(purpose string) bool {
		return s.metric(all[0], "heatherlock_gateway_exchanged_bytes", `purpose="`+purpose+`"`) > 0
	}
	for _, purpose := range []string{"requests", "heartbeats", "store"} {
		within(t, 14*time.Second, purpose, func() bool { return counted(purpose) })
	}
}
