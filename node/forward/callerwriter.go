package forward

import (
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

// untimedWriteBytes is the size up to which a write needs no deadline, because the connection's
// buffer accepts it at once.
const untimedWriteBytes = 4 << 10

// callerWriter writes a response to its caller and enforces a minimum read rate.
//
// A caller that stops reading blocks the entry VM in a write, which also keeps the target's slot in
// use. A handful of such callers would occupy a whole pool; the symptom is slots in use on an idle
// target. The minimum rate for senders applies to readers too.
type callerWriter struct {
	w           http.ResponseWriter
	control     *http.ResponseController // created on first use
	minRate     minRate
	deadlineSet bool
	slow        bool // the caller read too slowly
}

func newCallerWriter(w http.ResponseWriter, bytesPerSecond int) callerWriter {
	return callerWriter{w: w, minRate: newMinRate(bytesPerSecond)}
}

var errSlowReader = errors.New("forward: the caller reads too slowly")

// write writes p and, if flush is set, flushes what is buffered.
func (c *callerWriter) write(p []byte, flush bool) error {
	now := time.Now()
	if flush || len(p) > untimedWriteBytes {
		c.arm(now, len(p))
	}
	_, err := c.w.Write(p)
	if err == nil && flush {
		err = c.controller().Flush()
	}
	if !c.deadlineSet {
		return err
	}
	c.minRate.transferred(len(p), time.Since(now))
	var network net.Error
	if c.minRate.exhausted() || errors.As(err, &network) && network.Timeout() {
		c.slow = true
		return errSlowReader
	}
	return err
}

func (c *callerWriter) flush() { _ = c.controller().Flush() }

func (c *callerWriter) arm(now time.Time, n int) {
	deadline, change := c.minRate.arm(now, n)
	if change {
		_ = c.controller().SetWriteDeadline(deadline)
		c.deadlineSet = true
	}
}

// release clears the write deadline of the connection for its next request.
func (c *callerWriter) release() {
	if c.deadlineSet && !c.slow {
		_ = c.control.SetWriteDeadline(time.Time{})
	}
}

func (c *callerWriter) controller() *http.ResponseController {
	if c.control == nil {
		c.control = http.NewResponseController(c.w)
	}
	return c.control
}
