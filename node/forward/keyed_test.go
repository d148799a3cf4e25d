package forward

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/steering"
)

// Guards against a second execution under one key. A caller that lost the response sends the same
// key again, to the key's owner, through another entry VM, and after the owner was replaced.
func TestKeyRunsOnce(t *testing.T) {
	inTestbed(t, func(t *testing.T, w *testbed) {
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
		assertRefused(t, res, err, steering.ReasonKeyOwnerGone, "unknown")
		w.members[1].PeerAddress = "nowhere:1"
		res, _, err = w.do("POST", "/buy", strings.NewReader("1"), headerKey, "INCB-1.abcdefgh1")
		assertRefused(t, res, err, steering.ReasonPeerUnreachable, "unknown")
		assert.Assert(t, w.a.down["eb"])
		assert.Equal(t, w.ran("t1")+w.ran("t3"), 1)
	})
}

// Guards against telling a caller "not run" about a purchase that ran, after which it would buy
// again under a new key. The response is lost, and the repeat is refused before the key is looked
// up.
func TestKeysNotLookedUpAreNotReportedNotRun(t *testing.T) {
	inTestbed(t, func(t *testing.T, w *testbed) {
		w.target("t1", ok)
		buy := func(body string) (*http.Response, error) {
			res, _, err := w.do("POST", "/buy", strings.NewReader(body), headerKey, keyA)
			return res, err
		}
		_, err := buy("1")
		assert.NilError(t, err)
		w.a.limits.HeaderBytes = 1
		res, err := buy("1")
		assertRefused(t, res, err, steering.ReasonBadRequest, "unknown")
		w.a.limits.HeaderBytes = 1 << 16
		w.snapshot.Services["tickets"].MaxBodyBytes = 1
		res, err = buy("22")
		assertRefused(t, res, err, steering.ReasonBodyTooLarge, "unknown")
		snapshot := w.snapshot
		w.snapshot = nil
		res, err = buy("1")
		assertRefused(t, res, err, steering.ReasonNotReady, "unknown")
		w.snapshot = snapshot
		res, _, err = w.do("GET", "/", nil, headerKey, keyA, headerService, "none")
		assertRefused(t, res, err, steering.ReasonNoService, "unknown")

		// A "not run" from the owner of the key is passed on unchanged.
		w.b.slots["t3"], w.a.slots["t1"], w.a.slots["t2"] = 0, 0, 0
		res, _, err = w.do("POST", "/buy", strings.NewReader("1"), headerKey, "INCB-1.abcdefgh1")
		assertRefused(t, res, err, steering.ReasonNoSlot, "no")
	})
}

// Guards against abandoning an execution when its caller disconnects: the caller returns with the
// same key and must receive the response, not "unknown".
func TestKeyedRunContinuesWithoutCaller(t *testing.T) {
	inTestbed(t, func(t *testing.T, w *testbed) {
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
