package responses_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

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
