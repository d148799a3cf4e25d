package forward

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/steering"
)

const keyA = "INCA-1.abcdefgh1"

// ok responds with the request's method, path and body.
func ok(w http.ResponseWriter, r *http.Request) {
	text, _ := io.ReadAll(r.Body)
	fmt.Fprintf(w, "%s %s %s", r.Method, r.URL.RequestURI(), text)
}

// breakConnection reads the request and closes the connection without a response.
func breakConnection(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	panic(http.ErrAbortHandler)
}

func assertRefused(t *testing.T, res *http.Response, err error, reason steering.Reason, ran string) {
	t.Helper()
	assert.NilError(t, err)
	assert.Equal(t, res.Header.Get(headerReason), string(reason))
	assert.Equal(t, res.Header.Get(headerRan), ran)
	assert.Equal(t, res.StatusCode, steering.Reasons[reason].Status)
	assert.Equal(t, res.Header.Get("Content-Type"), "application/problem+json")
}

// assertSlotsReleased checks that every slot was released and no request is in progress.
func (w *testbed) assertSlotsReleased() {
	w.t.Helper()
	synctest.Wait()
	for _, e := range []*entryVM{w.a, w.b} {
		e.mu.Lock()
		assert.Equal(w.t, e.busy, 0, "slots not released")
		e.mu.Unlock()
		assert.Equal(w.t, e.InFlight(), 0)
	}
}

func inTestbed(t *testing.T, f func(t *testing.T, w *testbed)) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestbed(t)
		f(t, w)
		w.assertSlotsReleased()
		w.client.CloseIdleConnections()
		time.Sleep(time.Second) // connections closed after a refusal linger
	})
}

func counterValue(e *entryVM, name string) int64 {
	var sum int64
	for _, c := range e.scope.Snapshot().Counters() {
		if c.Name() == name {
			sum += c.Value()
		}
	}
	return sum
}

// rawTarget serves a target whose responses are the raw bytes that answer writes.
func (w *testbed) rawTarget(name string, answer func(id string, out io.Writer)) {
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
