package forward

import (
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

// alwaysFits is a piece that the connection's buffer takes at once.
const alwaysFits = 4 << 10

// taker writes an answer to its caller and holds the caller to a least rate.
//
// A caller that stops reading leaves the entry VM waiting in a write, with the
// target's slot held behind it; a handful of them would hold a whole pool. One
// would notice slots in use on an idle target. The same rate that bounds slow
// senders bounds slow readers.
type taker struct {
	w       http.ResponseWriter
	control *http.ResponseController // made when it is needed
	pace    pace
	armed   bool
	slow    bool // the write deadline passed
}

func newTaker(w http.ResponseWriter, bytesPerSecond int) taker {
	return taker{w: w, pace: newPace(bytesPerSecond)}
}

var errSlowReader = errors.New("forward: the caller reads too slowly")

// write sends a piece, and what is buffered besides when flush is set.
func (t *taker) write(p []byte, flush bool) error {
	now := time.Now()
	if flush || len(p) > alwaysFits {
		t.arm(now, len(p))
	}
	_, err := t.w.Write(p)
	if err == nil && flush {
		err = t.controller().Flush()
	}
	if !t.armed {
		return err
	}
	t.pace.moved(len(p), time.Since(now))
	var network net.Error
	if t.pace.spent() || errors.As(err, &network) && network.Timeout() {
		t.slow = true
		return errSlowReader
	}
	return err
}

func (t *taker) flush() { _ = t.controller().Flush() }

func (t *taker) arm(now time.Time, n int) {
	deadline, change := t.pace.arm(now, n)
	if change {
		_ = t.controller().SetWriteDeadline(deadline)
		t.armed = true
	}
}

// release takes the deadline off the connection for its next request.
func (t *taker) release() {
	if t.armed && !t.slow {
		_ = t.control.SetWriteDeadline(time.Time{})
	}
}

func (t *taker) controller() *http.ResponseController {
	if t.control == nil {
		t.control = http.NewResponseController(t.w)
	}
	return t.control
}
