package responses_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"heatherlock/responses"
	"heatherlock/standin/resetlinks"
)

// serve answers each request with answer, which gets its head and the connection.
func serve(t *testing.T, answer func(c *net.TCPConn, r *http.Request)) (url string) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				in := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(in)
					if err != nil {
						_ = c.Close()
						return
					}
					answer(c.(*net.TCPConn), r)
				}
			}()
		}
	}()
	return "http://" + listener.Addr().String()
}

// Guards against a part of a response of the store or of a peer that is taken for all of it, because the write of the
// request took the only report of the reset.
func TestTransportTakesNoResetForAnEnd(t *testing.T) {
	url := serve(t, func(c *net.TCPConn, _ *http.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart") // the test fails without it
		_ = c.SetLinger(0)
		_ = c.Close()
	})
	transport := responses.NewTransport(&http.Transport{DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
		return resetlinks.Dial(ctx, address, len("HTTP/1.1 200 OK\r\n\r\n"))
	}})
	defer transport.CloseIdleConnections()
	r, err := http.NewRequest(http.MethodPut, url, strings.NewReader(strings.Repeat("x", 8<<20)))
	assert.NilError(t, err)
	response, err := transport.RoundTrip(r)
	if err != nil {
		return // the reset was seen before the response
	}
	defer response.Body.Close()
	got, err := io.ReadAll(response.Body)
	assert.Check(t, err != nil, "taken for complete: %q", got)
}

// malformedHeads are responses whose heads break the protocol.
var malformedHeads = map[string]string{
	"status 000":                     "HTTP/1.1 000 \r\nContent-Length: 2\r\n\r\n{}",
	"status 099":                     "HTTP/1.1 099 Low\r\nContent-Length: 2\r\n\r\n{}",
	"status with a sign":             "HTTP/1.1 +20 OK\r\nContent-Length: 2\r\n\r\n{}",
	"chunks of HTTP/1.0":             "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
	"status 600":                     "HTTP/1.1 600 High\r\nContent-Length: 2\r\n\r\n{}",
	"unasked switch of protocols":    "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: other\r\n\r\n{}",
	"blank in a name":                "HTTP/1.1 200 OK\r\nX Bad: 1\r\nContent-Length: 2\r\n\r\n{}",
	"blank behind a name":            "HTTP/1.1 200 OK\r\nContent-Length : 9\r\nContent-Length: 2\r\n\r\n{}",
	"interim with a blank in a name": "HTTP/1.1 103 Early Hints\r\nX Bad: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
	"trailer with a blank in a name": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nX Bad: 1\r\n\r\n",
	"version 2":                      "HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\n{}",
}

// Guards against a malformed response of the store or of a peer that is taken for an answer, and against a further use of
// its connection.
func TestTransportRefusesMalformedResponses(t *testing.T) {
	for name, text := range malformedHeads {
		t.Run(name, func(t *testing.T) {
			var served atomic.Int64
			url := serve(t, func(c *net.TCPConn, _ *http.Request) {
				answer := text
				if served.Add(1) > 1 {
					answer = "HTTP/1.1 200 OK\r\nX-Remote: " + c.RemoteAddr().String() + "\r\nContent-Length: 2\r\n\r\n{}"
				}
				_, _ = io.WriteString(c, answer) // the test fails without it
			})
			var local []string
			transport := responses.NewTransport(&http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				c, err := (&net.Dialer{}).DialContext(ctx, network, address)
				if err == nil {
					local = append(local, c.LocalAddr().String())
				}
				return c, err
			}})
			defer transport.CloseIdleConnections()
			client := http.Client{Transport: transport, Timeout: 5 * time.Second}
			response, err := client.Get(url)
			if err == nil {
				_, err = io.ReadAll(response.Body)
				_ = response.Body.Close()
			}
			assert.Check(t, errors.Is(err, responses.ErrMalformed), "%v", err)
			response, err = client.Get(url)
			assert.NilError(t, err)
			defer response.Body.Close()
			assert.Equal(t, len(local), 2)
			assert.Equal(t, response.Header.Get("X-Remote"), local[1])
		})
	}
}

// Guards against a request that is sent on the connection of a malformed response, as the library has made it idle before the
// response is checked.
func TestConnectionOfMalformedResponseCarriesNoOtherRequest(t *testing.T) {
	for name, text := range map[string]string{
		"head":    "HTTP/1.1 200 OK\r\nX Bad: 1\r\nContent-Length: 0\r\n\r\n",
		"status":  "HTTP/1.1 000 None\r\nContent-Length: 0\r\n\r\n",
		"trailer": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nX Bad: 1\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			var spoilt sync.Map // connections on which a malformed response was sent
			var reused, answered atomic.Int64
			url := serve(t, func(c *net.TCPConn, _ *http.Request) {
				if _, again := spoilt.LoadOrStore(c, true); again {
					reused.Add(1)
				}
				_, _ = io.WriteString(c, text) // the client then counts no malformed response
			})
			transport := responses.NewTransport(&http.Transport{MaxConnsPerHost: 2})
			defer transport.CloseIdleConnections()
			client := http.Client{Transport: transport, Timeout: 10 * time.Second}
			var all sync.WaitGroup
			for range 8 {
				all.Go(func() {
					for range 50 {
						response, err := client.Get(url)
						if err == nil {
							_, err = io.ReadAll(response.Body)
							_ = response.Body.Close()
						}
						if errors.Is(err, responses.ErrMalformed) {
							answered.Add(1)
						}
					}
				})
			}
			all.Wait()
			assert.Equal(t, reused.Load(), int64(0))
			assert.Equal(t, answered.Load(), int64(400), "a request failed with the response to another one")
		})
	}
}
