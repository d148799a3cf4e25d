package forward

import (
	"bufio"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/steering"
	"heatherlock/steering/once"
)

// FuzzTimeout checks that an accepted timeout equals its value as a strict decimal number and is
// within bounds.
func FuzzTimeout(f *testing.F) {
	for _, seed := range []string{"1", "0", "00000001", "86400000", "86400001", "-5", "+5", "1e3", " 7", "٣"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		timeout, ok := parseTimeout(text)
		if !ok {
			return
		}
		n, err := strconv.Atoi(text)
		assert.NilError(t, err)
		assert.Equal(t, timeout, time.Duration(n)*time.Millisecond)
		assert.Assert(t, timeout > 0 && timeout <= maxTimeout)
	})
}

// FuzzKey checks that a key is accepted in one spelling only, since two spellings of one key would
// be two executions.
func FuzzKey(f *testing.F) {
	for _, seed := range []string{"A-1.abcdefgh", "A-01.abcdefgh", "a-1.abcdefgh ", "-1.abcdefgh", "A-1.", "A.1-abcdefgh"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		x := &exchange{r: &http.Request{Header: http.Header{headerKey: {text}}}}
		if refusal := x.readKey(); refusal != nil {
			assert.Equal(t, refusal.Ran, steering.RanNo)
			assert.Equal(t, x.key, steering.Key(""))
			return
		}
		if text == "" {
			return
		}
		parts, err := once.ParseKey(x.key)
		assert.NilError(t, err)
		spelt := string(parts.Incarnation) + "-" + strconv.FormatInt(int64(parts.Epoch), 10) + "." + parts.Unique
		assert.Equal(t, text, spelt)
	})
}

// FuzzCopyEndToEnd parses whole header blocks with the server's own parser and checks that neither
// hop-by-hop fields nor the reserved fields of this system are copied.
func FuzzCopyEndToEnd(f *testing.F) {
	f.Add("Connection: close, X-A\r\nX-A: 1\r\nKeep-Alive: 5\r\nTE: trailers\r\nHeatherlock-Hop: 1\r\n")
	f.Add("connection: content-length,, ,host\r\nupgrade: h2c\r\nproxy-authorization: x\r\nvia: 1.1 x\r\n")
	f.Add("Connection: \x00\r\nheatherLOCK-key: a\r\n")
	f.Fuzz(func(t *testing.T, block string) {
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader("GET / HTTP/1.1\r\nHost: x\r\n" + block + "\r\n")))
		if err != nil {
			return
		}
		out := http.Header{}
		copyEndToEnd(out, r.Header)
		named := connectionNamed(r.Header["Connection"])
		for name := range out {
			assert.Assert(t, !isHopByHop(name) && !named[name], name)
			assert.Assert(t, !strings.HasPrefix(strings.ToLower(name), "heatherlock-"), name)
		}
		for name, values := range r.Header {
			dropped := isHopByHop(name) || named[name] || strings.HasPrefix(name, reservedPrefix)
			assert.Assert(t, dropped || len(out[name]) == len(values), name)
		}
	})
}

// FuzzPeerResponseHeaders checks that parsing a peer's headers yields RanNo only for the exact text
// "no", and never a retry delay above maxRetryAfter.
func FuzzPeerResponseHeaders(f *testing.F) {
	f.Add("no", "200")
	f.Add("NO", "-1")
	f.Add("", "9999999999999999999")
	f.Fuzz(func(t *testing.T, ran, after string) {
		got := parseRan(ran)
		assert.Assert(t, got != steering.RanNo || ran == "no")
		h := http.Header{headerRetryAfter: {after}, "Retry-After": {after}}
		for _, d := range []time.Duration{peerRetryAfter(h), retryAfter(h)} {
			assert.Assert(t, d >= 0 && d <= maxRetryAfter)
		}
	})
}
