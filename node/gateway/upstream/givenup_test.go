package upstream_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"heatherlock/node/gateway/upstream"
	"heatherlock/platform"
)

// Guards against a request that was given up while its target could not be reached, and that the kernel delivers seconds later.
func TestGivenUpRequestIsNotDeliveredLater(t *testing.T) {
	for name, end := range map[string]func(cancel context.CancelFunc, raw net.Conn){
		"given up":         func(cancel context.CancelFunc, _ net.Conn) { cancel() },
		"the process ends": func(_ context.CancelFunc, raw net.Conn) { _ = raw.Close() }, // as the kernel does it
	} {
		t.Run(name, func(t *testing.T) {
			address, accepted := listenWithSmallWindow(t)
			pool := upstream.NewPool(upstream.Dial, platform.RequestIDOf)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			opened := make(chan net.Conn, 1)
			ended := make(chan error, 1)
			body := bytes.Repeat([]byte("x"), 15<<10)
			go func() {
				_, err := pool.Do(ctx, upstream.Call{Target: "x", Generation: 1, Address: address, DialTimeout: time.Second, OnOpen: func(raw net.Conn) net.Conn {
					opened <- raw
					return raw
				}}, &upstream.Request{Method: http.MethodPost, Path: "/", Host: "h", Header: http.Header{"X-Request-Id": {"a"}}, ID: "a", Body: body, Length: int64(len(body))})
				ended <- err
			}()
			raw, target := <-opened, <-accepted
			defer target.Close()
			time.Sleep(100 * time.Millisecond) // until the target's window is full
			end(cancel, raw)
			assert.Assert(t, <-ended != nil)

			assert.NilError(t, target.SetReadDeadline(time.Now().Add(5*time.Second)))
			received, err := io.Copy(io.Discard, target)
			assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%d bytes of a body of %d were received, %v", received, len(body), err)
			assert.Assert(t, received < int64(len(body)), "the whole request was delivered")
		})
	}
}

// listenWithSmallWindow accepts one connection, which takes 2 KB or little more until it is read.
func listenWithSmallWindow(t *testing.T) (address string, accepted <-chan net.Conn) {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) (err error) {
		controlErr := raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 2<<10)
		})
		return errors.Join(controlErr, err)
	}}
	l, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	connections := make(chan net.Conn, 1)
	go func() {
		if c, err := l.Accept(); err == nil {
			connections <- c
		}
	}()
	return l.Addr().String(), connections
}
