package telemetry_test

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/node/telemetry"
)

// Guards against requests that block although no target is at fault. Nobody reads the log, its
// pipe is full, and a request waits until its line is written.
func TestUnreadLogDoesNotBlockWriters(t *testing.T) {
	reader, pipe := io.Pipe()
	defer reader.Close()
	w := telemetry.NewBoundedWriter(pipe)
	began := time.Now()
	const lines = 100_000
	for range lines {
		_, err := w.Write([]byte("line\n"))
		assert.NilError(t, err)
	}
	assert.Assert(t, time.Since(began) < 2*time.Second)
	assert.Assert(t, w.Dropped() > lines/2)
	assert.Equal(t, w.Dropped(), int64(0))
}

// Guards against a burst of failures that uses more CPU time for its log than for its callers.
// The written lines stay within the rate limit, and the log reports how many were dropped.
func TestBurstOfLinesIsLimitedAndCounted(t *testing.T) {
	var out bytes.Buffer
	w := telemetry.NewBoundedWriter(&out)
	const lines = 5000
	for range lines {
		_, _ = w.Write([]byte("{}\n")) // never fails
	}
	time.Sleep(50 * time.Millisecond)
	_, _ = w.Write([]byte("{}\n"))
	assert.NilError(t, w.Close())
	written := strings.Count(out.String(), "{}\n")
	assert.Assert(t, written >= 400 && written < 600, "%d lines", written)
	assert.Assert(t, strings.Contains(out.String(), `"dropped_lines":`), out.String()[:200])
}

// Guards against a process that ends with a panic at the very end of a stop, because a goroutine that outlives it
// writes a log line.
func TestLineAfterCloseIsDropped(t *testing.T) {
	var out bytes.Buffer
	w := telemetry.NewBoundedWriter(&out)
	_, _ = w.Write([]byte("before\n")) // never fails
	assert.NilError(t, w.Close())
	_, err := w.Write([]byte("after\n"))
	assert.NilError(t, err)
	assert.NilError(t, w.Close())
	assert.Equal(t, out.String(), "before\n")
}
