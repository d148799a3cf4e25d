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

// Guards against a caller that waits for a response that never comes, because the target accepted
// the request and stopped responding, and the deadline was only checked when data arrived.
func TestDeadlineRefusesImmediately(t *testing.T) {
	inTestbed(t, func(t *testing.T, w *testbed) {
		release := make(chan struct{})
		w.target("t1", func(rw http.ResponseWriter, r *http.Request) { <-release })
		started := time.Now()
		res, _, err := w.do("POST", "/", nil, headerTimeout, "700")
		assertRefused(t, res, err, steering.ReasonDeadline, "unknown")
		assert.Equal(t, time.Since(started), 700*time.Millisecond)
		close(release)
		synctest.Wait()
		assert.DeepEqual(t, w.a.ended, []seam.OutcomeKind{seam.OutcomeTimeout})
		for _, bad := range []string{"0", "-1", "1e3", "99999999999", "x"} {
			res, _, err = w.do("GET", "/", nil, headerTimeout, bad)
			assertRefused(t, res, err, steering.ReasonBadRequest, "no")
		}
	})
}

// Guards against callers on bad links that hold slots while their upload stalls, and against
// aborting uploads that only wait for a slow target: only the time spent waiting for the caller may
// count.
func TestSlowSenders(t *testing.T) {
	inTestbed(t, func(t *testing.T, w *testbed) {
		w.target("t1", ok)
		stalled, hold := io.Pipe()
		go func() { _, _ = hold.Write([]byte("a")) }()
		started := time.Now()
		res, _, err := w.do("POST", "/", stalled, headerTimeout, "60000")
		assertRefused(t, res, err, steering.ReasonSlowSender, "unknown")
		assert.Assert(t, time.Since(started) <= minRateSlack, "%v", time.Since(started))
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

// Guards against slots that stay in use on an idle target because callers request long responses
// and stop reading. A caller that reads slowly but steadily receives the whole response.
func TestSlowReaders(t *testing.T) {
	inTestbed(t, func(t *testing.T, w *testbed) {
		const size = 40 * relayBufferBytes
		w.target("t1", func(rw http.ResponseWriter, r *http.Request) { _, _ = rw.Write(make([]byte, size)) })
		get := func() *http.Response {
			r, _ := http.NewRequest("GET", "http://"+callerA+"/", nil)
			r.Host = "tickets.example"
			res, err := w.client.Do(r)
			assert.NilError(t, err)
			return res
		}
		steady := get()
		read, buf := 0, make([]byte, relayBufferBytes)
		for {
			n, err := steady.Body.Read(buf)
			read += n
			if err != nil {
				break
			}
			time.Sleep(time.Duration(n) * time.Second / 1500) // the minimum is 1024 bytes per second
		}
		assert.Equal(t, read, size)

		w.target("t1", func(rw http.ResponseWriter, r *http.Request) {
			rw.Header().Set("Content-Length", strconv.Itoa(relayBufferBytes))
			_, _ = rw.Write(make([]byte, relayBufferBytes))
		})
		unread := get()
		synctest.Wait()
		assert.Equal(t, w.a.busy, 0, "the slot of a finished target is still in use while its caller reads")
		_, _ = io.Copy(io.Discard, unread.Body)

		w.target("t1", func(rw http.ResponseWriter, r *http.Request) { _, _ = rw.Write(make([]byte, size)) })
		stalled := get()
		time.Sleep(minRateSlack + relayBufferBytes*time.Second/1024 + time.Second)
		w.assertSlotsReleased() // while the caller is still connected
		_, err := io.Copy(io.Discard, stalled.Body)
		assert.Assert(t, err != nil, "a truncated response was accepted as complete")
		assert.Equal(t, counterValue(w.a, "refusals"), int64(1))
	})
}

// Guards against oversized or malformed requests that hang or fail without a reason.
func TestLimitViolationsHaveReasons(t *testing.T) {
	inTestbed(t, func(t *testing.T, w *testbed) {
		w.target("t1", ok)
		w.snapshot.Services["tickets"].MaxBodyBytes = 100
		res, _, err := w.do("POST", "/", bytes.NewReader(make([]byte, 101)))
		assertRefused(t, res, err, steering.ReasonBodyTooLarge, "no")
		res, _, err = w.do("POST", "/", io.MultiReader(bytes.NewReader(make([]byte, 101))))
		assertRefused(t, res, err, steering.ReasonBodyTooLarge, "unknown")
		w.a.limits.HeaderBytes = 4096
		res, _, err = w.do("GET", "/", nil, "X-Big", strings.Repeat("x", 5000))
		assertRefused(t, res, err, steering.ReasonBadRequest, "no")
		res, _, err = w.do("GET", "/", nil, "Connection", "Upgrade", "Upgrade", "websocket")
		assertRefused(t, res, err, steering.ReasonBadRequest, "no")
		res, _, err = w.do("POST", "/", nil, headerKey, "INCA.short")
		assertRefused(t, res, err, steering.ReasonBadRequest, "no")
		res, _, err = w.do("GET", "/", nil, headerService, "none")
		assertRefused(t, res, err, steering.ReasonNoService, "no")
		assert.Equal(t, counterValue(w.a, "refusals"), int64(6))
		w.a.limits.CallerConnections = 0
		w.client.CloseIdleConnections()
		res, _, err = w.do("GET", "/", nil)
		assertRefused(t, res, err, steering.ReasonTooManyConnections, "no")
	})
}
