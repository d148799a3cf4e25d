package relay_test

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"heatherlock/standin/endpoint"
)

const zeroed = "Content-Length: 0\r\n\r\n"

// malformedHeads are responses whose heads break the protocol.
var malformedHeads = map[string]string{
	"status 000":                        "HTTP/1.1 000 \r\n" + named + sized,
	"status 000 without a body":         "HTTP/1.1 000 None\r\n" + named + zeroed,
	"status 000 in front of a response": "HTTP/1.1 000 None\r\n" + named + "\r\n" + usual,
	"status 099":                        "HTTP/1.1 099 Low\r\n" + named + zeroed,
	"status 600":                        "HTTP/1.1 600 High\r\n" + named + sized,
	"status 999":                        "HTTP/1.1 999 High\r\n" + named + sized,
	"status with a sign":                "HTTP/1.1 +20 OK\r\n" + named + zeroed,
	"unasked switch of protocols":       "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: other\r\n\r\n" + usual,
	"version 2":                         "HTTP/2.0 200 OK\r\n" + named + sized,
	"version 0.9":                       "HTTP/0.9 200 OK\r\n" + named + sized,
}

// Guards against a response whose head breaks the protocol and that is passed on, or read with another body than was sent.
func TestMalformedResponseIsNotPassedOn(t *testing.T) {
	for name, text := range malformedHeads {
		for end, how := range map[string]endpoint.ScriptEnd{"closed": endpoint.EndClosed, "open": endpoint.EndOpen} {
			t.Run(name+", "+end, func(t *testing.T) {
				t.Parallel()
				g := newRig(t, 2, nil)
				g.scripted(endpoint.Script{Text: text, End: how})
				got := g.ask(http.MethodPost, "/buy/1", "x", scriptTime)
				assert.NilError(t, got.err)
				assert.Check(t, got.status == http.StatusBadGateway, "it may have run: status %d %v %q", got.status, got.header, got.body)
				assert.Check(t, got.took < scriptTime/3, "%v", got.took)
				assert.Equal(t, len(g.runs()), 1)

				g.scripted(endpoint.Script{Text: text, End: how})
				got = g.ask(http.MethodGet, "/read/1", "", scriptTime)
				assert.NilError(t, got.err)
				assert.Check(t, got.status == http.StatusOK && strings.HasPrefix(got.body, "the whole answer"), "status %d %v %q", got.status, got.header, got.body)
			})
		}
	}
}

// Guards against a response that ends within its head and is completed by this VM.
func TestResponseCutWithinItsHeadIsNotPassedOn(t *testing.T) {
	heads := map[string]string{"length": usual, "chunks": "HTTP/1.1 200 OK\r\n" + named + "Transfer-Encoding: chunked\r\n\r\n",
		"interim": "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + usual}
	for name, head := range heads {
		g := newRig(t, 1, func(c *endpoint.Config) { c.Work = 0 })
		end := strings.LastIndex(head, "\r\n\r\n") + 3
		for _, how := range []endpoint.ScriptEnd{endpoint.EndClosed, endpoint.EndReset} {
			for n := range end + 1 {
				g.targets[0].SetScript(endpoint.Script{Text: strings.Replace(head, "{length}", "31", 1)[:n], End: how})
				g.faults(func(int) endpoint.Fault { return endpoint.Scripted })
				got := g.ask(http.MethodPost, "/buy/1", "x", scriptTime)
				assert.NilError(t, got.err)
				assert.Check(t, got.status >= http.StatusInternalServerError, "%s cut at %d: status %d, %q", name, n, got.status, got.body)
			}
		}
	}
}
