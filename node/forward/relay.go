package forward

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"heatherlock/node/gateway/buffering"
	"heatherlock/node/seam"
	"heatherlock/responses"
	"heatherlock/steering"
	"heatherlock/steering/request"
)

// relayBufferBytes is the size of the buffer through which responses are streamed. A response of
// known length that fits into it is read whole before anything is sent to the caller, so that a
// truncated one can still be replaced.
const relayBufferBytes = 32 << 10

// maxResponseStall limits the time between two reads from a response that has begun.
const maxResponseStall = 60 * time.Second

var buffers = sync.Pool{New: func() any { return new([relayBufferBytes]byte) }}

// relay streams a response to the caller.
//
// A truncated response must never look like a complete one. Before its header is sent, it becomes a
// refusal, and the request may be retried. After that, the caller's connection is closed
// abnormally, since there is no other way to signal that the response is incomplete.
func (x *exchange) relay(up *upstream, res *http.Response, conn *exchangeConn) tryResult {
	defer res.Body.Close()
	buf := buffers.Get().(*[relayBufferBytes]byte)
	defer buffers.Put(buf)
	n, complete, err := readFirstChunk(res, x.r.Method, buf[:], conn)
	if err != nil {
		conn.abandon()
		return x.truncatedBeforeHeader(err)
	}
	// The deadline only applies until here.
	x.timer.Stop()
	if complete && up.complete != nil {
		up.complete(tryResult{kind: outcomeOf(res.StatusCode), inFlight: up.inFlight, slots: up.slots})
	}
	toCaller := x.closeDelimited(res)
	if toCaller != nil {
		buffering.ResetOnClose(toCaller, true) // also if this process ends before the response does
	}
	x.sendHeader(up, res)
	x.callerWriter = newCallerWriter(x.w, x.f.limits.BodyMinBytesPerSec)
	defer x.callerWriter.release()
	x.forwardChunk(buf[:n], false)
	if !complete {
		if err := x.stream(res, buf[:], conn); err != nil {
			conn.abandon()
			return x.truncatedAfterHeader(err)
		}
	}
	x.finishTrailers(res)
	if toCaller != nil {
		buffering.ResetOnClose(toCaller, false)
	}
	x.fire(request.Complete)
	if x.recorder != nil {
		x.recorder.Complete(res.Trailer)
	}
	if !x.bodySent() {
		conn.abandon() // the target responded without reading the whole body
	}
	x.counters.answered.Inc(1)
	return newTryResult(outcomeOf(res.StatusCode), nil)
}

// closeDelimited returns the caller's connection if nothing but its end tells the caller that the response is complete, and
// nil otherwise.
func (x *exchange) closeDelimited(res *http.Response) net.Conn {
	if endsByClose(res, x.r.Method) || res.ContentLength < 0 && !x.r.ProtoAtLeast(1, 1) {
		return x.netConn()
	}
	return nil
}

// outcomeOf classifies a complete response by its status.
func outcomeOf(status int) seam.OutcomeKind {
	if status >= http.StatusInternalServerError {
		return seam.OutcomeFailed
	}
	return seam.OutcomeOK
}

// readFirstChunk reads the first chunk of a response, and all of it if it is short and of known
// length.
func readFirstChunk(res *http.Response, method string, buf []byte, conn *exchangeConn) (n int, complete bool, err error) {
	if method == http.MethodHead || res.Body == http.NoBody || res.ContentLength == 0 {
		return 0, true, nil
	}
	if res.ContentLength > 0 && res.ContentLength <= int64(len(buf)) {
		n, err = io.ReadFull(res.Body, buf[:res.ContentLength])
		if err != nil {
			return n, false, err
		}
		// This read reaches the end of the body, which returns the connection to the idle pool.
		_, _ = res.Body.Read(buf[n:][:0])
		return n, true, nil
	}
	n, err = res.Body.Read(buf)
	if err == io.EOF {
		return n, true, checkEnd(res, conn)
	}
	return n, false, err
}

// sendHeader sends the response header.
func (x *exchange) sendHeader(up *upstream, res *http.Response) {
	h := x.w.Header()
	copyEndToEnd(h, res.Header)
	delete(h, targetRequestID)
	delete(h, targetInFlight) // meant for the entry VMs only
	delete(h, targetSlots)
	if x.callerID != nil {
		h[targetRequestID] = x.callerID
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // otherwise the server guesses one
	}
	for name := range res.Trailer {
		h.Add("Trailer", name)
	}
	if endsByClose(res, x.r.Method) {
		// The target marks the end of the response by closing the connection, so truncation can't
		// be detected. Sending it in chunks would claim that it was complete.
		h["Transfer-Encoding"] = identity
	}
	x.setCommonHeaders(up.via)
	if replayed := res.Header[headerReplayed]; up.peer && replayed != nil {
		h[headerReplayed] = replayed
	}
	if x.origin == originSpillover {
		x.setFreeHeader()
	}
	x.headerSent = true
	x.fire(request.Answer)
	x.w.WriteHeader(res.StatusCode)
	if x.recorder != nil {
		x.recorder.Head(res.StatusCode, res.Header)
	}
}

func endsByClose(res *http.Response, method string) bool {
	return res.ContentLength < 0 && len(res.TransferEncoding) == 0 && method != http.MethodHead && res.Body != http.NoBody
}

// stream relays the rest of a response chunk by chunk.
func (x *exchange) stream(res *http.Response, buf []byte, conn *exchangeConn) error {
	flush := res.ContentLength < 0
	if flush {
		x.callerWriter.flush()
	}
	for {
		x.timer.Reset(maxResponseStall)
		n, err := res.Body.Read(buf)
		x.timer.Stop() // the time spent writing to the caller is limited by callerWriter
		ended := err == io.EOF
		if ended {
			err = checkEnd(res, conn) // before the caller takes the rest, for which other requests would wait
		}
		x.forwardChunk(buf[:n], flush)
		if err != nil || ended {
			return err
		}
		if x.callerGone && x.recorder == nil {
			return errCallerGone
		}
	}
}

var errCallerGone = errors.New("forward: the caller went away")

func (x *exchange) forwardChunk(p []byte, flush bool) {
	if len(p) == 0 {
		return
	}
	if x.recorder != nil {
		x.recorder.Body(p)
	}
	if x.callerGone {
		return
	}
	if err := x.callerWriter.write(p, flush); err != nil {
		x.callerGone = true
	}
}

// finishTrailers sends the trailer fields.
func (x *exchange) finishTrailers(res *http.Response) {
	if len(res.Trailer) == 0 {
		return
	}
	h := x.w.Header()
	announced := make(map[string]bool)
	for _, name := range h["Trailer"] {
		announced[name] = true
	}
	for name, values := range res.Trailer {
		if announced[name] {
			h[name] = values
		} else {
			h[http.TrailerPrefix+name] = values
		}
	}
}

// truncatedBeforeHeader returns the result for a response that ended early, before any of it was
// sent to the caller.
func (x *exchange) truncatedBeforeHeader(err error) tryResult {
	if errors.Is(context.Cause(x.ctx), errCutByStop) {
		return newTryResult(seam.OutcomeCancelled, cutByStopRefusal(true))
	}
	if errors.Is(context.Cause(x.ctx), errDeadline) {
		return newTryResult(seam.OutcomeTimeout, steering.RefuseUnknown(steering.ReasonDeadline, "the deadline passed within the answer"))
	}
	if context.Cause(x.ctx) != nil {
		return newTryResult(seam.OutcomeCancelled, steering.RefuseUnknown(steering.ReasonCancelled, "the caller went away"))
	}
	if errors.Is(err, responses.ErrMalformed) {
		return newTryResult(seam.OutcomeBroken, steering.RefuseUnknown(steering.ReasonResponseMalformed, err.Error()))
	}
	result := newTryResult(seam.OutcomeBroken, steering.RefuseUnknown(steering.ReasonResponseTruncated, err.Error()))
	result.connectionBroken = true
	return result
}

// truncatedAfterHeader returns the result for a response that ended early after its header was sent
// to the caller.
func (x *exchange) truncatedAfterHeader(err error) tryResult {
	x.abort = true
	x.fire(request.CutShort)
	cut := steering.RefuseUnknown(steering.ReasonResponseTruncated, err.Error())
	if x.recorder != nil {
		x.recorder.Refused(cut)
	}
	if x.callerGone && x.callerWriter.slow {
		x.f.counters.refuse(steering.ReasonSlowReader)
		return newTryResult(seam.OutcomeCancelled, nil)
	}
	if errors.Is(context.Cause(x.ctx), errCutByStop) {
		x.f.counters.refuse(steering.ReasonStopped)
		return newTryResult(seam.OutcomeCancelled, nil)
	}
	if errors.Is(err, errCallerGone) || errors.Is(context.Cause(x.ctx), context.Canceled) {
		x.f.counters.refuse(steering.ReasonCancelled)
		return newTryResult(seam.OutcomeCancelled, nil)
	}
	x.f.counters.refuse(steering.ReasonResponseTruncated)
	x.f.counters.aborted.Inc(1)
	result := newTryResult(seam.OutcomeBroken, nil)
	result.connectionBroken = true
	return result
}
