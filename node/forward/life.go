package forward

import (
	"github.com/go-kit/log/level"

	"heatherlock/steering"
	"heatherlock/steering/chart"
	"heatherlock/steering/request"
)

// fire takes a step in the request's life and reports whether the chart allows
// it. A step that it does not allow is a fault of this program; it shows in the
// log, and the try that would have followed is not made.
func (x *exchange) fire(event chart.Event) bool {
	err := x.life.Fire(event)
	if err != nil {
		level.Error(x.f.log).Log("msg", "step refused by the request's chart", "request", x.id, "err", err)
	}
	return err == nil
}

// mayNotSend is the answer when the chart allows no further try.
func mayNotSend() *steering.Refusal {
	return steering.Unknown(steering.ReasonTargetFailed, "an earlier try may have run")
}

// endTry notes how a try ended that brought no answer to relay.
func (x *exchange) endTry(result ending) {
	switch {
	case result.relayed():
	case result.refusal.Ran == steering.RanNo:
		x.fire(request.ProvedNotRun)
	default:
		x.fire(request.MayHaveRun)
	}
}

// atLeast weakens "not run" to what is known over all tries.
func (x *exchange) atLeast(ran steering.Ran) steering.Ran {
	if ran == steering.RanNo && x.life.Ran() != steering.RanNo {
		return steering.RanUnknown
	}
	return ran
}
