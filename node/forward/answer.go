package forward

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"heatherlock/node/seam"
	"heatherlock/steering"
)

// answer judges an answer's header and relays what is fit for the caller.
func (x *exchange) answer(l *leg, res *http.Response, conn *exchangeConn) ending {
	if l.peer {
		return x.peerAnswer(l, res, conn)
	}
	return x.targetAnswer(l, res, conn)
}

// targetAnswer refuses an answer to another request and the target's own typed
// refusal; everything else is the service's answer, errors included.
func (x *exchange) targetAnswer(l *leg, res *http.Response, conn *exchangeConn) ending {
	l.inFlight, l.slots = reported(res.Header, targetInFlight), reported(res.Header, targetSlots)
	var result ending
	switch {
	case crossed(res.Header, targetRequestID, string(x.id), false):
		result = x.crossedAnswer(res, conn)
	case res.StatusCode == http.StatusServiceUnavailable && first(res.Header, targetNotRun) == "true":
		result = ended(seam.OutcomeShed, steering.Refuse(steering.ReasonShed, retryAfter(res.Header), "the target refused without running it"))
		x.discard(res, conn)
	case x.worthRepeating(res.StatusCode):
		result = ended(seam.OutcomeFailed, steering.Unknown(steering.ReasonTargetFailed, fmt.Sprintf("the target answered %d", res.StatusCode)))
		x.discard(res, conn)
	default:
		result = x.relay(l, res, conn)
	}
	result.inFlight, result.slots = l.inFlight, l.slots
	return result
}

// peerAnswer tells another entry VM's own refusal from the service's answer.
func (x *exchange) peerAnswer(l *leg, res *http.Response, conn *exchangeConn) ending {
	if crossed(res.Header, headerRequestID, string(x.id), true) {
		return x.crossedAnswer(res, conn)
	}
	if l.hint != nil {
		l.hint(res.Header)
	}
	reason := steering.Reason(first(res.Header, headerReason))
	if reason == "" {
		if via := first(res.Header, headerVia); via != "" {
			l.via += ", " + via
		}
		return x.relay(l, res, conn)
	}
	refusal := &steering.Refusal{
		Reason: reason, Ran: parseRan(first(res.Header, headerRan)),
		RetryAfter: ownRetryAfter(res.Header), Detail: "refused by " + first(res.Header, headerVia),
	}
	x.discard(res, conn)
	return ended(seam.OutcomeShed, refusal)
}

// crossed reports an answer that belongs to another request.
func crossed(h http.Header, name, want string, required bool) bool {
	values := h[name]
	if len(values) == 0 {
		return required
	}
	return len(values) != 1 || values[0] != want
}

// crossedAnswer gives up the connection: whatever comes next on it may belong
// to yet another request.
func (x *exchange) crossedAnswer(res *http.Response, conn *exchangeConn) ending {
	conn.giveUp()
	_ = res.Body.Close()
	return ended(seam.OutcomeBroken, steering.Unknown(steering.ReasonAnswerCrossed, "the answer carries the id of another request"))
}

// discardBytes is the largest rest of an unwanted answer that is read so that
// its connection can be used again.
const discardBytes = 4 << 10

func (x *exchange) discard(res *http.Response, conn *exchangeConn) {
	n, err := io.CopyN(io.Discard, res.Body, discardBytes)
	if err != io.EOF || n == discardBytes || !x.bodySent() {
		conn.giveUp()
	}
	_ = res.Body.Close()
}

// bodySent reports whether nothing of the caller's body is left to send.
func (x *exchange) bodySent() bool {
	return x.body == nil || x.body.ahead || x.body.ended.Load()
}

// reported reads a target's own figure, or -1.
func reported(h http.Header, name string) int {
	text := first(h, name)
	if text == "" {
		return -1
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 {
		return -1
	}
	return n
}

// maxRetryAfter bounds a time to come back that another process names.
const maxRetryAfter = time.Hour

func retryAfter(h http.Header) time.Duration {
	return span(first(h, "Retry-After"), time.Second)
}

func ownRetryAfter(h http.Header) time.Duration {
	return span(first(h, headerRetryAfter), time.Millisecond)
}

// span reads a count of units. It is bounded before it is multiplied, since a
// product that overflows would come out as a time in the past.
func span(text string, unit time.Duration) time.Duration {
	count, err := strconv.ParseInt(text, 10, 64)
	if err != nil || count < 0 {
		return 0
	}
	return time.Duration(min(count, int64(maxRetryAfter/unit))) * unit
}

// parseRan reads the wire form; anything unknown means unknown.
func parseRan(text string) steering.Ran {
	switch text {
	case "no":
		return steering.RanNo
	case "yes":
		return steering.RanYes
	}
	return steering.RanUnknown
}
