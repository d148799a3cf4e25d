package buffering

import (
	"io"
	"net"
	"os"
	"time"

	"github.com/go-faster/errors"

	"heatherlock/steering/buffers"
)

// ErrStalled reports that the peer of a connection did not read for too long.
var ErrStalled = errors.New("buffering: the peer reads nothing")

const (
	// checkInterval is how long a write may wait before the connection counts as held back. It is well
	// above the longest round trip between regions (100 ms).
	checkInterval = 250 * time.Millisecond
	// defaultMaxStall applies without a budget.
	defaultMaxStall = 10 * time.Second
)

// Writer writes to a caller or a target, and detects that it does not read. As long as the peer
// acknowledges bytes, however few, the write goes on.
type Writer struct {
	// Conn is the connection to the peer.
	Conn net.Conn
	// Claim holds the bytes of the request.
	Claim *Claim
	Side  buffers.Side
	// HoldBack, if set, is called when the write is first held back. It stops the source of the bytes,
	// and returns how many bytes the kernel may hold for it.
	HoldBack func() int64
	// Reserved are bytes of the claim that were reserved for what the kernel holds for the peer and the source.
	Reserved int64
	// SetDeadline, if set, sets the write deadline instead of Conn; it returns an error once the write
	// must end.
	SetDeadline func(time.Time) error

	progress time.Time // zero while the write is not held back
	unsent   int64
	counted  int64 // kernel bytes that are reserved beyond Reserved
	stopped  bool  // the source was held back
	source   int64 // bytes that the kernel may hold for the source
}

// ReadFrom implements io.ReaderFrom. It copies in large pieces, where bufio.Writer would take small
// ones.
func (w *Writer) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{w}, r)
}

// Write implements io.Writer.
func (w *Writer) Write(p []byte) (int, error) {
	written := 0
	for {
		started := time.Now()
		if err := w.setDeadline(started.Add(checkInterval)); err != nil {
			return written, err
		}
		n, err := w.Conn.Write(p[written:])
		written += n
		if err == nil {
			w.unblocked()
			return written, nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			w.unblocked()
			return written, err
		}
		if err := w.blocked(started, n > 0); err != nil {
			w.unblocked()
			return written, err
		}
	}
}

func (w *Writer) setDeadline(at time.Time) error {
	if w.SetDeadline != nil {
		return w.SetDeadline(at)
	}
	return w.Conn.SetWriteDeadline(at)
}

// blocked records that a write that started at a time has not ended. It returns an error if the
// connection is to be closed.
func (w *Writer) blocked(started time.Time, accepted bool) error {
	now := time.Now()
	unsent := unsent(w.Conn)
	progressed := accepted || unsent < w.unsent
	w.unsent = unsent
	if w.progress.IsZero() {
		w.progress = started
		w.begin()
	}
	if progressed {
		w.progress = now
	}
	return w.Claim.check(w, now, progressed)
}

// begin records that the write is held back from now on.
func (w *Writer) begin() {
	c := w.Claim
	if c == nil {
		return
	}
	v := c.account.vm
	v.mu.Lock()
	v.budget.Blocked(w.progress, c.account.id, w.Side)
	if c.account.writers == nil {
		c.account.writers = make(map[*Writer]struct{})
	}
	c.account.writers[w] = struct{}{}
	v.mu.Unlock()
}

// unblocked records that the write has ended.
func (w *Writer) unblocked() {
	if w.progress.IsZero() {
		return
	}
	w.progress, w.unsent = time.Time{}, 0
	if w.Claim == nil {
		return
	}
	v := w.Claim.account.vm
	v.mu.Lock()
	v.budget.Unblocked(w.Claim.account.id)
	delete(w.Claim.account.writers, w)
	v.mu.Unlock()
}

// abort ends the write, and frees what the kernel holds for it.
func (w *Writer) abort() { Reset(w.Conn) }

// check updates the account of a blocked write. It returns an error if the connection is to be
// closed.
func (c *Claim) check(w *Writer, now time.Time, progressed bool) error {
	stalled := now.Sub(w.progress)
	if c == nil {
		if stalled >= defaultMaxStall {
			Reset(w.Conn)
			return ErrStalled
		}
		return nil
	}
	v := c.account.vm
	if w.HoldBack != nil && !w.stopped {
		w.stopped = true
		w.source = w.HoldBack()
	}
	v.mu.Lock()
	if progressed {
		v.budget.Progress(now, c.account.id)
	}
	isCut, maxStall := v.budget.IsCut(c.account.id), v.budget.Config().MaxStall
	v.mu.Unlock()
	if isCut {
		return ErrStalled
	}
	grown := w.unsent + w.source - w.Reserved - w.counted
	if stalled < maxStall && c.Reserve(grown) {
		w.counted += max(grown, 0)
		return nil
	}
	if stalled < v.minStall() {
		return nil // it is asked again at the next check
	}
	cause := causeMemory
	if stalled >= maxStall {
		cause = causeStalled
	}
	if w.Side == buffers.Target && cause == causeStalled {
		v.cutTarget(w, stalled, c)
		return ErrStalled
	}
	c.cutOwn(cause, now)
	return ErrStalled
}

// cutTarget closes the connection to a target that has stopped reading. The caller's connection
// stays open: the request is retried or answered like others whose target fails.
func (v *VM) cutTarget(w *Writer, stalled time.Duration, c *Claim) {
	v.mu.Lock()
	held := c.bytes
	v.mu.Unlock()
	v.cut(causeStalled, buffers.Cut{ID: c.account.id, Side: buffers.Target, Held: held, Stalled: stalled}, []func(){w.abort})
}

func (v *VM) minStall() time.Duration { return v.budget.Config().MinStall }

// cutOwn cuts the connection of the claim itself.
func (c *Claim) cutOwn(cause string, now time.Time) {
	v := c.account.vm
	v.mu.Lock()
	if v.budget.IsCut(c.account.id) {
		v.mu.Unlock()
		return
	}
	cut := v.budget.Cut(now, c.account.id)
	closers := v.closersOf([]buffers.Cut{cut})
	v.mu.Unlock()
	v.cut(cause, cut, closers[0])
}
