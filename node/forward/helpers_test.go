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
		time.Sleep(time.Second) // connections closed after a refusal linger
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
