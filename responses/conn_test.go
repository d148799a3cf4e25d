package responses_test

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"heatherlock/responses"
)

// pair returns both ends of a connection over loopback.
func pair(t *testing.T) (near *responses.Conn, far *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	raw, err := net.Dial("tcp4", listener.Addr().String())
	assert.NilError(t, err)
	accepted, err := listener.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { _, _ = raw.Close(), accepted.Close() })
	return responses.NewConn(raw), accepted.(*net.TCPConn)
}

// writeUntilError writes until a write fails.
func writeUntilError(c net.Conn) error {
	for piece := make([]byte, 64<<10); ; {
		if _, err := c.Write(piece); err != nil {
			return err
		}
	}
}

// Guards against a reset that a write has taken from the reader, which then sees an orderly end.
func TestResetTakenByAWriteIsNoEnd(t *testing.T) {
	near, far := pair(t)
	_, err := far.Write([]byte("part"))
	assert.NilError(t, err)
	assert.NilError(t, far.SetLinger(0))
	assert.NilError(t, far.Close())
	assert.Check(t, errors.Is(writeUntilError(near), syscall.ECONNRESET))
	assert.Check(t, errors.Is(writeUntilError(near), syscall.EPIPE), "further writes report something else")
	got, err := io.ReadAll(near)
	var broken *responses.BrokenOffError
	assert.Check(t, errors.As(err, &broken) && errors.Is(err, syscall.ECONNRESET), "%v", err)
	assert.Equal(t, string(got), "part")
}

// Guards against a whole response that is given up because the connection was reset after its orderly end.
func TestOrderlyEndInFrontOfAResetIsTheEnd(t *testing.T) {
	near, far := pair(t)
	_, err := far.Write([]byte("whole"))
	assert.NilError(t, err)
	assert.NilError(t, far.Close()) // nothing is unread: the end is sent, and later bytes are answered with a reset
	time.Sleep(20 * time.Millisecond)
	assert.Check(t, errors.Is(writeUntilError(near), syscall.EPIPE))
	got, err := io.ReadAll(near)
	assert.NilError(t, err)
	assert.Equal(t, string(got), "whole")
}

// lateConn is a connection whose writes return late.
type lateConn struct {
	net.Conn
	failed chan struct{}
}

func (c lateConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		close(c.failed)
		time.Sleep(50 * time.Millisecond)
	}
	return n, err
}

// Guards against an end that is reported while the write that took the report of a reset has not returned yet.
func TestEndAwaitsTheWriteInProgress(t *testing.T) {
	near, far := pair(t)
	late := lateConn{near.Conn, make(chan struct{})}
	c := responses.NewConn(late)
	_, err := far.Write([]byte("part"))
	assert.NilError(t, err)
	written := make(chan error, 1)
	go func() { written <- writeUntilError(c) }()
	time.Sleep(20 * time.Millisecond) // the write is blocked
	assert.NilError(t, far.SetLinger(0))
	assert.NilError(t, far.Close())
	<-late.failed
	_, err = io.ReadAll(c)
	assert.Check(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
	assert.Check(t, <-written != nil)
}

// Guards against a reader that waits without end for a write that is blocked, as the other side has ended its half only.
func TestEndEndsABlockedWrite(t *testing.T) {
	near, far := pair(t)
	written := make(chan error, 1)
	go func() { written <- writeUntilError(near) }()
	time.Sleep(20 * time.Millisecond) // the write is blocked, as nobody reads
	_, err := far.Write([]byte("whole"))
	assert.NilError(t, err)
	assert.NilError(t, far.CloseWrite())
	got, err := io.ReadAll(near)
	assert.NilError(t, err)
	assert.Equal(t, string(got), "whole")
	assert.Check(t, <-written != nil)
	_, err = near.Write([]byte("x"))
	assert.Check(t, errors.Is(err, responses.ErrEnded), "%v", err)
}
