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

// maxBufferedBody is the size in bytes of the largest body that is read before a slot is acquired.
// Such a body can be sent again after a try that did not run, and its sender cannot hold a target's
// slot by sending slowly.
const maxBufferedBody = poison.FingerprintBytes

// body is a caller's request body, with its size limit and its minimum transfer rate.
type body struct {
	source        io.Reader
	control       *http.ResponseController
	limit         int64 // bytes; 0 means no limit
	minRate       minRate
	read          int64
	buffered      []byte // the whole body if fullyBuffered is set
	prefix        []byte // the beginning of a longer body, read for the fingerprint and not yet sent
	fullyBuffered bool   // buffered holds the whole body
	eof           atomic.Bool
	consumed      atomic.Bool
	// interrupted makes Read fail once the try that reads the body is abandoned.
	interrupted atomic.Bool
	failure     atomic.Pointer[steering.Refusal]
}

var errBodyRefused = errors.New("forward: body refused")

// Read reads from the caller within the limits. If a limit is exceeded or the caller fails, the
// refusal to send is kept in failure.
func (b *body) Read(p []byte) (int, error) {
	if len(b.prefix) > 0 {
		n := copy(p, b.prefix)
		b.prefix = b.prefix[n:]
		return n, nil
	}
	now := time.Now()
	if deadline, change := b.minRate.arm(now, 0); change {
		_ = b.control.SetReadDeadline(deadline)
	}
	if b.interrupted.Load() {
		return 0, errBodyRefused
	}
	n, err := b.source.Read(p)
	b.read += int64(n)
	b.minRate.transferred(n, time.Since(now))
	if b.limit > 0 && b.read > b.limit {
		b.fail(steering.RefuseUnknown(steering.ReasonBodyTooLarge, "the body exceeds the service's limit"))
		return 0, errBodyRefused
	}
	switch {
	case b.interrupted.Load():
		return 0, errBodyRefused
	case err == io.EOF:
		b.eof.Store(true)
		_ = b.control.SetReadDeadline(time.Time{})
		return n, io.EOF
	case err != nil:
		b.fail(bodyFailure(err))
		return n, errBodyRefused
	case b.minRate.exhausted():
		b.fail(slowSenderRefusal())
		return n, errBodyRefused
	}
	return n, nil
}

// interrupt ends a Read that waits for the caller. The flag is set before the deadline, so that a
// Read that sets its own deadline later still sees the flag.
func (b *body) interrupt() {
	if b.eof.Load() {
		return
	}
	b.interrupted.Store(true)
	_ = b.control.SetReadDeadline(pastTime)
}

var pastTime = time.Unix(1, 0)

func (b *body) fail(r *steering.Refusal) { b.failure.CompareAndSwap(nil, r) }

// bodyFailure returns the refusal for a body whose read failed with err before its end.
func bodyFailure(err error) *steering.Refusal {
	var network net.Error
	if errors.As(err, &network) && network.Timeout() {
		return slowSenderRefusal()
	}
	return steering.RefuseUnknown(steering.ReasonCancelled, "the caller's body ended early")
}

func slowSenderRefusal() *steering.Refusal {
	return steering.RefuseUnknown(steering.ReasonSlowSender, "the body came slower than bodyMinBytesPerSecond")
}

// bufferWhole reads a small body of known length whole.
func (b *body) bufferWhole(length int64) *steering.Refusal {
	buf, refusal := b.readN(length)
	if refusal != nil {
		return refusal
	}
	b.readEOF()
	b.buffered, b.fullyBuffered = buf, true
	return nil
}

// bufferPrefix reads the beginning of a longer body, so that a request that crashed targets is
// recognized before another target receives any of it.
func (b *body) bufferPrefix() *steering.Refusal {
	buf, refusal := b.readN(maxBufferedBody)
	if refusal == nil {
		b.prefix = buf
	}
	return refusal
}

func (b *body) readN(length int64) ([]byte, *steering.Refusal) {
	buf := make([]byte, length)
	if _, err := io.ReadFull(b, buf); err != nil {
		if r := b.failure.Load(); r != nil {
			return nil, &steering.Refusal{Reason: r.Reason, Ran: steering.RanNo, Detail: r.Detail}
		}
		return nil, steering.Refuse(steering.ReasonCancelled, 0, "the caller's body ended early")
	}
	return buf, nil
}

// readEOF reads the end of a body of known length, so that the server sees the request as complete
// and the read deadline is cleared.
func (b *body) readEOF() {
	var one [1]byte
	_, _ = b.Read(one[:])
}

// open returns the body for one try. It returns false if an earlier try may have read bytes of it.
func (b *body) open() (*tryBody, bool) {
	if b.fullyBuffered {
		return &tryBody{reader: bytes.NewReader(b.buffered)}, true
	}
	if b.consumed.Load() {
		return nil, false
	}
	return &tryBody{callerBody: b, reader: b}, true
}

// States of a tryBody that reads from the caller.
const (
	bodyUnread int32 = iota
	bodyBegun
	bodyDetached
)

// tryBody is the body as one try reads it. Once the try is abandoned, detach prevents its writer
// goroutine, which may still run, from reading bytes that the next try needs.
type tryBody struct {
	callerBody *body // nil if the body was fully buffered
	reader     io.Reader
	state      atomic.Int32
}

// Read implements io.Reader.
func (t *tryBody) Read(p []byte) (int, error) {
	if t.callerBody != nil && t.state.Load() != bodyBegun {
		if !t.state.CompareAndSwap(bodyUnread, bodyBegun) {
			return 0, errBodyRefused
		}
		t.callerBody.consumed.Store(true)
	}
	return t.reader.Read(p)
}

// Close implements io.Closer. It does nothing, because the server closes the caller's body.
func (t *tryBody) Close() error { return nil }

// interrupt ends a Read that waits for the caller's next bytes.
func (t *tryBody) interrupt() {
	if t != nil && t.callerBody != nil && !t.detach() {
		t.callerBody.interrupt()
	}
}

// detach prevents the try from starting to read the body and reports whether the body is untouched.
func (t *tryBody) detach() (untouched bool) {
	if t == nil || t.callerBody == nil {
		return true
	}
	return t.state.CompareAndSwap(bodyUnread, bodyDetached) || t.state.Load() == bodyDetached
}

// minRateSlack is how long a transfer may stall before its rate counts.
const minRateSlack = 10 * time.Second

// minRate enforces a minimum transfer rate on a caller. The time spent waiting for the caller
// reduces the slack and each transferred byte restores some of it. Pauses of the other side (for
// example a target that reads slowly) are therefore never charged to the caller.
type minRate struct {
	bytesPerSecond int64 // 0 means no minimum
	slack          time.Duration
	deadline       time.Time
}

func newMinRate(bytesPerSecond int) minRate {
	return minRate{bytesPerSecond: int64(bytesPerSecond), slack: minRateSlack}
}

// arm returns the deadline for the next read, or for a write of n bytes, and whether it has to be
// set on the connection. The deadline is moved rarely, because setting it costs about as much as a
// small read.
func (m *minRate) arm(now time.Time, n int) (time.Time, bool) {
	if m.bytesPerSecond == 0 {
		return time.Time{}, false
	}
	allowed := m.slack + m.timeFor(n)
	left := m.deadline.Sub(now)
	if left > m.slack/2+m.timeFor(n) && left <= allowed {
		return m.deadline, false
	}
	m.deadline = now.Add(allowed)
	return m.deadline, true
}

// timeFor returns the time that n bytes take at the minimum rate.
func (m *minRate) timeFor(n int) time.Duration {
	return time.Duration(n) * time.Second / time.Duration(m.bytesPerSecond)
}

func (m *minRate) transferred(n int, waited time.Duration) {
	if m.bytesPerSecond == 0 {
		return
	}
	m.slack = min(minRateSlack, m.slack-waited+m.timeFor(n))
}

func (m *minRate) exhausted() bool { return m.bytesPerSecond > 0 && m.slack <= 0 }
