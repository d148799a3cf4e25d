package runtimes

import (
	"math"
	"slices"
	"strings"
	"time"

	"heatherlock/steering"
)

const (
	// maxClasses bounds the classes. A class that was not used for classTTL makes room for another.
	maxClasses = 128
	classTTL   = time.Minute
	// maxTargets bounds the speed factors; a deployment has up to 10,002 targets. Factors of targets
	// without a sample for targetTTL are dropped every sweepInterval.
	maxTargets    = 16384
	targetTTL     = 2 * time.Minute
	sweepInterval = 30 * time.Second
	// maxRun is the longest run that counts; longer ones are hung rather than slow.
	maxRun = 10 * time.Minute
	// slowPhase is the mean time for which a reported slowdown holds. Phases of 600 ms were measured on
	// targets that share machines.
	slowPhase = 600 * time.Millisecond
	// coldFactor is the ratio of cold to warm run times until cold runs are observed.
	coldFactor = 3.0
	// averageWeight is the weight of a new sample in the averages by class: about the last 50 count.
	averageWeight = 0.02
)

// Model holds what one entry VM knows about run times.
type Model struct {
	classes map[Class]*class
	targets map[steering.Target]*speed
	// newest is the time of the newest report by VM.
	newest  map[steering.VM]int64
	sweptAt time.Time
	dropped int
}

// New returns a model without samples.
func New() *Model {
	return &Model{classes: make(map[Class]*class), targets: make(map[steering.Target]*speed), newest: make(map[steering.VM]int64)}
}

type class struct {
	warm, cold distribution
	// slowdown is the average reported slowdown; 0 if none was reported.
	slowdown float64
	usedAt   time.Time
	// observedAt is the time of the last sample of this VM.
	observedAt time.Time
	errors     ClassError
}

// class returns the state of a class, or nil if there is no room for one more.
func (m *Model) class(now time.Time, name Class) *class {
	c := m.classes[name]
	if c == nil {
		if len(m.classes) >= maxClasses && !m.evictClass(now) {
			return nil
		}
		c = &class{errors: ClassError{Class: name}}
		m.classes[name] = c
	}
	c.usedAt = now
	return c
}

// evictClass removes the class that was unused for longest, if that is classTTL.
func (m *Model) evictClass(now time.Time) bool {
	var oldest Class
	at := now.Add(-classTTL)
	found := false
	for name, c := range m.classes {
		if !c.usedAt.After(at) {
			oldest, at, found = name, c.usedAt, true
		}
	}
	delete(m.classes, oldest)
	return found
}

// meanSlowdown returns the average slowdown; 1 if none was reported.
func (c *class) meanSlowdown() float64 {
	if c.slowdown == 0 {
		return 1
	}
	return c.slowdown
}

// slowdownOver returns the average slowdown over a run of some seconds. One end of the run is age away
// from the time at which a slowdown was reported; from there on, it returns to the mean.
func (c *class) slowdownOver(reported float64, age time.Duration, seconds float64) float64 {
	mean := c.meanSlowdown()
	if reported == 0 {
		return mean
	}
	phases := math.Max(seconds, 1e-3) / slowPhase.Seconds()
	holds := math.Exp(-float64(max(age, 0))/float64(slowPhase)) * (1 - math.Exp(-phases)) / phases
	return mean + (reported-mean)*holds
}

// table returns the distribution of a class at a target of usual speed and without a slowdown.
func (c *class) table(now time.Time, w Warmth) (table, bool) {
	if w == Cold {
		if t, known := c.cold.table(now); known {
			return t, true
		}
		t, known := c.warm.table(now)
		return t.scaled(func(float64) float64 { return coldFactor }), known
	}
	return c.warm.table(now)
}

// tableAt returns the distribution of a class as of a query.
func (m *Model) tableAt(now time.Time, q Query) (table, bool) {
	c := m.classes[q.Class]
	if c == nil {
		return table{}, false
	}
	t, known := c.table(now, q.Warm)
	if !known {
		return table{}, false
	}
	factor := m.factor(now, q.Target)
	return t.scaled(func(seconds float64) float64 { return c.scale(q, factor, seconds) }), true
}

// scale returns by how much a run of usually some seconds takes longer at the queried target, which has
// the given speed factor.
func (c *class) scale(q Query, factor, seconds float64) float64 {
	return factor * c.slowdownOver(plausible(q.Slowdown), q.SlowdownAge, seconds*factor*c.meanSlowdown())
}

// Predict returns the predicted time of a run.
func (m *Model) Predict(now time.Time, q Query) Estimate {
	c := m.classes[q.Class]
	if c == nil {
		return Estimate{}
	}
	t, known := c.table(now, q.Warm)
	if !known {
		return Estimate{}
	}
	factor := m.factor(now, q.Target)
	at := func(seconds float64) time.Duration { return duration(seconds * c.scale(q, factor, seconds)) }
	return Estimate{Median: at(t[atMedian]), P90: at(t[atP90]), Known: true}
}

// Mean returns the mean time of the runs of a class, warm and cold ones as they occur, at a target of
// usual speed. known is false without enough samples.
func (m *Model) Mean(now time.Time, name Class) (mean time.Duration, known bool) {
	c := m.classes[name]
	if c == nil {
		return 0, false
	}
	warm, warmWeight := c.warm.mean(now)
	cold, coldWeight := c.cold.mean(now)
	weight := warmWeight + coldWeight
	if weight == 0 {
		return 0, false
	}
	return duration((warm*warmWeight + cold*coldWeight) / weight * c.meanSlowdown()), true
}

// Pace returns how much longer than usual the work at a target takes over the next time span.
func (m *Model) Pace(now time.Time, q Query, over time.Duration) float64 {
	c := m.classes[q.Class]
	if c == nil {
		return 1
	}
	return m.factor(now, q.Target) * c.slowdownOver(plausible(q.Slowdown), q.SlowdownAge, over.Seconds()) / c.meanSlowdown()
}

// plausible returns a reported slowdown within the range that counts, or 0 if it is unknown.
func plausible(slowdown float64) float64 {
	if !(slowdown > 0) {
		return 0
	}
	return math.Min(math.Max(slowdown, 0.1), 100)
}

// Observe adds an observed run.
func (m *Model) Observe(now time.Time, s Sample) {
	if s.Took <= 0 || s.Took > maxRun {
		return
	}
	c := m.class(now, s.Class)
	if c == nil {
		return
	}
	m.sweep(now)
	c.observedAt = now
	reported := plausible(s.Slowdown)
	target := m.target(now, s.Target)
	if reported > 0 {
		c.addSlowdown(reported)
	}
	seconds := s.Took.Seconds()
	unscaled := seconds / c.slowdownOver(reported, 0, seconds)
	usual := unscaled / target.factorAt(now)
	warmth := c.warmth(now, s.Warm, usual)
	m.compare(now, c, s, warmth, target)
	d := &c.warm
	if warmth == Cold {
		d = &c.cold
	}
	if t, known := d.table(now); known {
		target.add(now, unscaled/t[atMedian])
	}
	if reported > 0 {
		target.slowdown, target.reportedAt = reported, now
	}
	d.add(now, usual)
}

// addSlowdown adds a reported slowdown to the average.
func (c *class) addSlowdown(reported float64) {
	if c.slowdown == 0 {
		c.slowdown = 1 // what is reported as usual
	}
	c.slowdown += averageWeight * (reported - c.slowdown)
}

// warmth returns as which a run of some seconds counts. The limit is the geometric mean of the medians
// of warm and cold runs; the first runs count as warm.
func (c *class) warmth(now time.Time, w Warmth, seconds float64) Warmth {
	if w != WarmthUnknown {
		return w
	}
	warm, known := c.table(now, Warm)
	if !known {
		return Warm
	}
	cold, _ := c.table(now, Cold)
	if seconds > math.Sqrt(warm[atMedian]*cold[atMedian]) {
		return Cold
	}
	return Warm
}

// compare compares a run with the prediction that applied when it started: that of before the sample,
// with the slowdown that was known then.
func (m *Model) compare(now time.Time, c *class, s Sample, w Warmth, target *speed) {
	q := Query{Class: s.Class, Target: s.Target, Warm: w}
	if began := now.Add(-s.Took); !target.reportedAt.After(began) {
		q.Slowdown, q.SlowdownAge = target.slowdown, began.Sub(target.reportedAt)
	}
	predicted := m.Predict(now, q)
	if !predicted.Known {
		return
	}
	e := &c.errors
	e.Samples++
	weight := math.Max(averageWeight, 1/float64(e.Samples))
	deviation := math.Abs(float64(s.Took-predicted.Median)) / float64(predicted.Median)
	e.Deviation += weight * (math.Min(deviation, 10) - e.Deviation)
	above := 0.0
	if s.Took > predicted.P90 {
		above = 1
	}
	e.AboveP90 += weight * (above - e.AboveP90)
}

// Errors returns how the predictions of each class compare with the observed times, by service and
// route.
func (m *Model) Errors() []ClassError {
	var all []ClassError
	for _, c := range m.classes {
		if c.errors.Samples > 0 {
			all = append(all, c.errors)
		}
	}
	slices.SortFunc(all, func(a, b ClassError) int { return compareClasses(a.Class, b.Class) })
	return all
}

func compareClasses(a, b Class) int {
	if a.Service != b.Service {
		return strings.Compare(string(a.Service), string(b.Service))
	}
	return strings.Compare(a.Route, b.Route)
}
