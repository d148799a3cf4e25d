package forward

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/steering"
)

// Symptom: a purchase runs twice, or a refusal says "not run" of one that ran.
// Sequence: a target dies with the request in its hands. Cause: a broken
// exchange taken for one that never left. A POST must end as unknown after one
// run; a GET moves to the other target.
func TestTargetDiesMidRequest(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.target("t1", die)
		w.target("t2", ok)
		for range 2 { // the second round meets connections that broke before
			res, _, err := w.do("POST", "/", strings.NewReader("buy"))
			refused(t, res, err, steering.ReasonTargetDied, "unknown")
			_, text, err := w.do("GET", "/", nil)
			assert.NilError(t, err)
			assert.Equal(t, text, "GET / ")
		}
		assert.Equal(t, w.ran("t1"), 4)
		assert.Equal(t, w.ran("t2"), 2)
		w.a.allow = false // budget spent: the GET ends with its first try
		res, _, err := w.do("GET", "/", nil)
		refused(t, res, err, steering.ReasonTargetDied, "unknown")
	})
}

// Symptom: one POST arrives at a target twice. Sequence: the target closes a
// connection that it answered on before, as the next request is sent on it.
// Cause: the HTTP client repeats by itself what it takes for idempotent: a GET,
// or any request under an Idempotency-Key.
func TestClientNeverRepeatsByItself(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.snapshot.Services["tickets"].NonIdempotent = []string{"POST", "GET", "HEAD", "OPTIONS"}
		first := true
		w.target("t1", func(rw http.ResponseWriter, r *http.Request) {
			if first {
				first = false
				ok(rw, r)
				return
			}
			die(rw, r)
		})
		for i, method := range []string{"GET", "POST", "HEAD", "OPTIONS"} {
			first = true
			w.runs["t1"] = 0
			_, _, err := w.do("PUT", "/", strings.NewReader("warm"))
			assert.NilError(t, err)
			res, _, err := w.do(method, "/", nil, "Idempotency-Key", "k")
			assert.NilError(t, err)
			assert.Equal(t, res.Header.Get(headerRan), "unknown", method)
			assert.Equal(t, w.ran("t1"), 2, "round %d", i)
		}
	})
}

// Symptom: a caller takes half an answer for a whole one. Sequence: the target
// ends its answer early, before or after part of it went to the caller. Cause:
// a cut that the next process frames as an end. It is repeated where that is
// safe, refused while nothing was sent, and broken off after that.
func TestShortAnswers(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		short := func(length int) http.HandlerFunc {
			return func(rw http.ResponseWriter, r *http.Request) {
				rw.Header().Set("Content-Length", fmt.Sprint(length))
				_, _ = rw.Write(make([]byte, length/2))
				rw.(http.Flusher).Flush()
				panic(http.ErrAbortHandler)
			}
		}
		w.target("t2", ok)
		w.target("t1", short(1000))
		_, text, err := w.do("GET", "/", nil)
		assert.NilError(t, err)
		assert.Equal(t, text, "GET / ")
		res, _, err := w.do("POST", "/", nil)
		refused(t, res, err, steering.ReasonAnswerCut, "unknown")

		w.target("t1", short(4*relayBuffer))
		_, _, err = w.do("GET", "/", nil)
		assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF), "%v", err)
		w.target("t1", func(rw http.ResponseWriter, r *http.Request) {
			_, _ = rw.Write([]byte("part"))
			rw.(http.Flusher).Flush()
			time.Sleep(time.Second)
			panic(http.ErrAbortHandler)
		})
		_, text, err = w.do("GET", "/", nil)
		assert.Assert(t, err != nil, "half an answer passed for whole: %q", text)
		assert.Equal(t, counted(w.a, "answers_aborted"), int64(2))
	})
}

// Symptom: a bather sees another's ticket. Sequence: a target answers a
// request with the answer to another one, or sends one answer twice, so that
// the copy waits on the connection for the next request. Cause: answers told
// apart by their order alone.
func TestCrossedAndDuplicatedAnswers(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.target("t1", func(rw http.ResponseWriter, r *http.Request) {
			rw.Header().Set("X-Request-Id", "INCA-zzz")
			fmt.Fprint(rw, "somebody else's")
		})
		w.target("t2", ok)
		_, text, err := w.do("GET", "/", nil)
		assert.NilError(t, err)
		assert.Equal(t, text, "GET / ")
		res, _, err := w.do("POST", "/", nil)
		refused(t, res, err, steering.ReasonAnswerCrossed, "unknown")

		w.a.targets.CloseIdleConnections()
		w.rawTarget("t1", func(id string, out io.Writer) {
			answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: 3\r\nX-Request-Id: %s\r\n\r\none", id)
			fmt.Fprint(out, answer, answer)
		})
		for i := range 6 {
			res, text, err := w.do("GET", fmt.Sprint("/", i), nil)
			assert.NilError(t, err)
			own := text == "one" || text == fmt.Sprintf("GET /%d ", i)
			assert.Assert(t, own && res.StatusCode == 200, "%d %q", res.StatusCode, text)
		}
	})
}

// Symptom: work refused by a full target is lost, or a POST is retried without
// proof. Sequence: the target sheds with its typed refusal, or can't be reached
// at all, or answers 503 without saying that it did not run it.
func TestRetryOnlyAfterProof(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.target("t2", ok)
		_, text, err := w.do("POST", "/unreachable", strings.NewReader("b")) // t1 is not listening
		assert.NilError(t, err)
		assert.Equal(t, text, "POST /unreachable b")
		w.target("t1", func(rw http.ResponseWriter, r *http.Request) {
			rw.Header().Set(targetNotRun, "true")
			rw.WriteHeader(http.StatusServiceUnavailable)
		})
		_, text, err = w.do("POST", "/shed", strings.NewReader("b"))
		assert.NilError(t, err)
		assert.Equal(t, text, "POST /shed b")
		w.a.allow = false
		res, _, err := w.do("POST", "/shed", strings.NewReader("b"))
		refused(t, res, err, steering.ReasonShed, "no")
		w.a.allow = true
		w.target("t1", func(rw http.ResponseWriter, r *http.Request) { rw.WriteHeader(http.StatusServiceUnavailable) })
		res, _, err = w.do("POST", "/", strings.NewReader("b"))
		assert.NilError(t, err)
		assert.Equal(t, res.StatusCode, http.StatusServiceUnavailable)
		assert.Equal(t, res.Header.Get(headerReason), "")
		_, text, err = w.do("GET", "/", nil)
		assert.NilError(t, err)
		assert.Equal(t, text, "GET / ")
	})
}

// Symptom: an upload is cut, or its slot kept, when the caller or the target
// acts early. Sequence: the target answers before it took the body; the caller
// goes away half-way. Cause: an abandoned exchange whose connection lives on.
func TestAbandonedExchangesFreeTheirConnection(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.rawTarget("t1", func(id string, out io.Writer) {
			fmt.Fprintf(out, "HTTP/1.1 401 Unauthorized\r\nContent-Length: 2\r\nX-Request-Id: %s\r\n\r\nno", id)
		})
		for range 3 {
			pipe, hold := io.Pipe()
			go func() { _, _ = hold.Write(make([]byte, 50)) }()
			res, text, err := w.do("POST", "/", pipe)
			assert.NilError(t, err)
			assert.Equal(t, fmt.Sprint(res.StatusCode, text), "401no")
			hold.CloseWithError(net.ErrClosed)
		}
		w.target("t2", func(rw http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
		w.a.slots["t1"] = 0
		pipe, hold := io.Pipe()
		time.AfterFunc(300*time.Millisecond, func() { hold.CloseWithError(net.ErrClosed) })
		_, _, err := w.do("POST", "/", pipe)
		assert.Assert(t, err != nil)
	})
}

// Symptom: a caller who uploads over a bad link learns late that its upload
// failed. Sequence: the target dies, or the deadline passes, while the caller
// pauses within its body. Cause: the HTTP client waits for its writer, which
// waits for the caller.
func TestFailureDuringStalledUploadIsToldAtOnce(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.target("t1", func(rw http.ResponseWriter, r *http.Request) {
			time.Sleep(time.Second)
			conn, _, _ := http.NewResponseController(rw).Hijack()
			conn.Close()
		})
		upload := func(timeout string) (*http.Response, time.Duration, error) {
			pipe, hold := io.Pipe()
			go func() {
				_, _ = hold.Write(make([]byte, 50))
				time.Sleep(8 * time.Second)
				hold.CloseWithError(net.ErrClosed)
			}()
			started := time.Now()
			res, _, err := w.do("POST", "/", pipe, headerTimeout, timeout)
			return res, time.Since(started), err
		}
		res, took, err := upload("60000")
		refused(t, res, err, steering.ReasonTargetDied, "unknown")
		assert.Equal(t, took, time.Second)
		res, took, err = upload("700")
		refused(t, res, err, steering.ReasonDeadline, "unknown")
		assert.Equal(t, took, 700*time.Millisecond)
		time.Sleep(10 * time.Second)
	})
}
