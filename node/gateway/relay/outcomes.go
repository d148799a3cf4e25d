package relay

import (
	"net/http"
	"time"

	"heatherlock/node/lock"
	"heatherlock/platform"
	"heatherlock/steering"
	"heatherlock/steering/losses"
	"heatherlock/steering/placement"
	"heatherlock/steering/routes"
)

// outcomeCounts counts the outcomes of requests and their causes for the log, which shows where
// callers lose without a log line for each request: at 2,400 requests per second over all entry
// VMs, such lines would use more CPU than the requests themselves.
type outcomeCounts struct {
	mu    lock.Mutex
	tally *losses.Tally
	// rejections bounds the lines about responses of targets with status 4xx.
	rejections lineLimit
}

// maxRejectionLines is how many of a second's responses of targets with status 4xx are logged, as examples: for some services
// they are usual. All are counted by status in the metrics.
const maxRejectionLines = 4

// lineLimit bounds the lines of one kind that are logged in a second. It is not safe for concurrent use.
type lineLimit struct {
	second int64
	lines  int
}

// allow reports whether one more line may be logged.
func (l *lineLimit) allow(now time.Time, most int) bool {
	if second := now.Unix(); second != l.second {
		l.second, l.lines = second, 0
	}
	l.lines++
	return l.lines <= most
}

// mayLogRejection reports whether a target's response with status 4xx may be logged.
func (s *outcomeCounts) mayLogRejection(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rejections.allow(now, maxRejectionLines)
}

func newOutcomeCounts() *outcomeCounts { return &outcomeCounts{tally: losses.NewTally()} }

// kindOf returns the kind under which a request is counted.
func kindOf(route *routes.Route, service steering.Service) losses.Kind {
	if route == nil {
		return losses.Kind{}
	}
	return losses.Kind{Service: service, Repeats: route.Kind.String(), AimMs: route.Aim.Milliseconds()}
}

// add counts a request that ended as r describes. It sets r.TimeUsed itself.
func (s *outcomeCounts) add(k losses.Kind, r losses.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.TimeUsed = s.tally.TimeUsed(k, r.Deadline)
	if r.Outcome == losses.InAim && r.Aim > 0 && r.TimeUsed+r.Latency > r.Aim {
		r.Outcome = losses.Late
	}
	cause := losses.Cause("")
	if r.Outcome != losses.InAim {
		cause = losses.CauseOf(r)
	}
	s.tally.Add(k, r.Outcome, cause, r.TimeUsed > 0)
}

// LogOutcomeCounts logs the counts of the requests that ended since the last call in one line, or
// nothing if there were none.
func (f *Relay) LogOutcomeCounts() {
	f.outcomeCounts.mu.Lock()
	all := f.outcomeCounts.tally.Take()
	f.outcomeCounts.mu.Unlock()
	if len(all) > 0 {
		_ = f.cfg.Log.Log("msg", losses.LogMessage, "zone", f.cfg.Zone, "sums", all) // the log writer counts dropped lines
	}
}

// recordRefused counts a request that was refused before an exchange was started for it.
func (f *Relay) recordRefused(route *routes.Route, call platform.RequestInfo, reason steering.Reason) {
	service := steering.Service("")
	if route != nil && len(route.Parts) > 0 {
		service = route.Parts[0].Service
	}
	f.outcomeCounts.add(kindOf(route, service), losses.Request{Outcome: losses.Refused, Reason: reason, Deadline: call.Deadline})
}

// recordOutcome counts the exchange as ended by a response of this VM's own, or by none.
func (x *exchange) recordOutcome(o losses.Outcome, reason steering.Reason) {
	x.recordEnd(o, reason, time.Since(x.r.Received))
}

// recordResponse counts the exchange as ended by a target's response. The response was ready that
// long after the request arrived, and is being written now.
func (x *exchange) recordResponse(o losses.Outcome, ready time.Duration) { x.recordEnd(o, "", ready) }

// recordEnd counts the exchange as ended. A request that another entry VM passed on is counted there.
func (x *exchange) recordEnd(o losses.Outcome, reason steering.Reason, ready time.Duration) {
	if x.hop != nil {
		return
	}
	x.f.outcomeCounts.add(kindOf(x.route, x.service), x.lossesRequest(o, reason, ready))
}

// lossesRequest describes the exchange for the attribution of what callers lose.
func (x *exchange) lossesRequest(o losses.Outcome, reason steering.Reason, ready time.Duration) losses.Request {
	r := losses.Request{PassedOn: x.causeToldByOwner, Outcome: o, Reason: reason, Aim: x.route.Aim, Deadline: x.call.Deadline,
		Ready: ready, Latency: time.Since(x.r.Received), WarmRunTime: x.warmTime}
	for _, t := range x.history {
		if t.End == "" && reason == "" {
			continue // lost the race against the other attempt of a hedged request
		}
		if t.Helper == "" {
			r.Tries = append(r.Tries, t.summary(x.r.Received))
		}
	}
	return r
}

// causeOfLoss returns the cause for which the exchange is not answered in time, or would not be if its caller
// had little time left. It is told to the VM that passed the request on.
func (x *exchange) causeOfLoss(verdict hopVerdict, reason steering.Reason) losses.Cause {
	outcome := losses.Late
	switch verdict {
	case hopNotRun, hopElsewhere:
		outcome = losses.Refused
	case hopUnknown:
		outcome = losses.Failed
	}
	r := x.lossesRequest(outcome, reason, time.Since(x.r.Received))
	r.Aim = min(r.Aim, r.Ready-1) // it counts as late
	return losses.CauseOf(r)
}

// summary returns what an attempt showed about its target. An attempt that has not ended counts as
// Silent, which means that no response arrived.
func (t tried) summary(received time.Time) losses.Try {
	summary := losses.Try{Outcome: t.report.Outcome, Latency: t.report.Latency, InvalidResponse: t.unusable, Wait: time.Duration(t.WaitMs) * time.Millisecond, OtherRegion: t.crossRegion}
	if t.End == "" {
		summary.Outcome = placement.Silent
		summary.Latency = time.Since(received) - time.Duration(t.AtMs)*time.Millisecond
		return summary
	}
	summary.Saturated = t.report.Saturated(t.slots)
	return summary
}

// outcomeOfStatus returns the outcome for the caller of a target's response, leaving its latency
// aside.
func outcomeOfStatus(status int) losses.Outcome {
	if status >= http.StatusInternalServerError {
		return losses.Failed
	}
	return losses.InAim
}
