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

// Symptom: a request bounces between zones, or arrives with more time than its
// caller gave. Sequence: the own zone is full; the next one is, too. Cause: a
// hop without a limit, a deadline that restarts at each hop.
func TestSpillOneHopWithShrinkingDeadline(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.a.slots["t1"], w.a.slots["t2"] = 0, 0
		var left string
		w.target("t3", func(rw http.ResponseWriter, r *http.Request) {
			left = r.Header.Get(targetDeadline)
			ok(rw, r)
		})
		big := bytes.Repeat([]byte("x"), smallBody+5)
		res, text, err := w.do("POST", "/x", io.MultiReader(bytes.NewReader(big)), headerTimeout, "3000")
		assert.NilError(t, err)
		assert.Equal(t, text, "POST /x "+string(big))
		assert.Equal(t, res.Header.Get(headerVia), "ea, eb")
		assert.Assert(t, left != "" && len(left) <= 4 && left <= "3000", left)
		assert.Equal(t, counted(w.a, "spilled"), int64(1))

		w.b.slots["t3"] = 0
		res, _, err = w.do("POST", "/x", io.MultiReader(bytes.NewReader(big)))
		refused(t, res, err, steering.ReasonNoSlot, "no")
		assert.Equal(t, res.Header.Get(headerRetryAfter), "200")

		r, _ := http.NewRequest("GET", "http://"+peerB+"/forward/x", nil)
		r.Header.Set(headerRequestID, "id")
		r.Header.Set(headerHop, "2")
		res, err = w.client.Do(r)
		refused(t, res, err, steering.ReasonHopLimit, "no")
		res.Body.Close()
		r.Header.Set(headerHop, hopZone)
		r.Header.Set(headerService, "tickets")
		r.Header.Set(headerPlace, "p-a") // not a place of zone b: never sent back
		res, err = w.client.Do(r)
		refused(t, res, err, steering.ReasonNoTarget, "no")
		res.Body.Close()
	})
}

// Symptom: callers that still use a leaving entry VM are refused. Sequence: it
// was told to stop; its look-up answers are cached for their time to live.
func TestLateArrivalsWhileLeaving(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.target("t1", ok)
		w.target("t3", ok)
		w.members[1].Zone = "a" // eb is a peer in the same zone now
		w.a.leaving = true
		res, text, err := w.do("POST", "/late", strings.NewReader("x"))
		assert.NilError(t, err)
		assert.Equal(t, text, "POST /late x")
		assert.Equal(t, res.Header.Get(headerVia), "ea, eb")
		assert.Assert(t, res.Close)
		res, _, err = w.do("POST", "/late", strings.NewReader("x"), headerKey, keyA)
		assert.NilError(t, err)
		assert.Equal(t, res.Header.Get(headerVia), "ea") // only it may run the key
		w.members[1].PeerAddress = "nowhere:1"
		res, _, err = w.do("POST", "/late", strings.NewReader("x"))
		assert.NilError(t, err)
		assert.Equal(t, res.Header.Get(headerVia), "ea")
	})
}

// Symptom: nobody can say where a request went. Sequence: it is handed over to
// another zone, with a password in its body and a token in its header. Its way
// must be in the log under its id, and neither secret.
func TestTheLogTellsARequestsWayAndNoSecrets(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.a.slots["t1"], w.a.slots["t2"] = 0, 0
		w.target("t3", die)
		res, _, err := w.do("POST", "/", strings.NewReader("my password"), "Authorization", "Bearer token")
		refused(t, res, err, steering.ReasonTargetDied, "unknown")
		id := res.Header.Get(headerRequestID)
		for _, e := range []*entry{w.a, w.b} {
			log := e.log.String()
			assert.Assert(t, strings.Contains(log, `"request refused"`) && strings.Contains(log, id), "%s: %s", e.self.VM, log)
			assert.Assert(t, !strings.Contains(log, "password") && !strings.Contains(log, "token"), log)
		}
		assert.Assert(t, strings.Contains(w.a.log.String(), `"request handed over","request":"`+id+`","to":"eb","why":"place p-b"`), w.a.log.String())
	})
}
