package forward

import (
	"net/http"

	"heatherlock/steering"
)

// serve processes a request whose service and deadline are known.
func (x *exchange) serve() *steering.Refusal {
	if refusal, done := x.forwardWhileLeaving(); done {
		return refusal
	}
	if x.atMostOnce && x.key != "" && x.origin != originSpillover {
		return x.serveKeyed()
	}
	return x.run()
}

// serveKeyed runs a key at most once, or answers with the stored outcome of the key.
func (x *exchange) serveKeyed() *steering.Refusal {
	if x.keyOwner != x.f.self.Incarnation {
		return x.forwardToKeyOwner()
	}
	recorder, answer, refusal := x.f.outcomes.Claim(x.ctx, x.key, x.fingerprint)
	x.claimed = true
	switch {
	case refusal != nil:
		return refusal
	case answer != nil:
		x.replay(answer)
		return nil
	}
	return x.execute(recorder)
}

// execute runs the one execution of a key. It reports an outcome to the recorder in every case,
// since repeats of a key without an outcome would wait forever.
func (x *exchange) execute(recorder Recorder) (refusal *steering.Refusal) {
	x.recorder = recorder
	finished := false
	defer func() {
		if !finished {
			recorder.Refused(steering.RefuseUnknown(steering.ReasonTargetFailed, "the entry VM failed while it ran the request"))
		}
	}()
	x.detachFromCaller()
	refusal = x.run()
	if refusal != nil {
		final := *refusal
		final.Ran = x.acrossTries(final.Ran)
		recorder.Refused(&final)
	}
	finished = true
	return refusal
}

// replay sends a stored response.
func (x *exchange) replay(answer *Answer) {
	h := x.w.Header()
	copyEndToEnd(h, answer.Header)
	delete(h, targetRequestID)
	if x.callerID != nil {
		h[targetRequestID] = x.callerID
	}
	x.setCommonHeaders(x.f.selfName)
	h.Set(headerReplayed, "true")
	for name := range answer.Trailer {
		h.Add("Trailer", name)
	}
	x.headerSent = true
	x.w.WriteHeader(answer.Status)
	if x.r.Method != http.MethodHead {
		_, _ = x.w.Write(answer.Body)
	}
	for name, values := range answer.Trailer {
		h[name] = values
	}
	x.f.counters.replayed.Inc(1)
}
