package forward

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/standin/endpoint"
)

const (
	named = "X-Request-Id: {id}\r\n"
	sized = "Content-Length: {length}\r\n\r\n{body}"
	usual = "HTTP/1.1 200 OK\r\n" + named + sized
)

// malformedHeads are responses whose heads break the protocol.
var malformedHeads = map[string]string{
	"chunks of HTTP/1.0":               "HTTP/1.0 200 OK\r\n" + named + "Transfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n",
	"chunks and a length of HTTP/1.0":  "HTTP/1.0 200 OK\r\ntransfer-encoding:chunked\r\n" + named + "Content-Length: 2\r\n\r\nno",
	"status 000":                       "HTTP/1.1 000 \r\n" + named + sized,
	"status 000 in front of another":   "HTTP/1.1 000 None\r\n" + named + "\r\n" + usual,
	"status 099":                       "HTTP/1.1 099 Low\r\n" + named + sized,
	"status 600":                       "HTTP/1.1 600 High\r\n" + named + sized,
	"unasked switch of protocols":      "HTTP/1.1 101 Switching Protocols\r\n" + named + "Connection: Upgrade\r\nUpgrade: other\r\n\r\n" + usual,
	"version 2":                        "HTTP/2.0 200 OK\r\n" + named + sized,
	"blank in a name":                  "HTTP/1.1 200 OK\r\n" + named + "X Bad: 1\r\n" + sized,
	"blank behind Content-Length":      "HTTP/1.1 200 OK\r\n" + named + "Content-Length : {length}\r\n\r\n{body}",
	"blank behind Transfer-Encoding":   "HTTP/1.1 200 OK\r\n" + named + "Transfer-Encoding : chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n",
	"blank in front of the first name": "HTTP/1.1 200 OK\r\n X-Bad: 1\r\n" + named + sized,
	"tab in a name":                    "HTTP/1.1 200 OK\r\n" + named + "X\tBad: 1\r\n" + sized,
	"control byte in a name":           "HTTP/1.1 200 OK\r\n" + named + "X\x01Bad: 1\r\n" + sized,
	"interim with a blank in a name":   "HTTP/1.1 103 Early Hints\r\nX Bad: 1\r\n\r\n" + usual,
	"interim with a control byte":      "HTTP/1.1 103 Early Hints\r\nX\x01Bad: 1\r\n\r\n" + usual,
	"trailer with a blank in a name":   "HTTP/1.1 200 OK\r\n" + named + "Transfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\nX Bad: 1\r\n\r\n",
	"trailer with a control byte":      "HTTP/1.1 200 OK\r\n" + named + "Transfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\nX\x01Bad: 1\r\n\r\n",
}

// Guards against a malformed response that callers get as an answer, with its own body or with another one.
func TestMalformedResponseIsNotPassedOn(t *testing.T) {
	for name, text := range malformedHeads {
		for end, closes := range map[string]bool{"closed": true, "open": false} {
			t.Run(name+", "+end, func(t *testing.T) {
				inTestbed(t, func(t *testing.T, w *testbed) {
					w.rawTarget("t1", func(id string, out io.Writer) {
						_, _ = io.WriteString(out, endpoint.Script{Text: text}.Expand(id, "the whole"))
						if closes {
							_ = out.(io.Closer).Close()
						}
					})
					w.target("t2", ok)
					started := time.Now()
					res, body, err := w.do("POST", "/", nil)
					late := strings.HasPrefix(name, "trailer") && res == nil // its head was sent
					assert.Check(t, late || err == nil && res.StatusCode == http.StatusBadGateway && res.Header.Get(headerRan) == "unknown", "%v %v %q", res, err, body)
					assert.Check(t, time.Since(started) < time.Second, "%v", time.Since(started))
					if !strings.HasPrefix(name, "trailer") {
						res, body, err = w.do("GET", "/", nil)
						assert.NilError(t, err)
						assert.Check(t, res.StatusCode == http.StatusOK && body == "GET / ", "%v %q", res, body)
					}
				})
			})
		}
	}
}

// Guards against a lawful response that is refused because its head is unusual.
func TestUnusualResponseIsPassedOn(t *testing.T) {
	for name, text := range map[string]string{
		"folded line":          "HTTP/1.1 200 OK\r\n" + named + "X-Good: 1\r\n Content-Length: 2\r\n" + sized,
		"bare line feeds":      strings.ReplaceAll(usual, "\r\n", "\n"),
		"blanks around values": "HTTP/1.1 200 Fabulous\r\nX-Request-Id:     {id}  \r\n" + sized,
		"names in lower case":  "HTTP/1.1 200\r\n" + strings.ToLower(named) + "content-length: {length}\r\n\r\n{body}",
		"HTTP/1.0":             "HTTP/1.0 200 OK\r\n" + named + sized,
		"interim in front":     "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + usual,
		"trailer":              "HTTP/1.1 200 OK\r\n" + named + "Transfer-Encoding: chunked\r\n\r\n9\r\nthe whole\r\n0\r\nx-sum: 1\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			inTestbed(t, func(t *testing.T, w *testbed) {
				w.rawTarget("t1", func(id string, out io.Writer) {
					_, _ = io.WriteString(out, endpoint.Script{Text: text}.Expand(id, "the whole"))
				})
				res, body, err := w.do("POST", "/", nil)
				assert.NilError(t, err)
				assert.Check(t, res.StatusCode == http.StatusOK && body == "the whole", "%v %q", res, body)
			})
		})
	}
}

// Guards against a response that ends within its head and that callers get as a complete one.
func TestResponseCutWithinItsHeadIsNotPassedOn(t *testing.T) {
	for name, head := range map[string]string{"length": usual, "interim": "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + usual,
		"chunks": "HTTP/1.1 200 OK\r\n" + named + "Transfer-Encoding: chunked\r\n\r\n"} {
		inTestbed(t, func(t *testing.T, w *testbed) {
			end := strings.LastIndex(head, "\r\n\r\n") + 3
			for n := range end + 1 {
				w.rawTarget("t1", func(_ string, out io.Writer) {
					_, _ = io.WriteString(out, strings.Replace(head, "{length}", "9", 1)[:n])
					_ = out.(io.Closer).Close()
				})
				res, body, err := w.do("POST", "/", nil)
				assert.NilError(t, err)
				assert.Check(t, res.StatusCode == http.StatusBadGateway, "%s cut at %d: %v %q", name, n, res, body)
			}
		})
	}
}

// Guards against a promise that a request has not run, taken from a refusal that breaks off or breaks the protocol.
func TestBrokenRefusalPromisesNothing(t *testing.T) {
	refusal := "HTTP/1.1 503 Full\r\n" + named + "Target-Not-Run: true\r\n"
	for name, text := range map[string]string{
		"cut within its body": refusal + "Content-Length: 9\r\n\r\nfull",
		"malformed":           refusal + "X Bad: 1\r\nContent-Length: 0\r\n\r\n",
		"malformed trailer":   refusal + "Transfer-Encoding: chunked\r\n\r\n0\r\nX Bad: 1\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			inTestbed(t, func(t *testing.T, w *testbed) {
				w.target("t2", ok)
				w.rawTarget("t1", func(id string, out io.Writer) {
					_, _ = io.WriteString(out, endpoint.Script{Text: text}.Expand(id, ""))
					_ = out.(io.Closer).Close()
				})
				res, body, err := w.do("POST", "/", nil)
				assert.NilError(t, err)
				assert.Check(t, res.StatusCode == http.StatusBadGateway && res.Header.Get(headerRan) == "unknown", "%v %q", res, body)
				assert.Equal(t, w.ran("t2"), 0)
			})
		})
	}
}

// Guards against a request that is sent on the connection of a malformed response, as the library has made it idle before the
// response is checked.
func TestConnectionOfMalformedResponseCarriesNoOtherRequest(t *testing.T) {
	for name, text := range map[string]string{
		"head":    "HTTP/1.1 200 OK\r\n" + named + "X Bad: 1\r\nContent-Length: 0\r\n\r\n",
		"trailer": "HTTP/1.1 200 OK\r\n" + named + "Transfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\nX Bad: 1\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			inTestbed(t, func(t *testing.T, w *testbed) {
				w.snapshot.Places["p-a"].Targets = w.snapshot.Places["p-a"].Targets[:1]
				w.a.targets.MaxConnsPerHost = 2
				var spoilt sync.Map // connections on which a malformed response was sent
				var reused atomic.Int64
				w.rawTarget("t1", func(id string, out io.Writer) {
					if _, again := spoilt.LoadOrStore(out, true); again {
						reused.Add(1)
					}
					_, _ = io.WriteString(out, strings.ReplaceAll(text, "{id}", id))
				})
				var all sync.WaitGroup
				for range 8 {
					all.Go(func() {
						for range 25 {
							_, _, _ = w.do("POST", "/", nil) // what is answered is the matter of other tests
						}
					})
				}
				all.Wait()
				assert.Equal(t, reused.Load(), int64(0))
			})
		})
	}
}

// Guards against "not run" that is told of a hedged request because one of its tries got a refusal that broke off.
func TestBrokenRefusalOfAHedgedTryPromisesNothing(t *testing.T) {
	inTestbed(t, func(t *testing.T, w *testbed) {
		service := w.snapshot.Services["tickets"]
		service.RetryPercent, service.HedgeAfter = 100, 50*time.Millisecond
		w.a.retries = NewRetries(w.a, w.a.scope)
		w.target("t1", ok)
		w.target("t2", ok)
		for range 40 {
			w.send(w.a, "GET", "")
		}
		w.a.targets.CloseIdleConnections()
		refuse := func(name string, after time.Duration, length string) {
			w.rawTarget(name, func(id string, out io.Writer) {
				time.Sleep(after)
				text := "HTTP/1.1 503 Full\r\n" + named + "Target-Not-Run: true\r\nContent-Length: " + length + "\r\n\r\nfull"
				_, _ = io.WriteString(out, strings.ReplaceAll(text, "{id}", id))
				_ = out.(io.Closer).Close()
			})
		}
		for broken, lengths := range map[string][2]string{"none": {"4", "4"}, "the first": {"9", "4"}, "the second": {"4", "9"}} {
			refuse("t1", 100*time.Millisecond, lengths[0])
			refuse("t2", 200*time.Millisecond, lengths[1])
			res, _, err := w.do("GET", "/", nil)
			assert.NilError(t, err)
			ran := "unknown"
			if broken == "none" {
				ran = "no"
			}
			assert.Check(t, res.Header.Get(headerRan) == ran, "%s broke off: %s %s", broken, res.Header.Get(headerRan), res.Header.Get(headerReason))
		}
	})
}
