package placement

import (
	"math"
	"time"

	"heatherlock/steering"
)

const (
	// ewmaWeight is the weight of a new sample in a moving average. About the last ten samples
	// count, which is a few seconds of a target's traffic.
	ewmaWeight = 0.1
	// failureWeight is the same for failures: the last three results make up half of the average.
	failureWeight = 0.2
	// othersDecay is the time in which the last reported load of other entry VMs loses two thirds
	// of its weight against the average; it is about one service time.
	othersDecay = 250 * time.Millisecond
	// The time for which a target is ejected doubles with each ejection, from minEjectionTime to
	// maxEjectionTime. minEjectionTime is about the time in which a crashed target restarts.
	minEjectionTime = 400 * time.Millisecond
	maxEjectionTime = 4 * time.Second
	// maxFailureRate is the failure rate above which a target is ejected. A service by itself fails
	// well under 1 in 100 requests; a target that fails 1 in 3 costs its callers more than a cold
	// start on another target.
	maxFailureRate = 0.34
	// maxConsecutiveBreaks is the number of consecutive connection failures and timeouts at which a
	// target is ejected. A single one may be caused by the request.
	maxConsecutiveBreaks = 2
	// maxWarmKeys limits the number of keys remembered for each target.
	maxWarmKeys = 64
	// warmKeyTTL is how long a key is assumed to stay warm on a target that ran it.
	warmKeyTTL = 15 * time.Second
)

// targetState is what one entry VM knows about a target.
type targetState struct {
	Target
	hash uint64
	// service is the state of the target's service, and index the position in its targets.
	service *serviceState
	index   int
	// weightSteps is the target's weight, in multiples of 1/weightSteps.
	weightSteps int
	// loadSum is the sum of the loads that the target reported in loadSamples responses since the last
	// call of LoadSamples.
	loadSum     float64
	loadSamples int

	inFlight      int       // requests sent by this entry VM
	othersLoad    float64   // load by other entry VMs at the last report
	othersAverage float64   // moving average of othersLoad
	reportedAt    time.Time // time of the last load report

	serviceTime       float64 // moving average, in seconds; 0 if unknown
	failureRate       float64 // moving average, from 0 to 1
	consecutiveBreaks int     // connection failures and timeouts
	ejectionTime      time.Duration
	ejected           bool
	ejectedAt         time.Time
	probeAt           time.Time // when an ejected target may be probed
	probing           bool
	coldTokens        tokenBucket
	coldChecks        coldChecks
	warmKeys          map[string]time.Time
	// coldSender says whether this entry VM may send to the target while it is cold, as of
	// coldSenderVersion of the balancer's peers.
	coldSender        bool
	coldSenderVersion int

	// startID identifies this start of the target at its address. replaced is set once another
	// target has answered at the address.
	startID  StartID
	replaced bool
	runs     *targetRuns // nil until run times are predicted
}

// applyDeclared updates the declared properties. A target that was found to be replaced stays
// closed until its entry names another start or address, and one that said that it leaves until it
// names another start.
func (s *targetState) applyDeclared(t Target, leaving bool) {
	startID := startIDOf(t)
	s.replaced = s.replaced && s.startID == startID
	s.Target, s.startID = t, startID
	s.Closed = s.Closed || s.replaced || leaving
}

// close ends new requests to the target.
func (s *targetState) close() {
	s.Closed = true
	if s.service != nil {
		s.service.tables = nil
	}
}

// load estimates the number of requests that run or wait at the target now.
func (s *targetState) load(now time.Time) float64 {
	decay := math.Exp(-float64(now.Sub(s.reportedAt)) / float64(othersDecay))
	return float64(s.inFlight) + s.othersAverage + (s.othersLoad-s.othersAverage)*decay
}

func (s *targetState) applyLoad(now time.Time, r Report) {
	if !r.LoadKnown {
		return
	}
	s.othersLoad = math.Max(0, float64(r.Running+r.Waiting-s.inFlight))
	s.othersAverage += ewmaWeight * (s.othersLoad - s.othersAverage)
	s.reportedAt = now
}

func (s *targetState) cold(now time.Time) bool {
	return now.Before(s.ColdUntil) || now.Before(s.coldChecks.until)
}

// recordSuccess lowers the failure rate and reinstates the target once the rate is low enough.
func (s *targetState) recordSuccess() {
	s.failureRate -= failureWeight * s.failureRate
	s.consecutiveBreaks = 0
	s.setEjected(s.failureRate > maxFailureRate)
	if !s.ejected {
		s.ejectionTime = 0
	}
}

// recordFailure records a failed exchange. A hard failure suggests that the target is gone.
func (s *targetState) recordFailure(now time.Time, hard bool) {
	s.failureRate += failureWeight * (1 - s.failureRate)
	if hard {
		s.consecutiveBreaks++
	}
	if s.consecutiveBreaks < maxConsecutiveBreaks && s.failureRate <= maxFailureRate {
		return
	}
	s.eject(now)
}

// setEjected ejects the target or readmits it.
func (s *targetState) setEjected(ejected bool) {
	s.ejected = ejected
	if ejected {
		s.service.ejected[s] = true
	} else {
		delete(s.service.ejected, s)
	}
}

func (s *targetState) eject(now time.Time) {
	s.setEjected(true)
	s.ejectionTime = min(max(2*s.ejectionTime, minEjectionTime), maxEjectionTime)
	s.ejectedAt, s.probeAt = now, now.Add(s.ejectionTime)
}

// recordKey records that the target has run a key.
func (s *targetState) recordKey(now time.Time, key string) {
	if key == "" {
		return
	}
	if s.warmKeys == nil {
		s.warmKeys = make(map[string]time.Time)
	}
	if len(s.warmKeys) >= maxWarmKeys {
		s.evictKeys(now)
	}
	s.warmKeys[key] = now
}

// evictKeys removes expired keys, and the oldest key if that leaves too many.
func (s *targetState) evictKeys(now time.Time) {
	oldest, at := "", now
	for key, used := range s.warmKeys {
		if now.Sub(used) > warmKeyTTL {
			delete(s.warmKeys, key)
		} else if !used.After(at) {
			oldest, at = key, used
		}
	}
	if len(s.warmKeys) >= maxWarmKeys {
		delete(s.warmKeys, oldest)
	}
}

func (s *targetState) warmFor(now time.Time, key string) bool {
	used, known := s.warmKeys[key]
	return known && now.Sub(used) <= warmKeyTTL
}

// joinService adds the target to a service.
func (s *targetState) joinService(v *serviceState) {
	s.service, s.index = v, len(v.targets)
	v.targets = append(v.targets, s)
	s.setEjected(s.ejected)
}

// leaveService removes the target from its service, if it has one.
func (s *targetState) leaveService() {
	v := s.service
	if v == nil {
		return
	}
	last := v.targets[len(v.targets)-1]
	v.targets[s.index], last.index = last, s.index
	v.targets = v.targets[:len(v.targets)-1]
	delete(v.ejected, s)
	delete(v.noticed, s)
	v.tables, s.service = nil, nil
}

// serviceState is what one entry VM has learned about a service.
type serviceState struct {
	targets []*targetState // in no particular order
	ejected map[*targetState]bool
	// noticed holds the targets that may take less than their slots, as their notices say.
	noticed map[*targetState]bool
	// tables holds the open targets by region; nil if they must be determined anew.
	tables map[steering.Region]*regionTable
	// warmTime and coldTime are the service times for warm and cold keys, in seconds.
	warmTime, coldTime float64
	meanTime           float64
	samples            int
	// warmSamples is the number of samples that counted as warm.
	warmSamples int
	// overflowTokens are spent on requests that run on the second target of their key's order.
	overflowTokens float64
	// arrivals is the rate of requests from this entry VM's callers.
	arrivals rate
	// pinned are the rates of the requests that may run in one region only, by that region.
	pinned map[steering.Region]*rate
	routes routeMix
	// occupied is how long a request occupies a slot on average, in seconds, over occupancySamples
	// attempts.
	occupied         float64
	occupancySamples int
	runs             serviceRuns
	// slowdownAt is when a target last reported how slow its machine is.
	slowdownAt time.Time
}

func (v *serviceState) pinnedTo(region steering.Region) *rate {
	if v.pinned == nil {
		v.pinned = make(map[steering.Region]*rate)
	}
	if v.pinned[region] == nil {
		v.pinned[region] = &rate{}
	}
	return v.pinned[region]
}

// minRate is the rate, in requests per second, below which pinned demand is not reported.
const minRate = 0.01

func (v *serviceState) pinnedRates(now time.Time) map[steering.Region]float32 {
	var rates map[steering.Region]float32
	for region, r := range v.pinned {
		rate := r.value(now)
		if rate < minRate {
			continue
		}
		if rates == nil {
			rates = make(map[steering.Region]float32)
		}
		rates[region] = float32(rate)
	}
	return rates
}

// The initial service times, as shares of the latency objective, apply until times are observed.
// Operators set an objective that a warm request meets even after a short wait and that a cold one
// misses. If the initial times were far too low, an entry VM that has just started would send each
// target more than it can run in time.
const (
	defaultWarmShare = 0.4
	defaultColdShare = 1.2
	// defaultObjective, in seconds, is assumed if a request has no latency objective.
	defaultObjective = 0.2
)

func newServiceState() *serviceState {
	v := &serviceState{runs: serviceRuns{laterWarm: 1}, ejected: make(map[*targetState]bool), noticed: make(map[*targetState]bool)}
	v.setDefaults(defaultObjective)
	return v
}

// setDefaults sets the service times of a service without samples from a latency objective.
func (v *serviceState) setDefaults(objective float64) {
	if v.samples == 0 && objective > 0 {
		v.setTimes(defaultWarmShare * objective)
	}
}

// setTimes sets all service times from that for warm keys.
func (v *serviceState) setTimes(warmTime float64) {
	v.warmTime, v.coldTime, v.meanTime = warmTime, warmTime*defaultColdShare/defaultWarmShare, warmTime
}

// minSamples is the number of samples from which on an entry VM uses its own service times, and
// below which it uses those that other entry VMs report.
const minSamples = 20

const (
	// defaultsWeight is the number of samples that the initial service times count as, so that a
	// single unusual sample does not determine the times of a service.
	defaultsWeight = 5
	// warmLeak is the part of a cold sample's weight with which it also moves warmTime. Without it,
	// warmTime would never follow if the initial times were far too low and every sample counted as
	// cold.
	warmLeak = 0.1
)

// observe adds the service time of a request that did not wait, in seconds.
func (v *serviceState) observe(took float64) {
	share := math.Max(ewmaWeight/4, 1/float64(v.samples+defaultsWeight))
	v.samples++
	v.meanTime += share * (took - v.meanTime)
	if took <= (v.warmTime+v.coldTime)/2 {
		v.warmTime += share * (took - v.warmTime)
		v.warmSamples++
		return
	}
	v.coldTime += share * (took - v.coldTime)
	v.warmTime += warmLeak * share * (took - v.warmTime)
}

// warmEstimate returns the service time for warm keys, or 0 before the first sample.
func (v *serviceState) warmEstimate() time.Duration {
	if v.samples == 0 {
		return 0
	}
	return span(v.warmTime)
}

// coldPenalty returns the extra time that a request takes on a target where its key is cold.
func (v *serviceState) coldPenalty() float64 { return math.Max(0, v.coldTime-v.warmTime) }

// rate is a moving average of events per second.
type rate struct {
	perSecond float64
	at        time.Time
	since     time.Time
}

// rateWindow is the time over which a rate is averaged. It is short enough for the division of keys
// between regions to follow a burst.
const rateWindow = 1500 * time.Millisecond

func (r *rate) add(now time.Time, n float64) {
	r.decay(now)
	r.perSecond += n / rateWindow.Seconds()
}

func (r *rate) decay(now time.Time) {
	if r.at.IsZero() {
		r.since = now
	} else {
		r.perSecond *= math.Exp(-float64(now.Sub(r.at)) / float64(rateWindow))
	}
	r.at = now
}

// minRateAge is the smallest age that is assumed for a rate when it is extrapolated.
const minRateAge = 300 * time.Millisecond

// value returns the rate. It corrects for a rate that is younger than the window; otherwise the
// first seconds of traffic would look like a small fraction of the real rate.
func (r *rate) value(now time.Time) float64 {
	r.decay(now)
	age := max(now.Sub(r.since), minRateAge)
	return r.perSecond / (1 - math.Exp(-float64(age)/float64(rateWindow)))
}

// tokenBucket limits the requests to a cold target. It holds at most one token.
type tokenBucket struct {
	tokens float64
	at     time.Time
}

// take spends a token and reports whether there was one.
func (b *tokenBucket) take(now time.Time, perSecond float64) bool {
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
