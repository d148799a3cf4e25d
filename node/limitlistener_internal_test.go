package node

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"heatherlock/node/gateway/buffering"
)

// Guards against a broken-off response that looks complete because the limit on connections hides the one to be reset.
func TestLimitedConnectionCanBeReset(t *testing.T) {
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	limited := limitListener(inner, 1)
	defer limited.Close()
	dial := func() net.Conn {
		c, err := net.Dial("tcp4", inner.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		assert.NilError(t, c.SetDeadline(time.Now().Add(5*time.Second)))
		return c
	}
	first, second := dial(), dial()
	served, err := limited.Accept()
	assert.NilError(t, err)
	accepted := make(chan net.Conn, 1)
	go func() {
		c, _ := limited.Accept() // an error shows as no connection
		accepted <- c
	}()
	buffering.Reset(served)
	_, err = first.Read(make([]byte, 1))
	assert.Check(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
	select {
	case <-accepted:
		t.Fatal("accepted beyond the limit")
	case <-time.After(20 * time.Millisecond):
	}
	_ = served.Close()
	_, err = io.WriteString(<-accepted, "x")
	assert.NilError(t, err)
	_, err = second.Read(make([]byte, 1))
	assert.NilError(t, err)
}
