package forward

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/node/seam"
	"heatherlock/steering"
)

const keyA = "INCA-1.abcdefgh1"

// ok answers with the request's method, path and body.
func ok(w http.ResponseWriter, r *http.Request) {
	text, _ := io.ReadAll(r.Body)
	fmt.Fprintf(w, "%s %s %s", r.Method, r.URL.RequestURI(), text)
}

// die reads the request and breaks the connection off.
func die(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	panic(http.ErrAbortHandler)
}

func refused(t *testing.T, res *http.Response, err error, reason steering.Reason, ran string) {
	t.Helper()
	assert.NilError(t, err)
	assert.Equal(t, res.Header.Get(headerReason), string(reason))
	assert.Equal(t, res.Header.Get(headerRan), ran)
	assert.Equal(t, res.StatusCode, steering.Reasons[reason].Status)
	assert.Equal(t, res.Header.Get("Content-Type"), "application/problem+json")
}

// settled checks that every slot was given back.
func (w *world) settled() {
	w.t.Helper()
	synctest.Wait()
	for _, e := range []*entry{w.a, w.b} {
		e.mu.Lock()
		assert.Equal(w.t, e.busy, 0, "slots not given back")
		e.mu.Unlock()
		assert.Equal(w.t, e.InFlight(), 0)
	}
}

func inWorld(t *testing.T, f func(t *testing.T, w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		f(t, w)
		w.settled()
		w.client.CloseIdleConnections()
	})
}

func TestMessagePassesUnchanged(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.target("t1", func(rw http.ResponseWriter, r *http.Request) {
			for _, gone := range []string{"X-Private", "Keep-Alive", "Proxy-Authorization", headerKey, headerTimeout} {
				assert.Equal(t, r.Header.Get(gone), "", gone)
			}
			assert.Equal(t, r.Host, "tickets.example")
			assert.Equal(t, r.Header.Get("Accept"), "a/b")
			assert.Equal(t, r.Header.Get("Via"), "1.1 ea")
			_, hasAgent := r.Header["User-Agent"]
			assert.Assert(t, !hasAgent)
			rw.Header().Set("Connection", "X-Hop")
			rw.Header().Set("X-Hop", "secret")
			rw.Header().Set(headerReason, "forged")
			rw.Header().Set("X-Answer", "yes")
			rw.Header().Set("Trailer", "X-Sum")
			rw.WriteHeader(http.StatusAccepted)
			text, _ := io.ReadAll(r.Body)
			fmt.Fprintf(rw, "%s %s %d", r.Method, r.RequestURI, len(text))
			rw.Header().Set("X-Sum", r.Trailer.Get("X-Mark"))
		})
		for _, size := range []int{0, 1, smallBody, smallBody + 1, 3 << 20} {
			for _, method := range []string{"GET", "POST", "PURGE"} {
				body := io.Reader(bytes.NewReader(make([]byte, size)))
				if size == 0 {
					body = nil
				}
				res, text, err := w.do(method, "/a//b%2Fc?q=%20;x", body, "Connection", "X-Private", "X-Private", "1",
					"Keep-Alive", "5", "Proxy-Authorization", "p", "Accept", "a/b", "User-Agent", "",
					headerTimeout, "4000", "X-Request-Id", "mine")
				assert.NilError(t, err)
				assert.Equal(t, res.StatusCode, http.StatusAccepted)
				assert.Equal(t, text, fmt.Sprintf("%s /a//b%%2Fc?q=%%20;x %d", method, size))
				assert.Equal(t, res.Header.Get("X-Hop")+res.Header.Get(headerReason), "")
				assert.Equal(t, res.Header.Get("X-Answer"), "yes")
				assert.Equal(t, res.Header.Get("X-Request-Id"), "mine")
				assert.Equal(t, res.Header.Get(headerVia), "ea")
				assert.Equal(t, res.Header.Get(headerIncarnation), "INCA")
				assert.Assert(t, strings.HasPrefix(res.Header.Get(headerKeyPrefix), "INCA-"))
			}
		}
	})
}

func TestTrailersInterimAnswersAndHead(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.target("t1", func(rw http.ResponseWriter, r *http.Request) {
			if r.Method == "HEAD" {
				rw.Header().Set("Content-Length", "77")
				return
			}
			rw.Header().Set("Link", "</style>")
			rw.WriteHeader(http.StatusEarlyHints)
			rw.Header().Set("Trailer", "X-Sum")
			_, _ = io.Copy(rw, r.Body)
			rw.Header().Set("X-Sum", r.Trailer.Get("X-Mark"))
			rw.Header().Set(http.TrailerPrefix+"X-Late", "2")
		})
		var hints string
		r, _ := http.NewRequest("PUT", "http://"+callerA+"/", io.MultiReader(strings.NewReader("whole")))
		r.Host = "tickets.example:80"
		r.Trailer = http.Header{"X-Mark": {"end"}}
		r = r.WithContext(httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
			Got1xxResponse: func(code int, h textproto.MIMEHeader) error { hints = fmt.Sprint(code, h.Get("Link")); return nil },
		}))
		res, err := w.client.Do(r)
		assert.NilError(t, err)
		text, err := io.ReadAll(res.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(text), "whole")
		assert.Equal(t, hints, "103</style>")
		assert.Equal(t, res.Trailer.Get("X-Sum")+res.Trailer.Get("X-Late"), "end2")

		res, _, err = w.do("HEAD", "/", nil)
		assert.NilError(t, err)
		assert.Equal(t, res.ContentLength, int64(77))
	})
}

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

func counted(e *entry, name string) int64 {
	var sum int64
	for _, c := range e.scope.Snapshot().Counters() {
		if c.Name() == name {
			sum += c.Value()
		}
	}
	return sum
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

// rawTarget answers each request by writing bytes itself.
func (w *world) rawTarget(name string, answer func(id string, out io.Writer)) {
	l := w.listen(targetAddress(name))
	w.t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				in := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					answer(r.Header.Get("X-Request-Id"), c)
				}
			}()
		}
	}()
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
