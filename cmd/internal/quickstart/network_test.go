package quickstart

import (
	"context"
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// Symptom: a run "with a zone cut off" passes although nothing was cut. Cause:
// connections from before the cut that go on working.
func TestCutBreaksWhatCrossesIt(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	address := listener.Addr().String()
	n := newNetwork()
	n.place("a", address)
	inside, err := n.from("a")(t.Context(), "tcp", address)
	assert.NilError(t, err)
	defer inside.Close()
	outside, err := n.from("b")(t.Context(), "tcp", address)
	assert.NilError(t, err)
	n.cutOff("a")
	_, err = outside.Write([]byte("x"))
	assert.ErrorIs(t, err, net.ErrClosed)
	_, err = inside.Write([]byte("x"))
	assert.NilError(t, err)
	gone, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = n.from("b")(gone, "tcp", address)
	var op *net.OpError
	assert.Assert(t, err != nil)
	assert.ErrorType(t, err, op)
	n.cutOff("")
	healed, err := n.from("b")(t.Context(), "tcp", address)
	assert.NilError(t, err)
	_ = healed.Close()
}
