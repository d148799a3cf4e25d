package forward

import (
	"io"
	"net/http"
	"strings"
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
	"status 000":                     "HTTP/1.1 000 \r\n" + named + sized,
	"status 000 in front of another": "HTTP/1.1 000 None\r\n" + named + "\r\n" + usual,
	"status 099":                     "HTTP/1.1 099 Low\r\n" + named + sized,
	"status 600":                     "HTTP/1.1 600 High\r\n" + named + sized,
	"unasked switch of protocols":    "HTTP/1.1 101 Switching Protocols\r\n" + named + "Connection: Upgrade\r\nUpgrade: other\r\n\r\n" + usual,
	"version 2":                      "HTTP/2.0 200 OK\r\n" + named + sized,
}

// Guards against a response whose head breaks the protocol and that is passed on, or read with another body than was sent.
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
