package forward

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"heatherlock/steering"
)

// Guards against requests that bounce between full zones because the number of hops is not limited,
// and against deadlines that restart at each hop.
func TestSpilloverIsOneHopWithShrinkingDeadline(t *testing.T) {
	inTestbed(t, func(t *testing.T, w *testbed) {
		w.a.slots["t1"], w.a.slots["t2"] = 0, 0
		var left string
		w.target("t3", func(rw http.ResponseWriter, r *http.Request) {
			left = r.Header.Get(targetDeadline)
			ok(rw, r)
		})
		big := bytes.Repeat([]byte("x"), maxBufferedBody+5)
		res, text, err := w.do("POST", "/x", io.MultiReader(bytes.NewReader(big)), headerTimeout, "3000")
		assert.NilError(t, err)
		assert.Equal(t, text, "POST /x "+string(big))
		assert.Equal(t, res.Header.Get(headerVia), "ea, eb")
		assert.Assert(t, left != "" && len(left) <= 4 && left <= "3000", left)
		assert.Equal(t, counterValue(w.a, "spilled"), int64(1))

		w.b.slots["t3"] = 0
		res, _, err = w.do("POST", "/x", io.MultiReader(bytes.NewReader(big)))
		assertRefused(t, res, err, steering.ReasonNoSlot, "no")
		assert.Equal(t, res.Header.Get(headerRetryAfter), "200")

		r, _ := http.NewRequest("GET", "http://"+peerB+"/forward/x", nil)
		r.Header.Set(headerRequestID, "id")
		r.Header.Set(headerHop, "2")
		res, err = w.client.Do(r)
		assertRefused(t, res, err, steering.ReasonHopLimit, "no")
		res.Body.Close()
		r.Header.Set(headerHop, hopSpillover)
		r.Header.Set(headerService, "tickets")
		r.Header.Set(headerPlace, "p-a") // not a place of zone b: must not be sent back to zone a
		res, err = w.client.Do(r)
		assertRefused(t, res, err, steering.ReasonNoTarget, "no")
		res.Body.Close()
	})
}

// Guards against refusing callers that still use an entry VM that is leaving, because they cached
// its look-up answers for their time to live.
func TestRequestsAreForwardedWhileLeaving(t *testing.T) {
	inTestbed(t, func(t *testing.T, w *testbed) {
		w.target("t1", ok)
		w.target("t3", ok)
		w.members[1].Zone = "a" // eb is now a peer in the same zone
		w.a.leaving = true
		res, text, err := w.do("POST", "/late", strings.NewReader("x"))
		assert.NilError(t, err)
		assert.Equal(t, text, "POST /late x")
		assert.Equal(t, res.Header.Get(headerVia), "ea, eb")
		assert.Assert(t, res.Close)
		res, _, err = w.do("POST", "/late", strings.NewReader("x"), headerKey, keyA)
		assert.NilError(t, err)
		assert.Equal(t, res.Header.Get(headerVia), "ea") // only ea may run the key
		w.members[1].PeerAddress = "nowhere:1"
		res, _, err = w.do("POST", "/late", strings.NewReader("x"))
		assert.NilError(t, err)
		assert.Equal(t, res.Header.Get(headerVia), "ea")
	})
}

// Guards against logs that don't show where a request was sent, or that contain secrets. A request
// with a password in its body and a token in its header is handed over to another zone: both logs
// must contain its ID, and neither secret.
func TestLogTracesRequestWithoutSecrets(t *testing.T) {
	inTestbed(t, func(t *testing.T, w *testbed) {
		w.a.slots["t1"], w.a.slots["t2"] = 0, 0
		w.target("t3", breakConnection)
		res, _, err := w.do("POST", "/", strings.NewReader("my password"), "Authorization", "Bearer token")
		assertRefused(t, res, err, steering.ReasonTargetLost, "unknown")
		id := res.Header.Get(headerRequestID)
		for _, e := range []*entryVM{w.a, w.b} {
			log := e.log.String()
			assert.Assert(t, strings.Contains(log, `"request refused"`) && strings.Contains(log, id), "%s: %s", e.self.VM, log)
			assert.Assert(t, !strings.Contains(log, "password") && !strings.Contains(log, "token"), log)
		}
		assert.Assert(t, strings.Contains(w.a.log.String(), `"request handed over","request":"`+id+`","to":"eb","why":"place p-b"`), w.a.log.String())
	})
}
