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

// Guards against running a purchase twice, or reporting "not run" for one that ran, when a target
// breaks the connection while it has the request and this is mistaken for a request that was never
// sent. A POST must end as unknown after one run; a GET is retried on the other target.
func TestTargetBreaksConnectionMidRequest(t *testing.T) {
	inTestbed(t, func(t *testing.T, w *testbed) {
		w.target("t1", breakConnection)
		w.target("t2", ok)
		for range 2 { // the second round uses targets whose connections broke before
			res, _, err := w.do("POST", "/", strings.NewReader("buy"))
			assertRefused(t, res, err, steering.ReasonTargetLost, "unknown")
			_, text, err := w.do("GET", "/", nil)
			assert.NilError(t, err)
			assert.Equal(t, text, "GET / ")
		}
		assert.Equal(t, w.ran("t1"), 4)
		assert.Equal(t, w.ran("t2"), 2)
		w.a.allow = false // no budget left: the GET fails after its first try
		res, _, err := w.do("GET", "/", nil)
		assertRefused(t, res, err, steering.ReasonTargetLost, "unknown")
	})
}

// Guards against one request reaching a target twice: when a target closes a reused connection, the
// HTTP client itself retries requests that it considers idempotent (a GET, or any request with an
// Idempotency-Key).
func TestHTTPClientNeverRetriesByItself(t *testing.T) {
	inTestbed(t, func(t *testing.T, w *testbed) {
		w.snapshot.Services["tickets"].NonIdempotent = []string{"POST", "GET", "HEAD", "OPTIONS"}
		first := true
		w.target("t1", func(rw http.ResponseWriter, r *http.Request) {
			if first {
				first = false
				ok(rw, r)
				return
			}
			breakConnection(rw, r)
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

// Guards against a truncated response that looks complete to the caller. A response that ends early
// must be retried where that is safe, refused while nothing was sent to the caller, and aborted
// after that.
func TestTruncatedResponses(t *testing.T) {
	inTestbed(t, func(t *testing.T, w *testbed) {
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
		assertRefused(t, res, err, steering.ReasonResponseTruncated, "unknown")

		w.target("t1", short(4*relayBufferBytes))
		_, _, err = w.do("GET", "/", nil)
		assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF), "%v", err)
		w.target("t1", func(rw http.ResponseWriter, r *http.Request) {
			_, _ = rw.Write([]byte("part"))
			rw.(http.Flusher).Flush()
			time.Sleep(time.Second)
			panic(http.ErrAbortHandler)
		})
		_, text, err = w.do("GET", "/", nil)
		assert.Assert(t, err != nil, "a truncated response was accepted as complete: %q", text)
		assert.Equal(t, counterValue(w.a, "answers_aborted"), int64(2))
	})
}

// Guards against delivering one caller's response to another because responses are matched by their
// order alone. A target may respond with the ID of another request, or send a response twice, so
// that the copy waits on the connection for the next request.
func TestMismatchedAndDuplicatedResponses(t *testing.T) {
	inTestbed(t, func(t *testing.T, w *testbed) {
		w.target("t1", func(rw http.ResponseWriter, r *http.Request) {
			rw.Header().Set("X-Request-Id", "INCA-zzz")
			fmt.Fprint(rw, "somebody else's")
		})
		w.target("t2", ok)
		_, text, err := w.do("GET", "/", nil)
		assert.NilError(t, err)
		assert.Equal(t, text, "GET / ")
		res, _, err := w.do("POST", "/", nil)
		assertRefused(t, res, err, steering.ReasonResponseMismatched, "unknown")

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

// Guards against losing work that a full target shed, and against retrying a POST without proof
// that it did not run: the target sheds with its typed refusal, is unreachable, or responds 503
// without stating that it did not run the request.
func TestRetryOnlyIfProvenNotRun(t *testing.T) {
	inTestbed(t, func(t *testing.T, w *testbed) {
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
		assertRefused(t, res, err, steering.ReasonShed, "no")
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

// Guards against connections and slots that stay in use after an exchange was abandoned: the target
// responds before it read the body, or the caller disconnects halfway through its upload.
func TestAbandonedExchangesReleaseConnections(t *testing.T) {
	inTestbed(t, func(t *testing.T, w *testbed) {
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

// Guards against reporting a failed upload late. If the target breaks the connection or the
// deadline passes while the caller pauses within its body, the HTTP client waits for its writer
// goroutine, which waits for the caller.
func TestFailureDuringStalledUploadIsReportedImmediately(t *testing.T) {
	inTestbed(t, func(t *testing.T, w *testbed) {
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
		assertRefused(t, res, err, steering.ReasonTargetLost, "unknown")
		assert.Equal(t, took, time.Second)
		res, took, err = upload("700")
		assertRefused(t, res, err, steering.ReasonDeadline, "unknown")
		assert.Equal(t, took, 700*time.Millisecond)
		time.Sleep(10 * time.Second)
	})
}

// Guards against a rest that a target asks for and that only the caller is told of.
func TestRestOfATargetReachesItsPool(t *testing.T) {
	inTestbed(t, func(t *testing.T, w *testbed) {
		w.target("t1", func(rw http.ResponseWriter, _ *http.Request) {
			rw.Header().Set(targetNotRun, "true")
			rw.Header().Set("Retry-After", "3")
			rw.WriteHeader(http.StatusServiceUnavailable)
		})
		w.target("t2", ok)
		_, text, err := w.do("GET", "/", nil)
		assert.NilError(t, err)
		assert.Equal(t, text, "GET / ")
		assert.DeepEqual(t, w.a.rests, []time.Duration{3 * time.Second, 0})
	})
}
