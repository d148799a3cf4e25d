package placement

import (
	"math"
	"time"

	"heatherlock/steering"
)

const (
	// learnShare is the weight of a new observation in a moving average: about
	// the last ten count, some seconds of a target's traffic.
	learnShare = 0.1
	// failShare is the same for failures: half of what counts is the last three.
	failShare = 0.2
	// othersFade is the time in which a reported load of other entry VMs loses
	// two thirds of its weight; about one service time.
	othersFade = 250 * time.Millisecond
	// Pauses before a ejected target is tried again double from the first to
	// the last. The first is about the time in which a crashed target restarts.
	firstPause = 400 * time.Millisecond
	lastPause  = 4 * time.Second
	// failLimit is the share of failures at which a target is passed over. A
	// service fails well under 1 in 100 by itself; a target that fails 1 in 3
	// costs its callers more than a cold start elsewhere.
	failLimit = 0.34
	// hardLimit is the count of breaks in a row that make a target ejected. One
	// may be a single request's doing.
	hardLimit = 2
	// keptKeys bounds the keys remembered a target.
	keptKeys = 64
	// keyFresh is how long a key is taken to be warm on a target that ran it.
	keyFresh = 15 * time.Second
)

// state is what one entry VM knows of a target.
type state struct {
	Target
	hash uint64

	sent    int       // in flight from here
	others  float64   // load by others at the last report
	average float64   // moving average of others
	told    time.Time // of the last report

	took      float64 // moving average of its service time, seconds; 0 unknown
	failures  float64 // moving share of failures
	breaks    int     // in a row
	pause     time.Duration
	ejected   bool
	tryAt     time.Time // when a ejected target may be tried
	trying    bool
	coldSpent coldBucket
	keys      map[string]time.Time

	// start names this start at its address; replaced is set once another target has
	// answered there.
	start    StartID
	replaced bool
}

// declared takes in what is declared of the target. One that was found replaced stays
// closed until its entry names another start or address.
func (s *state) declared(t Target) {
	start := idOfStart(t)
	s.replaced = s.replaced && s.start == start
	s.Target, s.start = t, start
	s.Closed = s.Closed || s.replaced
}

// load estimates what runs and waits at the target now.
func (s *state) load(now time.Time) float64 {
	fade := math.Exp(-float64(now.Sub(s.told)) / float64(othersFade))
	return float64(s.sent) + s.average + (s.others-s.average)*fade
}

func (s *state) reported(now time.Time, r Report) {
	if !r.LoadKnown {
		return
	}
	s.others = math.Max(0, float64(r.Running+r.Waiting-s.sent))
	s.average += learnShare * (s.others - s.average)
	s.told = now
}

func (s *state) cold(now time.Time) bool { return now.Before(s.ColdUntil) }

// succeed clears what was held against the target.
func (s *state) succeed() {
	s.failures -= failShare * s.failures
	s.breaks = 0
	s.ejected = s.failures > failLimit
	if !s.ejected {
		s.pause = 0
	}
}

// fail notes a failure; hard ones mean that the target may be gone.
func (s *state) fail(now time.Time, hard bool) {
	s.failures += failShare * (1 - s.failures)
	if hard {
		s.breaks++
	}
	if s.breaks < hardLimit && s.failures <= failLimit {
		return
	}
	s.eject(now)
}

func (s *state) eject(now time.Time) {
	s.ejected = true
	s.pause = min(max(2*s.pause, firstPause), lastPause)
	s.tryAt = now.Add(s.pause)
}

// remember notes that the target has run a key.
func (s *state) remember(now time.Time, key string) {
	if key == "" {
		return
	}
	if s.keys == nil {
		s.keys = make(map[string]time.Time)
	}
	if len(s.keys) >= keptKeys {
		s.forget(now)
	}
	s.keys[key] = now
}

// forget drops stale keys, and the oldest if none is stale.
func (s *state) forget(now time.Time) {
	oldest, at := "", now
	for key, used := range s.keys {
		if now.Sub(used) > keyFresh {
			delete(s.keys, key)
		} else if !used.After(at) {
			oldest, at = key, used
		}
	}
	if len(s.keys) >= keptKeys {
		delete(s.keys, oldest)
	}
}

func (s *state) warmFor(now time.Time, key string) bool {
	used, known := s.keys[key]
	return known && now.Sub(used) <= keyFresh
}

// serviceState is what is learned of a service.
type serviceState struct {
	targets []*state
	// fast and slow are the service times of warm and cold keys, seconds.
	fast, slow float64
	mean       float64
	seen       int
	// runs is how many of those seen were fast.
	runs int
	// overflow is what is left for requests beside the first of their order.
	overflow float64
	// arrivals is the moving rate of requests from this entry VM's callers.
	arrivals rate
	// bound are those that may run in one region alone.
	bound map[steering.Region]*rate
}

func (v *serviceState) boundTo(region steering.Region) *rate {
	if v.bound == nil {
		v.bound = make(map[steering.Region]*rate)
	}
	if v.bound[region] == nil {
		v.bound[region] = &rate{}
	}
	return v.bound[region]
}

// leastRate is a rate too small to tell, in requests per second.
const leastRate = 0.01

func (v *serviceState) boundRates(now time.Time) map[steering.Region]float32 {
	var rates map[steering.Region]float32
	for region, r := range v.bound {
		rate := r.value(now)
		if rate < leastRate {
			continue
		}
		if rates == nil {
			rates = make(map[steering.Region]float32)
		}
		rates[region] = float32(rate)
	}
	return rates
}

// First guesses of service times until observed, as shares of the aim: operators
// set an aim that a warm run keeps with room for a queue, and a cold run misses.
// With guesses far below, an entry VM that has just started sends each target
// more than it can run in time.
const (
	guessFast = 0.4
	guessSlow = 1.2
	// guessAim, in seconds, stands in for an aim that is not stated.
	guessAim = 0.2
)

func newServiceState() *serviceState {
	v := &serviceState{}
	v.guess(guessAim)
	return v
}

// guess sets the times of a service that nothing is known of yet.
func (v *serviceState) guess(aim float64) {
	if v.seen == 0 && aim > 0 {
		v.guessed(guessFast * aim)
	}
}

// guessed sets the times by that of a warm run.
func (v *serviceState) guessed(fast float64) {
	v.fast, v.slow, v.mean = fast, fast*guessSlow/guessFast, fast
}

// enoughRuns is how many runs an entry VM goes by rather than by what others tell.
const enoughRuns = 20

const (
	// guessWeight is how many observations the first guesses count for, so that one odd
	// answer does not set the times of a service.
	guessWeight = 5
	// leak is the part of an observation above the middle that the fast time takes
	// in as well, so that it follows when the guesses were far too low and every
	// observation counts as slow.
	leak = 0.1
)

// learn takes in a service time without a wait, in seconds.
func (v *serviceState) learn(took float64) {
	share := math.Max(learnShare/4, 1/float64(v.seen+guessWeight))
	v.seen++
	v.mean += share * (took - v.mean)
	if took <= (v.fast+v.slow)/2 {
		v.fast += share * (took - v.fast)
		v.runs++
		return
	}
	v.slow += share * (took - v.slow)
	v.fast += leak * share * (took - v.fast)
}

// warm is the time of a warm run, or 0 while it is only guessed.
func (v *serviceState) warm() time.Duration {
	if v.seen == 0 {
		return 0
	}
	return span(v.fast)
}

// coldPenalty is what a run costs on a target that does not know the key.
func (v *serviceState) coldPenalty() float64 { return math.Max(0, v.slow-v.fast) }

// rate is a moving rate of events per second.
type rate struct {
	perSecond float64
	at        time.Time
	since     time.Time
}

// rateSpan is the time over which a rate is averaged: short enough that lending follows a
// burst.
const rateSpan = 1500 * time.Millisecond

func (r *rate) add(now time.Time, n float64) {
	r.fade(now)
	r.perSecond += n / rateSpan.Seconds()
}

func (r *rate) fade(now time.Time) {
	if r.at.IsZero() {
		r.since = now
	} else {
		r.perSecond *= math.Exp(-float64(now.Sub(r.at)) / float64(rateSpan))
	}
	r.at = now
}

// shortestRateAge is the age below which a rate is not extrapolated.
const shortestRateAge = 300 * time.Millisecond

// value returns the rate. A young one has not taken in a whole span yet; without
// the correction the first seconds of traffic would look like a trickle.
func (r *rate) value(now time.Time) float64 {
	r.fade(now)
	age := max(now.Sub(r.since), shortestRateAge)
	return r.perSecond / (1 - math.Exp(-float64(age)/float64(rateSpan)))
}

// coldBucket paces the requests to a cold target.
type coldBucket struct {
	tokens float64
	at     time.Time
}

// take spends a token if there is one.
func (b *coldBucket) take(now time.Time, perSecond float64) bool {
	if b.at.IsZero() {
		b.tokens = 1
	} else {
		b.tokens = math.Min(1, b.tokens+perSecond*now.Sub(b.at).Seconds())
	}
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func contains(names []steering.Target, name steering.Target) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}
