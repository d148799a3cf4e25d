package forward

import (
	"net/http"

	"heatherlock/steering"
)

// serve answers a request whose service and deadline are known.
func (x *exchange) serve() *steering.Refusal {
	if refusal, done := x.handLate(); done {
		return refusal
	}
	if x.atMostOnce && x.key != "" && x.origin != fromZone {
		return x.serveKeyed()
	}
	return x.run()
}

// serveKeyed runs a key at most once, or answers with what is known of it.
func (x *exchange) serveKeyed() *steering.Refusal {
	if x.keyHome != x.f.self.Incarnation {
		return x.passHome()
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

// execute is the one execution of a key. The recorder is told how it ended
// whatever happens; a key without an end would make its repeats wait for ever.
func (x *exchange) execute(recorder Recorder) (refusal *steering.Refusal) {
	x.recorder = recorder
	finished := false
	defer func() {
		if !finished {
			recorder.Refused(steering.Unknown(steering.ReasonTargetFailed, "the entry VM failed while it ran the request"))
		}
	}()
	x.outlive()
	refusal = x.run()
	if refusal != nil {
		final := *refusal
		final.Ran = x.atLeast(final.Ran)
		recorder.Refused(&final)
	}
	finished = true
	return refusal
}

// replay sends a stored answer.
func (x *exchange) replay(answer *Answer) {
	h := x.w.Header()
	copyEndToEnd(h, answer.Header)
	delete(h, targetRequestID)
	if x.callerID != nil {
		h[targetRequestID] = x.callerID
	}
	x.ownHeaders(x.f.selfName)
	h.Set(headerReplayed, "true")
	for name := range answer.Trailer {
		h.Add("Trailer", name)
	}
	x.committed = true
	x.w.WriteHeader(answer.Status)
	if x.r.Method != http.MethodHead {
		_, _ = x.w.Write(answer.Body)
	}
	for name, values := range answer.Trailer {
		h[name] = values
	}
	x.f.counters.replayed.Inc(1)
}
