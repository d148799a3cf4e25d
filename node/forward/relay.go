package forward

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"heatherlock/node/seam"
	"heatherlock/steering"
	"heatherlock/steering/request"
)

// relayBuffer is the piece in which answers are streamed. An answer of known
// length that fits is read whole before anything goes to the caller, so that
// one that ends early can still be replaced.
const relayBuffer = 32 << 10

// answerStall bounds the time between two pieces of an answer that has begun.
const answerStall = 60 * time.Second

var buffers = sync.Pool{New: func() any { return new([relayBuffer]byte) }}

// relay streams an answer to the caller.
//
// An answer that ends early must never pass for a whole one. Before its header
// went out it becomes a refusal, and the request may be tried again; after
// that the caller's connection is broken off, since nothing else tells a
// caller that what it has is not all.
func (x *exchange) relay(l *leg, res *http.Response, conn *exchangeConn) ending {
	defer res.Body.Close()
	buf := buffers.Get().(*[relayBuffer]byte)
	defer buffers.Put(buf)
	n, whole, err := readFirst(res, x.r.Method, buf[:])
	if err != nil {
		conn.giveUp()
		return x.cutBeforeStart(err)
	}
	// The deadline bounds the time until here.
	x.timer.Stop()
	if whole && l.whole != nil {
		l.whole(ending{kind: kindOf(res.StatusCode), inFlight: l.inFlight, slots: l.slots})
	}
	x.commit(l, res)
	x.taker = newTaker(x.w, x.f.limits.BodyMinBytesPerSec)
	defer x.taker.release()
	x.forwardPiece(buf[:n], false)
	if !whole {
		if err := x.stream(res, buf[:]); err != nil {
			conn.giveUp()
			return x.cutAfterStart(err)
		}
	}
	x.finishTrailers(res)
	x.fire(request.Whole)
	if x.recorder != nil {
		x.recorder.Whole(res.Trailer)
	}
	if !x.bodySent() {
		conn.giveUp() // the target answered without taking the whole body
	}
	x.counters.answered.Inc(1)
	return ended(kindOf(res.StatusCode), nil)
}

// kindOf classifies a whole answer by its status.
func kindOf(status int) seam.OutcomeKind {
	if status >= http.StatusInternalServerError {
		return seam.OutcomeFailed
	}
	return seam.OutcomeOK
}

// readFirst reads the first piece of an answer, and all of it when it is short
// and of known length.
func readFirst(res *http.Response, method string, buf []byte) (n int, whole bool, err error) {
	if method == http.MethodHead || res.Body == http.NoBody || res.ContentLength == 0 {
		return 0, true, nil
	}
	if res.ContentLength > 0 && res.ContentLength <= int64(len(buf)) {
		n, err = io.ReadFull(res.Body, buf[:res.ContentLength])
		if err != nil {
			return n, false, err
		}
		// The next read meets the end, and with it the connection is free.
		_, _ = res.Body.Read(buf[n:][:0])
		return n, true, nil
	}
	n, err = res.Body.Read(buf)
	if err == io.EOF {
		return n, true, nil
	}
	return n, false, err
}

// commit sends the answer's header.
func (x *exchange) commit(l *leg, res *http.Response) {
	h := x.w.Header()
	copyEndToEnd(h, res.Header)
	delete(h, targetRequestID)
	delete(h, targetInFlight) // between the target and its zone
	delete(h, targetSlots)
	if x.callerID != nil {
		h[targetRequestID] = x.callerID
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // else the server guesses one
	}
	for name := range res.Trailer {
		h.Add("Trailer", name)
	}
	if endsWithConnection(res, x.r.Method) {
		// The target marks the end by closing, so a cut can't be told from the
		// end. Chunks would assert that it was whole.
		h["Transfer-Encoding"] = identity
	}
	x.ownHeaders(l.via)
	if replayed := res.Header[headerReplayed]; l.peer && replayed != nil {
		h[headerReplayed] = replayed
	}
	if x.origin == fromZone {
		x.freeHeader()
	}
	x.committed = true
	x.fire(request.Answer)
	x.w.WriteHeader(res.StatusCode)
	if x.recorder != nil {
		x.recorder.Head(res.StatusCode, res.Header)
	}
}

func endsWithConnection(res *http.Response, method string) bool {
	return res.ContentLength < 0 && len(res.TransferEncoding) == 0 && method != http.MethodHead && res.Body != http.NoBody
}

// stream relays the rest of an answer piece by piece.
func (x *exchange) stream(res *http.Response, buf []byte) error {
	flush := res.ContentLength < 0
	if flush {
		x.taker.flush()
	}
	for {
		x.timer.Reset(answerStall)
		n, err := res.Body.Read(buf)
		x.timer.Stop() // time spent on the caller is bounded by the taker
		x.forwardPiece(buf[:n], flush)
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if x.callerGone && x.recorder == nil {
			return errCallerGone
		}
	}
}

var errCallerGone = errors.New("forward: the caller went away")

func (x *exchange) forwardPiece(p []byte, flush bool) {
	if len(p) == 0 {
		return
	}
	if x.recorder != nil {
		x.recorder.Body(p)
	}
	if x.callerGone {
		return
	}
	if err := x.taker.write(p, flush); err != nil {
		x.callerGone = true
	}
}

// finishTrailers sends the fields that came after the body.
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

// cutBeforeStart is an answer that ended before any of it went to the caller.
func (x *exchange) cutBeforeStart(err error) ending {
	if errors.Is(context.Cause(x.ctx), errCut) {
		return ended(seam.OutcomeCancelled, wasCut(true))
	}
	if errors.Is(context.Cause(x.ctx), errDeadline) {
		return ended(seam.OutcomeTimeout, steering.Unknown(steering.ReasonDeadline, "the deadline passed within the answer"))
	}
	if context.Cause(x.ctx) != nil {
		return ended(seam.OutcomeCancelled, steering.Unknown(steering.ReasonCancelled, "the caller went away"))
	}
	result := ended(seam.OutcomeBroken, steering.Unknown(steering.ReasonAnswerCut, err.Error()))
	result.died = true
	return result
}

// cutAfterStart is an answer that ended in the caller's hands.
func (x *exchange) cutAfterStart(err error) ending {
	x.abort = true
	x.fire(request.CutShort)
	cut := steering.Unknown(steering.ReasonAnswerCut, err.Error())
	if x.recorder != nil {
		x.recorder.Refused(cut)
	}
	if x.callerGone && x.taker.slow {
		x.f.counters.refuse(steering.ReasonSlowReader)
		return ended(seam.OutcomeCancelled, nil)
	}
	if errors.Is(context.Cause(x.ctx), errCut) {
		x.f.counters.refuse(steering.ReasonStopped)
		return ended(seam.OutcomeCancelled, nil)
	}
	if errors.Is(err, errCallerGone) || errors.Is(context.Cause(x.ctx), context.Canceled) {
		x.f.counters.refuse(steering.ReasonCancelled)
		return ended(seam.OutcomeCancelled, nil)
	}
	x.f.counters.refuse(steering.ReasonAnswerCut)
	x.f.counters.aborted.Inc(1)
	result := ended(seam.OutcomeBroken, nil)
	result.died = true
	return result
}
