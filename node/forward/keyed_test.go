package forward

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/steering"
)

// Symptom: a bather whose phone lost the answer buys twice. Sequence: the same
// key arrives again at its own entry VM, at another one, and after its entry VM
// was replaced. Cause: a second execution under one key.
func TestKeyRunsOnce(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.target("t1", ok)
		w.target("t3", ok)
		for range 3 {
			res, text, err := w.do("POST", "/buy", strings.NewReader("1"), headerKey, keyA)
			assert.NilError(t, err)
			assert.Equal(t, text, "POST /buy 1")
			assert.Equal(t, res.Header.Get(headerIncarnation), "INCA")
		}
		r, _ := http.NewRequest("POST", "http://"+callerB+"/buy", strings.NewReader("1"))
		r.Host = "tickets.example"
		r.Header.Set(headerKey, keyA)
		res, err := w.client.Do(r)
		assert.NilError(t, err)
		assert.Equal(t, res.Header.Get(headerReplayed), "true")
		assert.Equal(t, res.Header.Get(headerVia), "eb, ea")
		res.Body.Close()
		assert.Equal(t, w.ran("t1")+w.ran("t3"), 1)

		res, _, err = w.do("POST", "/buy", strings.NewReader("1"), headerKey, "INCOLD-1.abcdefgh1")
		refused(t, res, err, steering.ReasonHomeGone, "unknown")
		w.members[1].PeerAddress = "nowhere:1"
		res, _, err = w.do("POST", "/buy", strings.NewReader("1"), headerKey, "INCB-1.abcdefgh1")
		refused(t, res, err, steering.ReasonPeerDown, "unknown")
		assert.Assert(t, w.a.down["eb"])
		assert.Equal(t, w.ran("t1")+w.ran("t3"), 1)
	})
}

// Symptom: a caller is told "not run" of a purchase that ran, and buys again
// under a fresh key. Sequence: the answer is lost; the repeat meets an entry VM
// that refuses it before it looks the key up. Cause: "not run" said of a try
// where the caller reads it of its purchase.
func TestNotRunIsNotSaidOfKeysNotLookedUp(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.target("t1", ok)
		buy := func(body string) (*http.Response, error) {
			res, _, err := w.do("POST", "/buy", strings.NewReader(body), headerKey, keyA)
			return res, err
		}
		_, err := buy("1")
		assert.NilError(t, err)
		w.a.limits.HeaderBytes = 1
		res, err := buy("1")
		refused(t, res, err, steering.ReasonBadRequest, "unknown")
		w.a.limits.HeaderBytes = 1 << 16
		w.snapshot.Services["tickets"].MaxBodyBytes = 1
		res, err = buy("22")
		refused(t, res, err, steering.ReasonBodyTooLarge, "unknown")
		snapshot := w.snapshot
		w.snapshot = nil
		res, err = buy("1")
		refused(t, res, err, steering.ReasonNotReady, "unknown")
		w.snapshot = snapshot
		res, _, err = w.do("GET", "/", nil, headerKey, keyA, headerService, "none")
		refused(t, res, err, steering.ReasonNoService, "unknown")

		// Its home's proof is passed on as it is.
		w.b.slots["t3"], w.a.slots["t1"], w.a.slots["t2"] = 0, 0, 0
		res, _, err = w.do("POST", "/buy", strings.NewReader("1"), headerKey, "INCB-1.abcdefgh1")
		refused(t, res, err, steering.ReasonNoSlot, "no")
	})
}

// Symptom: the caller of a purchase goes away, comes back under the same key
// and is told "unknown". Sequence: the caller's connection breaks while the
// target works. Cause: an execution abandoned with its caller.
func TestKeyedRunOutlivesItsCaller(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.target("t1", func(rw http.ResponseWriter, r *http.Request) {
			time.Sleep(time.Second)
			ok(rw, r)
		})
		w.client.Timeout = 500 * time.Millisecond
		_, _, err := w.do("POST", "/buy", strings.NewReader("1"), headerKey, keyA)
		assert.Assert(t, err != nil)
		time.Sleep(time.Second)
		res, text, err := w.do("POST", "/buy", strings.NewReader("1"), headerKey, keyA)
		assert.NilError(t, err)
		assert.Equal(t, text, "POST /buy 1")
		assert.Equal(t, res.Header.Get(headerReplayed), "true")
		assert.Equal(t, w.ran("t1"), 1)
	})
}
