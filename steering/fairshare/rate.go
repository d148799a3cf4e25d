package fairshare

import (
	"math"
	"time"
)

// rateTimeConstant is the time constant of the exponential averages of rates. A flood shows in them
// within a second, and a workspace with a request per second does not vanish between two of them.
const rateTimeConstant = time.Second

// rate is an exponential average of events per second. The zero value has seen none.
type rate struct {
	perSecond float64
	at        time.Time
}

// value returns the rate at a time.
func (r *rate) value(now time.Time) float64 {
	if elapsed := now.Sub(r.at); elapsed > 0 && r.perSecond > 0 {
		return r.perSecond * math.Exp(-elapsed.Seconds()/rateTimeConstant.Seconds())
	}
	return r.perSecond
}

// add records an event. It returns the integral of the rate since the previous event, whose sum over
// all events is the number of events.
func (r *rate) add(now time.Time) (integral float64) {
	decayed := r.value(now)
	integral = (r.perSecond - decayed) * rateTimeConstant.Seconds()
	r.perSecond = decayed + 1/rateTimeConstant.Seconds()
	if now.After(r.at) {
		r.at = now
	}
	return integral
}
