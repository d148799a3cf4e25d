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
	// queuedLines bounds the lines that wait to be written.
	queuedLines = 1024
	// linesPerSecond and lineBurst bound what is written: a day of failures would
	// otherwise spend more of the processor on its log than on its callers.
	linesPerSecond = 100
	lineBurst      = 400
)

// BoundedWriter writes lines to another writer without ever keeping its caller
// waiting.
//
// What goes wrong without it: a log that nobody reads fills its pipe, and each
// request that logs a line waits for it. One would notice requests that stand
// still with no target at fault. Here a line that does not fit the queue or the
// rate is dropped and counted, and the count is written with the next line that
// fits.
type BoundedWriter struct {
	to      io.Writer
	lines   chan []byte
	rate    *rate.Limiter
	dropped atomic.Int64
	closing sync.Once
	done    chan struct{}
}

// NewBoundedWriter returns a writer to to; Close ends its goroutine.
func NewBoundedWriter(to io.Writer) *BoundedWriter {
	w := &BoundedWriter{to: to, lines: make(chan []byte, queuedLines), done: make(chan struct{}),
		rate: rate.NewLimiter(linesPerSecond, lineBurst)}
	go w.run()
	return w
}

// Write queues a line, or drops it. It never fails.
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

// Dropped returns how many lines were dropped that the log does not tell of yet,
// and takes them as told.
func (w *BoundedWriter) Dropped() int64 { return w.dropped.Swap(0) }

// Close writes what is queued and ends. Nothing may be written after it.
func (w *BoundedWriter) Close() error {
	w.closing.Do(func() { close(w.lines) })
	select {
	case <-w.done:
	case <-time.After(time.Second): // nobody reads the log; the process ends all the same
	}
	return nil
}

func (w *BoundedWriter) run() {
	defer close(w.done)
	for line := range w.lines {
		if n := w.dropped.Load(); n > 0 && len(w.lines) == 0 {
			w.dropped.Add(-n)
			line = append(line, fmt.Appendf(nil, `{"level":"warn","msg":"lines left out","dropped_lines":%d}`+"\n", n)...)
		}
		_, _ = w.to.Write(line) // a log that cannot be written has nowhere to say so
	}
}
