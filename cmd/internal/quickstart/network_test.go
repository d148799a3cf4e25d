package quickstart

import (
	"bytes"
	"context"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a run with an isolated zone that passes although connections
// opened before the isolation still work.
func TestIsolationClosesCrossZoneConnections(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	address := listener.Addr().String()
	n := newNetwork(func(string, string) time.Duration { return 0 })
	n.setZone("a", address)
	inside, err := n.dialFrom("a")(t.Context(), "tcp", address)
	assert.NilError(t, err)
	defer inside.Close()
	outside, err := n.dialFrom("b")(t.Context(), "tcp", address)
	assert.NilError(t, err)
	n.isolate("a")
	_, err = outside.Write([]byte("x"))
	assert.ErrorIs(t, err, net.ErrClosed)
	_, err = inside.Write([]byte("x"))
	assert.NilError(t, err)
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = n.dialFrom("b")(canceled, "tcp", address)
	var op *net.OpError
	assert.Assert(t, err != nil)
	assert.ErrorType(t, err, op)
	n.isolate("")
	reconnected, err := n.dialFrom("b")(t.Context(), "tcp", address)
	assert.NilError(t, err)
	_ = reconnected.Close()
}

// A delayed connection keeps the order of the data and delivers everything that
// was written before it was closed.
func TestDelayedConnectionDeliversEverythingInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const oneWay = 20 * time.Millisecond
		inner, server := net.Pipe()
		client := withDelay(inner, oneWay)
		sent := make([]byte, 10*maxChunkBytes+1)
		for i := range sent {
			sent[i] = byte(i / 7)
		}
		begun := time.Now()
		go func() {
			_, _ = client.Write(sent)
			_ = client.Close()
		}()
		got, err := io.ReadAll(server)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(got, sent))
		assert.Equal(t, time.Since(begun), oneWay)
	})
}
