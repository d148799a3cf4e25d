package forward

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"heatherlock/steering"
	"heatherlock/steering/poison"
)

// smallBody is the largest body that is read before a slot is taken. A body
// within it can be sent again after a try that was not run, and its sender
// cannot hold a target's slot by sending slowly.
const smallBody = poison.FingerprintBytes

// body is a caller's request body with its limits.
type body struct {
	source  io.Reader
	control *http.ResponseController
	limit   int64 // bytes; 0 means none
	pace    pace
	read    int64
	small   []byte // the whole body, when it was read ahead
	lead    []byte // its beginning, read for the fingerprint and not yet sent
	ahead   bool   // small holds the whole body
	ended   atomic.Bool
	begun   atomic.Bool
	// interrupted ends reading when the try that reads is given up.
	interrupted atomic.Bool
	failure     atomic.Pointer[steering.Refusal]
}

var errBodyRefused = errors.New("forward: body refused")

// Read reads from the caller within the limits. On failure the refusal to send
// is kept in failure.
func (b *body) Read(p []byte) (int, error) {
	if len(b.lead) > 0 {
		n := copy(p, b.lead)
		b.lead = b.lead[n:]
		return n, nil
	}
	now := time.Now()
	if deadline, change := b.pace.arm(now, 0); change {
		_ = b.control.SetReadDeadline(deadline)
	}
	if b.interrupted.Load() {
		return 0, errBodyRefused
	}
	n, err := b.source.Read(p)
	b.read += int64(n)
	b.pace.moved(n, time.Since(now))
	if b.limit > 0 && b.read > b.limit {
		b.fail(steering.Unknown(steering.ReasonBodyTooLarge, "the body exceeds the service's limit"))
		return 0, errBodyRefused
	}
	switch {
	case b.interrupted.Load():
		return 0, errBodyRefused
	case err == io.EOF:
		b.ended.Store(true)
		_ = b.control.SetReadDeadline(time.Time{})
		return n, io.EOF
	case err != nil:
		b.fail(bodyFailure(err))
		return n, errBodyRefused
	case b.pace.spent():
		b.fail(slowSender())
		return n, errBodyRefused
	}
	return n, nil
}

// interrupt ends a Read that waits for the caller. The flag goes first: a Read
// that sets its own deadline later meets it.
func (b *body) interrupt() {
	if b.ended.Load() {
		return
	}
	b.interrupted.Store(true)
	_ = b.control.SetReadDeadline(longPast)
}

var longPast = time.Unix(1, 0)

func (b *body) fail(r *steering.Refusal) { b.failure.CompareAndSwap(nil, r) }

// bodyFailure says why the caller's body ended before its end.
func bodyFailure(err error) *steering.Refusal {
	var network net.Error
	if errors.As(err, &network) && network.Timeout() {
		return slowSender()
	}
	return steering.Unknown(steering.ReasonCancelled, "the caller's body ended early")
}

func slowSender() *steering.Refusal {
	return steering.Unknown(steering.ReasonSlowSender, "the body came slower than bodyMinBytesPerSecond")
}

// readAhead reads a body of known small length whole.
func (b *body) readAhead(length int64) *steering.Refusal {
	buf, refusal := b.readFirst(length)
	if refusal != nil {
		return refusal
	}
	b.finish()
	b.small, b.ahead = buf, true
	return nil
}

// readLead reads the beginning of a longer body, so that a request that took
// down targets is recognised before another one gets any of it.
func (b *body) readLead() *steering.Refusal {
	buf, refusal := b.readFirst(smallBody)
	if refusal == nil {
		b.lead = buf
	}
	return refusal
}

func (b *body) readFirst(length int64) ([]byte, *steering.Refusal) {
	buf := make([]byte, length)
	if _, err := io.ReadFull(b, buf); err != nil {
		if r := b.failure.Load(); r != nil {
			return nil, &steering.Refusal{Reason: r.Reason, Ran: steering.RanNo, Detail: r.Detail}
		}
		return nil, steering.Refuse(steering.ReasonCancelled, 0, "the caller's body ended early")
	}
	return buf, nil
}

// finish reads the end mark behind a body of known length, so that the server
// sees the request as complete and clears the read deadline.
func (b *body) finish() {
	var one [1]byte
	_, _ = b.Read(one[:])
}

// open returns the body for one try, or false when an earlier try may have
// taken bytes of it.
func (b *body) open() (*tryBody, bool) {
	if b.ahead {
		return &tryBody{reader: bytes.NewReader(b.small)}, true
	}
	if b.begun.Load() {
		return nil, false
	}
	return &tryBody{whole: b, reader: b}, true
}

// Life of a tryBody that reads from the caller.
const (
	bodyUnread int32 = iota
	bodyBegun
	bodyDetached
)

// tryBody is the body as one try sees it. Once the try is given up, detach
// keeps its writer, which may still run, from taking bytes that the next try
// needs.
type tryBody struct {
	whole  *body // nil when read ahead
	reader io.Reader
	state  atomic.Int32
}

// Read implements io.Reader.
func (t *tryBody) Read(p []byte) (int, error) {
	if t.whole != nil && t.state.Load() != bodyBegun {
		if !t.state.CompareAndSwap(bodyUnread, bodyBegun) {
			return 0, errBodyRefused
		}
		t.whole.begun.Store(true)
	}
	return t.reader.Read(p)
}

// Close implements io.Closer; the server closes the caller's body itself.
func (t *tryBody) Close() error { return nil }

// interrupt ends a Read that waits for the caller's next bytes.
func (t *tryBody) interrupt() {
	if t != nil && t.whole != nil && !t.detach() {
		t.whole.interrupt()
	}
}

// detach ends the try's right to begin the body and reports whether the body
// is untouched.
func (t *tryBody) detach() (untouched bool) {
	if t == nil || t.whole == nil {
		return true
	}
	return t.state.CompareAndSwap(bodyUnread, bodyDetached) || t.state.Load() == bodyDetached
}

// paceSlack is how long a sender may stall before its rate counts.
const paceSlack = 10 * time.Second

// pace holds a sender to a least rate. Time spent waiting for the sender is
// charged and each byte earns time back, so that a pause of the receiver (a
// target that reads slowly) is never held against the sender.
type pace struct {
	bytesPerSecond int64 // 0 means no bound
	slack          time.Duration
	armed          time.Time
}

func newPace(bytesPerSecond int) pace {
	return pace{bytesPerSecond: int64(bytesPerSecond), slack: paceSlack}
}

// arm returns the deadline of the next read, or of a write of n bytes, and
// whether it must be set anew. It is moved seldom, because setting it costs
// about as much as a small read.
func (p *pace) arm(now time.Time, n int) (time.Time, bool) {
	if p.bytesPerSecond == 0 {
		return time.Time{}, false
	}
	allowed := p.slack + p.worth(n)
	left := p.armed.Sub(now)
	if left > p.slack/2+p.worth(n) && left <= allowed {
		return p.armed, false
	}
	p.armed = now.Add(allowed)
	return p.armed, true
}

// worth is the time that n bytes may take at the least rate.
func (p *pace) worth(n int) time.Duration {
	return time.Duration(n) * time.Second / time.Duration(p.bytesPerSecond)
}

func (p *pace) moved(n int, waited time.Duration) {
	if p.bytesPerSecond == 0 {
		return
	}
	p.slack = min(paceSlack, p.slack-waited+p.worth(n))
}

func (p *pace) spent() bool { return p.bytesPerSecond > 0 && p.slack <= 0 }
