package forward

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/node/seam"
	"heatherlock/steering"
)

// Symptom: a caller waits for an answer that will not come. Sequence: the
// target takes the request and goes silent. Cause: a deadline that is only
// looked at when something arrives.
func TestDeadlineAnswersAtOnce(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		release := make(chan struct{})
		w.target("t1", func(rw http.ResponseWriter, r *http.Request) { <-release })
		started := time.Now()
		res, _, err := w.do("POST", "/", nil, headerTimeout, "700")
		refused(t, res, err, steering.ReasonDeadline, "unknown")
		assert.Equal(t, time.Since(started), 700*time.Millisecond)
		close(release)
		synctest.Wait()
		assert.DeepEqual(t, w.a.ended, []seam.OutcomeKind{seam.OutcomeTimeout})
		for _, bad := range []string{"0", "-1", "1e3", "99999999999", "x"} {
			res, _, err = w.do("GET", "/", nil, headerTimeout, bad)
			refused(t, res, err, steering.ReasonBadRequest, "no")
		}
	})
}

// Symptom: callers on bad links hold slots, or uploads that merely wait for a
// slow target are cut. Sequence: a body stalls; a body trickles; a body is
// taken slowly. Cause: time counted against the wrong side.
func TestSlowSenders(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.target("t1", ok)
		stalled, hold := io.Pipe()
		go func() { _, _ = hold.Write([]byte("a")) }()
		started := time.Now()
		res, _, err := w.do("POST", "/", stalled, headerTimeout, "60000")
		refused(t, res, err, steering.ReasonSlowSender, "unknown")
		assert.Assert(t, time.Since(started) <= paceSlack, "%v", time.Since(started))
		hold.Close()

		w.target("t1", func(rw http.ResponseWriter, r *http.Request) {
			var n int
			buf := make([]byte, 8<<10)
			for {
				m, err := r.Body.Read(buf)
				n += m
				if err != nil {
					break
				}
				time.Sleep(3 * time.Second)
			}
			fmt.Fprint(rw, n)
		})
		_, text, err := w.do("POST", "/", bytes.NewReader(make([]byte, 200<<10)), headerTimeout, "600000")
		assert.NilError(t, err)
		assert.Equal(t, text, fmt.Sprint(200<<10))
	})
}

// Symptom: every slot of a target is in use while it does nothing. Sequence:
// callers ask for long answers and stop reading. Cause: a write that waits for
// the caller for ever. A caller that reads slowly but steadily gets all of it.
func TestSlowReaders(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		const size = 40 * relayBuffer
		w.target("t1", func(rw http.ResponseWriter, r *http.Request) { _, _ = rw.Write(make([]byte, size)) })
		get := func() *http.Response {
			r, _ := http.NewRequest("GET", "http://"+callerA+"/", nil)
			r.Host = "tickets.example"
			res, err := w.client.Do(r)
			assert.NilError(t, err)
			return res
		}
		steady := get()
		read, buf := 0, make([]byte, relayBuffer)
		for {
			n, err := steady.Body.Read(buf)
			read += n
			if err != nil {
				break
			}
			time.Sleep(time.Duration(n) * time.Second / 1500) // the bound is 1024 a second
		}
		assert.Equal(t, read, size)

		w.target("t1", func(rw http.ResponseWriter, r *http.Request) {
			rw.Header().Set("Content-Length", strconv.Itoa(relayBuffer))
			_, _ = rw.Write(make([]byte, relayBuffer))
		})
		unread := get()
		synctest.Wait()
		assert.Equal(t, w.a.busy, 0, "a target that is done is kept by its caller")
		_, _ = io.Copy(io.Discard, unread.Body)

		w.target("t1", func(rw http.ResponseWriter, r *http.Request) { _, _ = rw.Write(make([]byte, size)) })
		stalled := get()
		time.Sleep(paceSlack + relayBuffer*time.Second/1024 + time.Second)
		w.settled() // with the caller still connected
		_, err := io.Copy(io.Discard, stalled.Body)
		assert.Assert(t, err != nil, "a cut answer passed for whole")
		assert.Equal(t, counted(w.a, "refusals"), int64(1))
	})
}

// Symptom: an oversized or malformed request hangs, or ends without a reason.
func TestLimitsAreTyped(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.target("t1", ok)
		w.snapshot.Services["tickets"].MaxBodyBytes = 100
		res, _, err := w.do("POST", "/", bytes.NewReader(make([]byte, 101)))
		refused(t, res, err, steering.ReasonBodyTooLarge, "no")
		res, _, err = w.do("POST", "/", io.MultiReader(bytes.NewReader(make([]byte, 101))))
		refused(t, res, err, steering.ReasonBodyTooLarge, "unknown")
		w.a.limits.HeaderBytes = 4096
		res, _, err = w.do("GET", "/", nil, "X-Big", strings.Repeat("x", 5000))
		refused(t, res, err, steering.ReasonBadRequest, "no")
		res, _, err = w.do("GET", "/", nil, "Connection", "Upgrade", "Upgrade", "websocket")
		refused(t, res, err, steering.ReasonBadRequest, "no")
		res, _, err = w.do("POST", "/", nil, headerKey, "INCA.short")
		refused(t, res, err, steering.ReasonBadRequest, "no")
		res, _, err = w.do("GET", "/", nil, headerService, "none")
		refused(t, res, err, steering.ReasonNoService, "no")
		assert.Equal(t, counted(w.a, "refusals"), int64(6))
		w.a.limits.CallerConnections = 0
		w.client.CloseIdleConnections()
		res, _, err = w.do("GET", "/", nil)
		refused(t, res, err, steering.ReasonConnections, "no")
	})
}
