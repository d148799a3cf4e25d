package forward

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"heatherlock/node/seam"
	"heatherlock/responses"
	"heatherlock/steering"
)

// handleResponse checks the response header and relays the response if it is valid for the caller.
func (x *exchange) handleResponse(up *upstream, res *http.Response, conn *exchangeConn) tryResult {
	if up.peer {
		return x.handlePeerResponse(up, res, conn)
	}
	return x.handleTargetResponse(up, res, conn)
}

// handleTargetResponse rejects the response to another request and a target's typed refusal.
// Everything else is the service's response, errors included.
func (x *exchange) handleTargetResponse(up *upstream, res *http.Response, conn *exchangeConn) tryResult {
	up.inFlight, up.slots = reportedCount(res.Header, targetInFlight), reportedCount(res.Header, targetSlots)
	var result tryResult
	switch {
	case mismatchedID(res.Header, targetRequestID, string(x.id), false):
		result = x.rejectMismatched(res, conn)
	case res.StatusCode == http.StatusServiceUnavailable && firstValue(res.Header, targetNotRun) == "true":
		result = newTryResult(seam.OutcomeShed, steering.Refuse(steering.ReasonShed, retryAfter(res.Header), "the target refused without running it"))
		result.rest = retryAfter(res.Header)
		if err := x.discard(res, conn); err != nil {
			result = brokenOffRefusal(err)
		}
	case x.retryOnStatus(res.StatusCode):
		result = newTryResult(seam.OutcomeFailed, steering.RefuseUnknown(steering.ReasonTargetFailed, fmt.Sprintf("the target answered %d", res.StatusCode)))
		_ = x.discard(res, conn) // whole or not, it is a failure
	default:
		result = x.relay(up, res, conn)
	}
	result.inFlight, result.slots = up.inFlight, up.slots
	return result
}

// handlePeerResponse distinguishes a refusal by another entry VM from the response of the service.
func (x *exchange) handlePeerResponse(up *upstream, res *http.Response, conn *exchangeConn) tryResult {
	if mismatchedID(res.Header, headerRequestID, string(x.id), true) {
		return x.rejectMismatched(res, conn)
	}
	if up.onPeerHeader != nil {
		up.onPeerHeader(res.Header)
	}
	reason := steering.Reason(firstValue(res.Header, headerReason))
	if reason == "" {
		if via := firstValue(res.Header, headerVia); via != "" {
			up.via += ", " + via
		}
		return x.relay(up, res, conn)
	}
	refusal := &steering.Refusal{
		Reason: reason, Ran: parseRan(firstValue(res.Header, headerRan)),
		RetryAfter: peerRetryAfter(res.Header), Detail: "refused by " + firstValue(res.Header, headerVia),
	}
	if err := x.discard(res, conn); err != nil {
		return brokenOffRefusal(err)
	}
	return newTryResult(seam.OutcomeShed, refusal)
}

// brokenOffRefusal returns the result for a refusal that broke off or broke the protocol. It proves nothing of its request.
func brokenOffRefusal(err error) tryResult {
	return newTryResult(seam.OutcomeBroken, steering.RefuseUnknown(steering.ReasonResponseTruncated, "a refusal broke off: "+err.Error()))
}

// mismatchedID reports whether a response carries the ID of another request in the header field
// name. If required is set, a response without the field is mismatched too.
func mismatchedID(h http.Header, name, want string, required bool) bool {
	values := h[name]
	if len(values) == 0 {
		return required
	}
	return len(values) != 1 || values[0] != want
}

// rejectMismatched closes the connection, because the next response on it may belong to yet another
// request.
func (x *exchange) rejectMismatched(res *http.Response, conn *exchangeConn) tryResult {
	conn.abandon()
	_ = res.Body.Close()
	return newTryResult(seam.OutcomeBroken, steering.RefuseUnknown(steering.ReasonResponseMismatched, "the answer carries the id of another request"))
}

// checkEnd checks what is left of a response whose body has ended. Its connection may carry other exchanges after that.
func checkEnd(res *http.Response, conn *exchangeConn) error {
	if !responses.HasTrailer(res) {
		return nil // checked with its head
	}
	if err := responses.CheckTrailer(res); err != nil {
		return err
	}
	conn.accept()
	return nil
}

// discardBytes is how much of an unwanted response is read at most so that its connection can be
// reused.
const discardBytes = 4 << 10

// discard reads an unwanted response, and returns an error if it broke off or broke the protocol in what was read.
func (x *exchange) discard(res *http.Response, conn *exchangeConn) error {
	n, err := io.CopyN(io.Discard, res.Body, discardBytes)
	ended := err == io.EOF
	if ended {
		err = checkEnd(res, conn)
	}
	if err != nil || !ended || n == discardBytes || !x.bodySent() {
		conn.abandon()
	}
	_ = res.Body.Close()
	return err
}

// bodySent reports whether all of the caller's body has been read.
func (x *exchange) bodySent() bool {
	return x.body == nil || x.body.fullyBuffered || x.body.eof.Load()
}

// reportedCount returns a count that a target or peer reports in a header field, or -1 if the field
// is missing or invalid.
func reportedCount(h http.Header, name string) int {
	text := firstValue(h, name)
	if text == "" {
		return -1
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 {
		return -1
	}
	return n
}

// maxRetryAfter caps the retry delay that another process sends.
const maxRetryAfter = time.Hour

func retryAfter(h http.Header) time.Duration {
	return parseDelay(firstValue(h, "Retry-After"), time.Second)
}

func peerRetryAfter(h http.Header) time.Duration {
	return parseDelay(firstValue(h, headerRetryAfter), time.Millisecond)
}

// parseDelay parses a number of units. It caps the number before multiplying, since a product that
// overflows would become a negative delay.
func parseDelay(text string, unit time.Duration) time.Duration {
	count, err := strconv.ParseInt(text, 10, 64)
	if err != nil || count < 0 {
		return 0
	}
	return time.Duration(min(count, int64(maxRetryAfter/unit))) * unit
}

// parseRan parses the wire form of steering.Ran. Any unrecognized text means RanUnknown.
func parseRan(text string) steering.Ran {
	switch text {
	case "no":
		return steering.RanNo
	case "yes":
		return steering.RanYes
	}
	return steering.RanUnknown
}
