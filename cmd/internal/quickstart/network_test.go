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

// Symptom: a run "with a zone cut off" passes although nothing was cut. Cause:
// connections from before the cut that go on working.
func TestCutBreaksWhatCrossesIt(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	address := listener.Addr().String()
	n := newNetwork(func(string, string) time.Duration { return 0 })
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

// A link delays what it carries, keeps its order and loses nothing that was
// written before the end.
func TestLinkDelaysAndKeepsEverything(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const oneWay = 20 * time.Millisecond
		inner, server := net.Pipe()
		client := overLink(inner, oneWay)
		sent := make([]byte, 10*linkPiece+1)
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
