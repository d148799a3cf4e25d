package relay

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"heatherlock/node/gateway/callers"
	"heatherlock/node/gateway/planted"
	"heatherlock/steering"
	"heatherlock/steering/losses"
)

// givenUp answers a request whose time is over.
func (x *exchange) givenUp() *callers.Response {
	if x.running == 0 && !x.maybeRan {
		return x.refuse(steering.ReasonNoSlot, 0)
	}
	return x.unknown(steering.ReasonDeadline)
}

// failed answers a request whose last try brought no usable answer.
func (x *exchange) failed(e end) *callers.Response {
	if !x.maybeRan {
		switch {
		case e.unsent && x.noRoom != nil:
			return x.refuse(x.noRoom.Reason, x.noRoom.RetryAfter)
		case e.unsent:
			return x.refuse(steering.ReasonNoTarget, shedRetry)
		}
		return x.refuse(steering.ReasonShed, shedRetry)
	}
	if e.err == nil {
		return x.unknown(steering.ReasonAnswerCrossed)
	}
	return x.unknown(steering.ReasonTargetDied)
}

// shedRetry is when to come back after targets refused: about a service time.
const shedRetry = 200 * time.Millisecond

// refuse answers a request that has not run.
func (x *exchange) refuse(reason steering.Reason, retryAfter time.Duration) *callers.Response {
	x.count(losses.Refused, reason)
	x.f.cfg.Allowances.Return(x.workspace, reason)
	return x.f.refuse(x.subject(x.call), reason, retryAfter, x.detail())
}

// unknown answers a request that may have run.
func (x *exchange) unknown(reason steering.Reason) *callers.Response {
	x.f.cfg.Events.Refused(reason)
	x.count(losses.Failed, reason)
	x.f.logEnd("outcome unknown", x.subject(x.call), reason, x.detail())
	status := http.StatusBadGateway
	if planted.Defect == planted.FalselyNotRun {
		status = http.StatusServiceUnavailable
	}
	if reason == steering.ReasonDeadline {
		status = http.StatusGatewayTimeout
	}
	return ownResponse(status, reason, steering.Reasons[reason].Meaning, 0)
}

// detail is what the log tells of a request beside its end: what was known when
// it was decided, and each try.
func (x *exchange) detail() []any {
	line := []any{"service", x.service, "kind", x.route.Kind.String(), "key", x.call.Key, "deadline_ms", x.call.Deadline.Milliseconds(),
		"timeout_ms", x.route.Timeout.Milliseconds(), "took_ms", time.Since(x.r.Received).Milliseconds(), "store_age_ms", x.f.storeAge().Milliseconds()}
	if x.noRoom != nil && x.noRoom.Wait > 0 {
		line = append(line, "shortest_wait_ms", x.noRoom.Wait.Milliseconds())
	}
	if len(x.history) > 0 {
		line = append(line, "tries", x.history)
	}
	if x.stopped != "" {
		line = append(line, "no_further_try", x.stopped)
	}
	return line
}

// deliver passes a target's answer on.
func (x *exchange) deliver(e end) *callers.Response {
	x.f.cfg.Events.Served(x.route.Kind, e.answer.Status, time.Since(x.r.Received))
	ready := time.Since(x.r.Received)
	if len(x.history) > 1 || e.answer.Status >= http.StatusInternalServerError {
		x.f.logEnd("passed on", x.subject(x.call), "", append(x.detail(), "status", e.answer.Status))
	}
	return &callers.Response{Status: e.answer.Status, Header: endToEnd(e.answer.Header), Body: e.answer.Body,
		Rest: e.answer.Rest, Length: e.answer.Length, Close: x.r.Rest != nil,
		Turn: func() { x.countAnswer(outcomeOfAnswer(e.answer.Status), ready) }}
}

func formatSeconds(d time.Duration) string {
	return strconv.FormatFloat(math.Ceil(d.Seconds()*100)/100, 'f', -1, 64)
}
