package telemetry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// maxQueuedLines is the maximum number of lines that wait to be written.
	maxQueuedLines = 1024
	// linesPerSecond and lineBurst limit the rate of written lines. Without them, an entry VM with
	// many failures would use more CPU time for its log than for its callers.
	linesPerSecond = 100
	lineBurst      = 400
)

// BoundedWriter writes lines to another writer without ever blocking its caller.
//
// If the log were written directly and no process read it, its pipe would fill up, and each request
// that logs a line would block although no target is at fault. BoundedWriter drops a line that
// exceeds the queue or the rate, counts it, and writes the count with the next line that is
// written while the queue is empty.
type BoundedWriter struct {
	to      io.Writer
	lines   chan []byte
	rate    *rate.Limiter
	dropped atomic.Int64
	closing sync.Once
	closed  chan struct{}
	done    chan struct{}
}

// NewBoundedWriter returns a BoundedWriter that writes to to. Close stops its goroutine.
func NewBoundedWriter(to io.Writer) *BoundedWriter {
	w := &BoundedWriter{to: to, lines: make(chan []byte, maxQueuedLines), closed: make(chan struct{}), done: make(chan struct{}),
		rate: rate.NewLimiter(linesPerSecond, lineBurst)}
	go w.run()
	return w
}

// Write queues a line, or drops it if the queue or the rate is exceeded. It never returns an
// error.
func (w *BoundedWriter) Write(line []byte) (int, error) {
	if !w.rate.Allow() {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines that the log hasn't reported yet, and resets it.
func (w *BoundedWriter) Dropped() int64 { return w.dropped.Swap(0) }

// Close writes the queued lines, waits at most one second for this, and stops the writer. A line that
// is written later, by a goroutine that outlives its VM's stop, is dropped.
func (w *BoundedWriter) Close() error {
	w.closing.Do(func() { close(w.closed) })
	select {
	case <-w.done:
	case <-time.After(time.Second): // the log isn't read; don't keep the process from exiting
	}
	return nil
}

func (w *BoundedWriter) run() {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		case <-w.closed:
			w.writeQueued()
			return
		}
	}
}

// writeQueued writes the lines that are queued now.
func (w *BoundedWriter) writeQueued() {
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		default:
			return
		}
	}
}

func (w *BoundedWriter) write(line []byte) {
	if n := w.dropped.Load(); n > 0 && len(w.lines) == 0 {
		w.dropped.Add(-n)
		line = append(line, fmt.Appendf(nil, `{"level":"warn","msg":"lines left out","dropped_lines":%d}`+"\n", n)...)
	}
	_, _ = w.to.Write(line) // there is nowhere to report an error of the log itself
}
