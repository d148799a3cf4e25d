package forward

import (
	"github.com/go-kit/log/level"

	"heatherlock/steering"
	"heatherlock/steering/chart"
	"heatherlock/steering/request"
)

// fire applies an event to the request's state chart and reports whether the chart allows it. An
// event that is not allowed is a bug in this program: it is logged, and the try that would have
// followed is not made.
func (x *exchange) fire(event chart.Event) bool {
	err := x.life.Fire(event)
	if err != nil {
		level.Error(x.f.log).Log("msg", "event not allowed by the request's state chart", "request", x.id, "err", err)
	}
	return err == nil
}

// noFurtherTry returns the refusal for a request whose state chart allows no further try.
func noFurtherTry() *steering.Refusal {
	return steering.RefuseUnknown(steering.ReasonTargetFailed, "an earlier try may have run")
}

// recordTryEnd updates the request's state after a try whose response was not relayed.
func (x *exchange) recordTryEnd(result tryResult) {
	switch {
	case result.relayed():
	case result.refusal.Ran == steering.RanNo:
		x.fire(request.ProvedNotRun)
	default:
		x.fire(request.MayHaveRun)
	}
}

// acrossTries returns ran, with RanNo replaced by RanUnknown if an earlier try may have run.
func (x *exchange) acrossTries(ran steering.Ran) steering.Ran {
	if ran == steering.RanNo && x.life.Ran() != steering.RanNo {
		return steering.RanUnknown
	}
	return ran
}
