package placement

import (
	"math"
	"time"

	"heatherlock/steering"
	"heatherlock/steering/runtimes"
)

const (
	// mixWeight is the weight of a request in the mean run time of a service's requests, and
	// targetMixWeight the same for those of one target, of which each entry VM sees fewer.
	mixWeight       = 0.02
	targetMixWeight = 0.1
	// laterWeight is the weight of a run in the share of warm runs at later targets of the keys' orders.
	laterWeight = 0.05
	// minLaterWarm is the share of warm runs at later targets from which on the key of a second run is
	// expected to be warm there.
	minLaterWarm = 0.5
	// slowRetry is when a request returns that was refused because its target's machine is slow: slow
	// phases last for 600 ms on average.
	slowRetry = 600 * time.Millisecond
)

// serviceRuns is what a service needs in addition while its run times are predicted by route.
type serviceRuns struct {
	// mix is the mean run time of the service's requests, in seconds; 0 if unknown.
	mix float64
	// laterWarm is the share of warm runs at targets that are not the first of their key's order. It is 1 at
	// first: the second target of a key is warm once hedges go there, which must begin somewhere.
	laterWarm float64
}

// targetRuns is the same for a target; it is nil until it is needed.
type targetRuns struct {
	slowdown   float64 // as reported last; 0 if unknown
	slowdownAt time.Time
	mix        float64
	// open holds, by key, what is known of the runs that have not ended of keys that may be cold.
	open map[string]openRun
	// rank is the target's position in the order of the key of the last request that chose it.
	rank int
}

// openRun says whether a key was warm when a run of it was sent, as far as this entry VM knew, and where
// the target is in the key's order.
type openRun struct {
	warm bool
	rank int
}

// runPrediction holds the predicted run times of a request at a target.
type runPrediction struct {
	// run is that of the request, warm or cold as expected, warm that with a warm key, and usual that of
	// run at a target of usual speed.
	run, warm, usual runtimes.Estimate
	query            runtimes.Query
}

// RunTimes returns the model of run times, for its reports and errors.
func (b *Balancer) RunTimes() *runtimes.Model { return b.runTimes }

// noteRank records the position of a chosen target in its key's order for runPlaced.
func (b *Balancer) noteRank(now time.Time, v *serviceState, c *candidate) {
	if v.uneven(now) {
		c.targetState.runState().rank = c.rank
	}
}

// meanRun returns the mean time of the service's runs, in seconds.
func (v *serviceState) meanRun() float64 {
	if v.runs.mix > 0 {
		return v.runs.mix
	}
	return v.meanTime
}

func (s *targetState) runState() *targetRuns {
	if s.runs == nil {
		s.runs = &targetRuns{}
	}
	return s.runs
}

func (v *serviceState) query(s *targetState, r Request) runtimes.Query {
	q := runtimes.Query{Class: runtimes.Class{Service: r.Service, Route: r.Route}, Warm: runtimes.Warm}
	if s != nil {
		q.Target = s.Name
	}
	return q
}

// predictRun predicts the run of a request at a candidate, and with that the wait: what is ahead of it
// takes the mean time of the requests that run there. Without samples of the route, the prediction of
// the service stands.
func (b *Balancer) predictRun(now time.Time, v *serviceState, r Request, c *candidate) {
	s := c.targetState
	q := v.query(s, r)
	if s.runs != nil && s.runs.slowdown > 0 {
		q.Slowdown, q.SlowdownAge = s.runs.slowdown, now.Sub(s.runs.slowdownAt)
	}
	usual := v.query(nil, r)
	p := &runPrediction{warm: b.runTimes.Predict(now, q)}
	if !p.warm.Known {
		return
	}
	p.run = p.warm
	if c.rank > 0 && !s.warmFor(now, r.Key) && v.runs.laterWarm < minLaterWarm {
		q.Warm, usual.Warm = runtimes.Cold, runtimes.Cold
		p.run = b.runTimes.Predict(now, q)
	}
	p.query, p.usual = q, b.runTimes.Predict(now, usual)
	c.prediction = p
	c.wait *= b.mixTime(now, v, s, q) / b.slotTime(v, s)
	c.cost = c.wait + p.run.Median.Seconds()
}

// mixTime returns how long the requests at a target take on average, in seconds.
func (b *Balancer) mixTime(now time.Time, v *serviceState, s *targetState, q runtimes.Query) float64 {
	mix := v.runs.mix
	if s.runs != nil && s.runs.mix > 0 {
		mix = s.runs.mix
	}
	if mix == 0 {
		return b.slotTime(v, s)
	}
	return mix * b.runTimes.Pace(now, q, span(mix))
}

// fitsRun is fits for a request whose run time is predicted.
//
// The allowed wait leaves room for the median run. With the 90th percentile more is refused that would have
// been answered in time, and callers who were refused come back late. The run is that of a warm
// key, as it is without predictions: the first request for a key runs cold and is late anyway.
func (b *Balancer) fitsRun(now time.Time, v *serviceState, r Request, c *candidate) bool {
	p := c.prediction
	run := p.warm.Median
	if !r.Retryable {
		run = c.safeRun(r)
	}
	if r.TimeLeft > 0 && span(c.wait)+run > r.TimeLeft {
		return false
	}
	if r.Aim <= 0 {
		return r.MaxQueue <= 0 || c.wait <= r.MaxQueue.Seconds()
	}
	allowed := math.Max((r.Aim - p.warm.Median).Seconds(), minWaitShare*r.Aim.Seconds())
	allowed *= math.Pow(rankWaitFactor, float64(r.Rank))
	return c.wait <= b.allowedWait(now, v, r, c, allowed)
}

// safeRun returns the run time for which there must be time left before a request starts that must not
// be repeated: the 90th percentile, since a run that is cut at the timeout is lost and its outcome
// unknown. Where even a usual target needs longer than that, for a key that is cold as here, waiting for
// another one does not help, and the median decides.
func (c *candidate) safeRun(r Request) time.Duration {
	if c.prediction.usual.P90 > r.TimeLeft {
		return c.prediction.warm.Median
	}
	return c.prediction.run.P90
}

// tooSlow reports whether a request does not fit because of the predicted run rather than the wait.
func (c *candidate) tooSlow(r Request) bool {
	return c.prediction != nil && !r.Retryable && r.TimeLeft > 0 && c.safeRun(r) > r.TimeLeft
}

// endsAtFirst reports whether a request that must not be repeated should return to the first target of its
// key's order, where it is likely to end in time, rather than start at this one, where it is not.
func (c *candidate) endsAtFirst(r Request, first *candidate) bool {
	return c.prediction != nil && first.prediction != nil && !r.Retryable && r.TimeLeft > 0 &&
		c.prediction.run.P90 > r.TimeLeft && first.prediction.usual.P90 <= r.TimeLeft
}

// warmRunTime returns the service time of a request's route for warm keys, or that of its service.
func (b *Balancer) warmRunTime(now time.Time, v *serviceState, r Request) time.Duration {
	if v.uneven(now) {
		if e := b.runTimes.Predict(now, v.query(nil, r)); e.Known {
			return e.Median
		}
	}
	return v.warmEstimate()
}

// hedgeAfter returns when a request that is placed on a candidate should get a second run, or 0 if no
// second run is likely to help. passed is a candidate before it that was full, or nil; it is the next
// one then.
func (b *Balancer) hedgeAfter(now time.Time, v *serviceState, r Request, c, passed *candidate, order *keyOrder) time.Duration {
	if c.prediction == nil || !r.Retryable || len(r.Tried) > 0 {
		return 0
	}
	next := passed
	if next == nil {
		next = b.following(now, v, r, order)
	}
	if next == nil || next.prediction == nil || next.wait > 0 { // it would take the slot of another request
		return 0
	}
	wait := span(c.wait)
	second := next.prediction.run
	second.Median += span(next.wait)
	second.P90 += span(next.wait)
	after := b.runTimes.HedgeAfter(now, c.prediction.query, max(r.Aim-wait, 0), max(r.TimeLeft-wait, 0), second)
	if after == 0 {
		return 0
	}
	return wait + after
}

// following returns the next candidate of an order that takes requests and is not cold.
func (b *Balancer) following(now time.Time, v *serviceState, r Request, order *keyOrder) *candidate {
	for c := order.next(now); c != nil; c = order.next(now) {
		s := c.targetState
		if b.notices.closedUntil(now, s, order.key).After(now) || s.cold(now) || s.ejected {
			continue
		}
		b.predict(now, v, r, c)
		return c
	}
	return nil
}

// runPlaced records that a request was placed on a target, before its key is recorded there.
func (b *Balancer) runPlaced(now time.Time, s *targetState, key string) {
	t := s.runState()
	run := openRun{s.warmFor(now, key), t.rank}
	if key == "" || run.warm && run.rank == 0 {
		return
	}
	if t.open == nil || len(t.open) >= maxWarmKeys {
		t.open = make(map[string]openRun)
	}
	if _, isOpen := t.open[key]; !isOpen {
		t.open[key] = run
	}
}

// runEnded records the result of an exchange for the predictions; queued is as for RequestEnded.
func (b *Balancer) runEnded(now time.Time, s *targetState, r Report, queued bool) {
	v := s.service
	if r.Slowdown > 0 {
		t := s.runState()
		t.slowdown, t.slowdownAt = r.Slowdown, now
		v.slowdownAt = now
	}
	if !v.uneven(now) {
		v.runs.mix = 0 // the mean of the service stands again
		return
	}
	if r.Outcome != Served || r.Latency <= 0 {
		return
	}
	warmth := v.warmthOf(now, s, r)
	class := runtimes.Class{Service: s.Service, Route: r.Route}
	if !queued && !r.Saturated(s.Slots) && (s.Region == b.region || !v.servedIn(b.region)) {
		b.runTimes.Observe(now, runtimes.Sample{Class: class, Target: s.Name, Took: r.Latency, Warm: warmth, Slowdown: r.Slowdown})
	}
	if mean, known := b.runTimes.Mean(now, class); known {
		v.runs.mix = average(v.runs.mix, mean.Seconds(), mixWeight)
		t := s.runState()
		if t.mix == 0 {
			t.mix = v.runs.mix
		}
		t.mix = average(t.mix, mean.Seconds(), targetMixWeight)
	}
}

func average(current, sample, weight float64) float64 {
	if current == 0 {
		return sample
	}
	return current + weight*(sample-current)
}

// warmthOf returns whether the key of a run was warm, as far as this entry VM can tell: it was if a run
// of the key had ended there before this one was sent. Otherwise another entry VM may have sent some.
func (v *serviceState) warmthOf(now time.Time, s *targetState, r Report) runtimes.Warmth {
	if r.Key == "" {
		return runtimes.WarmthUnknown
	}
	t := s.runState()
	run, isOpen := t.open[r.Key]
	if !isOpen {
		return runtimes.Warm
	}
	delete(t.open, r.Key)
	if run.rank > 0 && (run.warm || !r.Saturated(s.Slots)) {
		v.addLater(run.warm || r.Latency.Seconds() <= (v.warmTime+v.coldTime)/2)
	}
	if run.warm {
		return runtimes.Warm
	}
	return runtimes.WarmthUnknown
}

// addLater counts a run at a later target of a key's order.
func (v *serviceState) addLater(warm bool) {
	sample := 0.0
	if warm {
		sample = 1
	}
	v.runs.laterWarm += laterWeight * (sample - v.runs.laterWarm)
}

// RunTimesInUse returns the services whose run times are predicted by route.
func (b *Balancer) RunTimesInUse(now time.Time) map[steering.Service]bool {
	used := make(map[steering.Service]bool)
	for name, v := range b.services {
		if v.uneven(now) {
			used[name] = true
		}
	}
	return used
}
