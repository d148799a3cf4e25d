package relay

import (
	"net/http"
	"sync"
	"time"

	"heatherlock/platform"
	"heatherlock/steering"
	"heatherlock/steering/losses"
	"heatherlock/steering/placement"
	"heatherlock/steering/routes"
)

// sums counts what became of requests and why, for the log. Its lines tell where callers
// lose without a line for each request: at 2,400 requests a second over all entry VMs
// those would take more of the processor than the requests.
type sums struct {
	mu    sync.Mutex
	tally *losses.Tally
}

func newSums() *sums { return &sums{tally: losses.NewTally()} }

// kindOf returns what a request is counted by.
func kindOf(route *routes.Route, service steering.Service) losses.Kind {
	if route == nil {
		return losses.Kind{}
	}
	return losses.Kind{Service: service, Repeats: route.Kind.String(), AimMs: route.Aim.Milliseconds()}
}

// count counts a request that ended as r says; r.Used is filled in.
func (s *sums) count(k losses.Kind, r losses.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.Used = s.tally.Used(k, r.Deadline)
	if r.Outcome == losses.InAim && r.Aim > 0 && r.Used+r.Took > r.Aim {
		r.Outcome = losses.Late
	}
	cause := losses.Cause("")
	if r.Outcome != losses.InAim {
		cause = losses.CauseOf(r)
	}
	s.tally.Add(k, r.Outcome, cause, r.Used > 0)
}

// LogSums writes one line of what became of the requests since the last call, if there
// were any.
func (f *Relay) LogSums() {
	f.sums.mu.Lock()
	all := f.sums.tally.Take()
	f.sums.mu.Unlock()
	if len(all) > 0 {
		_ = f.cfg.Log.Log("msg", losses.LineMessage, "zone", f.cfg.Zone, "sums", all) // the writer counts what it drops
	}
}

// countRefused counts a request that was refused before it was taken on.
func (f *Relay) countRefused(route *routes.Route, call platform.Call, reason steering.Reason) {
	service := steering.Service("")
	if route != nil && len(route.Parts) > 0 {
		service = route.Parts[0].Service
	}
	f.sums.count(kindOf(route, service), losses.Request{Outcome: losses.Refused, Reason: reason, Deadline: call.Deadline})
}

// count counts the exchange as ended by an answer of this VM's own, or none.
func (x *exchange) count(o losses.Outcome, reason steering.Reason) {
	x.countEnd(o, reason, time.Since(x.r.Received))
}

// countAnswer counts the exchange as ended by a target's answer, which was ready some
// time after the request came and is being written now.
func (x *exchange) countAnswer(o losses.Outcome, ready time.Duration) { x.countEnd(o, "", ready) }

func (x *exchange) countEnd(o losses.Outcome, reason steering.Reason, ready time.Duration) {
	r := losses.Request{Outcome: o, Reason: reason, Aim: x.route.Aim, Deadline: x.call.Deadline,
		Ready: ready, Took: time.Since(x.r.Received), Warm: x.warm}
	for _, t := range x.history {
		if t.End == "" && reason == "" {
			continue // the other of two was faster
		}
		r.Tries = append(r.Tries, t.shown(x.r.Received))
	}
	x.f.sums.count(kindOf(x.route, x.service), r)
}

// shown returns what a try showed of its target; one that has not ended was silent.
func (t tried) shown(received time.Time) losses.Try {
	shown := losses.Try{Outcome: t.report.Outcome, Took: t.report.Took, Spoiled: t.spoiled, Wait: time.Duration(t.WaitMs) * time.Millisecond, Away: t.away}
	if t.End == "" {
		shown.Outcome = placement.Silent
		shown.Took = time.Since(received) - time.Duration(t.AtMs)*time.Millisecond
		return shown
	}
	shown.Crowded = t.report.Crowded(t.slots)
	return shown
}

// outcomeOfAnswer is what a caller got from a target's answer, its time left aside.
func outcomeOfAnswer(status int) losses.Outcome {
	if status >= http.StatusInternalServerError {
		return losses.Failed
	}
	return losses.InAim
}
