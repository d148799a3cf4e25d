package relay

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"heatherlock/node/gateway/callers"
	"heatherlock/node/gateway/planted"
	"heatherlock/responses"
	"heatherlock/steering"
	"heatherlock/steering/losses"
)

// timedOut returns the response to a request whose time is up. Attempts that have not begun to send
// it no longer will; if no other one may have run it, it has not run.
func (x *exchange) timedOut() *callers.Response {
	x.unansweredAtHelper()
	if begun := x.sending.close(); x.maybeRan || begun > x.endedSent {
		return x.outcomeUnknown(steering.ReasonDeadline)
	}
	if x.running > 0 {
		return x.refuse(steering.ReasonNoTarget, shedRetryAfter)
	}
	return x.refuse(steering.ReasonNoSlot, 0)
}

// failed returns the response to a request whose last attempt got no usable response.
func (x *exchange) failed(e attemptResult) *callers.Response {
	if !x.maybeRan {
		switch {
		case e.unsent && x.noCapacity != nil:
			return x.refuse(x.noCapacity.Reason, x.noCapacity.RetryAfter)
		case e.unsent:
			return x.refuse(steering.ReasonNoTarget, shedRetryAfter)
		}
		return x.refuse(steering.ReasonShed, shedRetryAfter)
	}
	if e.err == nil {
		return x.outcomeUnknown(steering.ReasonResponseMismatched)
	}
	if errors.Is(e.err, responses.ErrMalformed) {
		return x.outcomeUnknown(steering.ReasonResponseMalformed)
	}
	return x.outcomeUnknown(steering.ReasonTargetLost)
}

// shedRetryAfter is the Retry-After once targets refused a request: about one service time.
const shedRetryAfter = 200 * time.Millisecond

// refuse returns the response to a request that has not run.
func (x *exchange) refuse(reason steering.Reason, retryAfter time.Duration) *callers.Response {
	x.recordOutcome(losses.Refused, reason)
	x.recordRefusal(reason)
	if x.hop != nil {
		return x.hop.refuse(x.f, x.requestInfo(x.call), reason, retryAfter, x.reachedTarget, x.detail())
	}
	x.f.cfg.Allowances.ReturnCredit(x.workspace, reason)
	return x.f.refuse(x.requestInfo(x.call), reason, retryAfter, x.detail())
}

// outcomeUnknown returns the response to a request that may have run.
func (x *exchange) outcomeUnknown(reason steering.Reason) *callers.Response {
	x.f.cfg.Metrics.Refused(reason)
	x.recordOutcome(losses.Failed, reason)
	x.f.logRequest("outcome unknown", x.requestInfo(x.call), reason, x.detail())
	status := http.StatusBadGateway
	if planted.Defect == planted.FalselyNotRun {
		status = http.StatusServiceUnavailable
	}
	if reason == steering.ReasonDeadline {
		status = http.StatusGatewayTimeout
	}
	response := localResponse(status, reason, steering.Reasons[reason].Meaning, 0)
	if x.hop != nil {
		return x.hop.answer(response, hopUnknown, x.table)
	}
	return response
}

// detail returns the log fields that describe the request: what was known when it was decided, and
// each attempt.
func (x *exchange) detail() []any {
	line := []any{"service", x.service, "kind", x.route.Kind.String(), "key", x.call.Key, "deadline_ms", x.call.Deadline.Milliseconds(),
		"timeout_ms", x.route.Timeout.Milliseconds(), "took_ms", time.Since(x.r.Received).Milliseconds(), "store_age_ms", x.f.storeAge().Milliseconds()}
	if x.noCapacity != nil && x.noCapacity.Wait > 0 {
		line = append(line, "shortest_wait_ms", x.noCapacity.Wait.Milliseconds())
	}
	if u := x.beyondShare; u != nil {
		line = append(line, "rank", u.Rank, "demand_per_s", u.Demand, "share_per_s", u.Share)
	}
	if x.noCapacity != nil && x.noCapacity.TooSlow {
		line = append(line, "run_too_slow", true)
	}
	if x.held.total > 0 {
		line = append(line, "held_ms", x.held.total.Milliseconds(), "held_until", x.held.end)
	}
	if x.hop != nil {
		line = append(line, "passed_on_by", x.hop.from)
	}
	if x.noHelper {
		known, avoided := x.f.countHelpers()
		line = append(line, "helpers", known, "helpers_avoided", avoided)
	}
	if len(x.history) > 0 {
		line = append(line, "tries", x.history)
	}
	if x.noRetryReason != "" {
		line = append(line, "no_further_try", x.noRetryReason)
	}
	return line
}

// deliver passes a target's response on to the caller.
func (x *exchange) deliver(e attemptResult) *callers.Response {
	x.recordServed()
	if x.hop != nil {
		x.responder = e.pick.Target.Name
		return x.hop.answer(&callers.Response{Status: e.response.Status, Header: endToEnd(e.response.Header), Body: e.response.Body,
			BodyRest: e.response.BodyRest, Length: e.response.Length, Close: x.r.BodyRest != nil}, hopDelivered, x.table)
	}
	x.f.cfg.Metrics.Served(x.route.Kind, e.response.Status, time.Since(x.r.Received))
	ready := time.Since(x.r.Received)
	rejected := e.response.Status >= http.StatusBadRequest && x.f.outcomeCounts.mayLogRejection(time.Now())
	if len(x.history) > 1 || e.response.Status >= http.StatusInternalServerError || rejected {
		x.f.logRequest("passed on", x.requestInfo(x.call), "", append(x.detail(), "status", e.response.Status))
	}
	return &callers.Response{Status: e.response.Status, Header: endToEnd(e.response.Header), Body: e.response.Body,
		BodyRest: e.response.BodyRest, Length: e.response.Length, Close: x.r.BodyRest != nil,
		BeforeWrite: func() {
			x.recordResponse(outcomeOfStatus(e.response.Status), ready)
			if waited := time.Since(x.r.Received) - ready; waited >= longHold && x.f.holds.mayLog(time.Now()) {
				x.f.logRequest("response waited for earlier ones", x.requestInfo(x.call), "", append(x.detail(), "waited_ms", waited.Milliseconds()))
			}
		}}
}

func formatSeconds(d time.Duration) string {
	return strconv.FormatFloat(math.Ceil(d.Seconds()*100)/100, 'f', -1, 64)
}
