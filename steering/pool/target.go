package pool

import (
	"math"
	"time"

	"heatherlock/steering"
	"heatherlock/steering/routing"
)

// instant is the time since the pool was created. A duration keeps the monotonic clock reading and
// is cheap to compare.
type instant = time.Duration

const never = instant(math.MaxInt64)

// noIndex stands for no position in the heap of targets with free slots, and for no target.
const noIndex = -1

// target is the state that the pool keeps for one target.
type target struct {
	routing.Target
	declared bool // whether it is still in the configuration
	stopped  bool
	ejected  bool    // by the health checks
	share    float64 // fraction of the slots that it may use while it warms up, 0 to 1

	inFlight int
	limit    int // learned; never above the declared slots
	ready    int // position in Pool.ready, or noIndex
	score    uint64
	lastUsed uint64 // sequence number of the last grant
	free     int    // contribution to Pool.free
	working  int    // contribution to Pool.slots
	usable   bool   // contribution to Pool.usable

	externalLoad        int // reported load beyond the requests that this pool granted
	externalUntil       instant
	reportDiscount      int // part of externalLoad that successful requests have contradicted
	successesOverReport int // consecutive successes while the report left no more free slots

	lingering   int // requests that ended without proof that the target stopped running them
	lingerUntil instant

	peaks   [2]int // most requests in flight in this and in the previous peakWindow
	peakEnd instant

	shedsSinceSuccess int // sheds since the last success at the limit

	regrowAt    instant
	regrowAfter time.Duration
	pausedUntil instant
	pauseAfter  time.Duration

	serviceTime float64 // mean in nanoseconds; the mean of the pool before the first sample
}

// accepting reports whether the target may get new requests at all.
func (t *target) accepting(now instant) bool {
	return t.declared && !t.stopped && !t.ejected && now >= t.pausedUntil
}

// effectiveExternalLoad returns the load beyond the requests that this pool has in flight. The
// target's report includes lingering requests, so the two are not added.
func (t *target) effectiveExternalLoad() int {
	return max(0, t.externalLoad-t.reportDiscount, t.lingering)
}

// slotLimit returns how many requests may be in flight if there is no external load.
func (t *target) slotLimit() int {
	if t.share >= 1 {
		return t.limit
	}
	return max(1, int(math.Ceil(float64(t.limit)*t.share)))
}

// capacity returns how many requests of this pool may be in flight, given the external load. A
// report alone never takes the last slot: if the report were false, only a successful request could
// show it.
func (t *target) capacity() int {
	floor := 1
	if t.lingering > 0 {
		floor = 0
	}
	return max(floor, t.slotLimit()-t.effectiveExternalLoad())
}

// freeSlots returns how many more requests the target may get now.
func (t *target) freeSlots(now instant) int {
	if !t.accepting(now) {
		return 0
	}
	return max(0, t.capacity()-t.inFlight)
}

// shedsToLower is the number of sheds, without a success at the limit in between, that lower the
// limit. A single shed may be a race: the caller receives its answer a moment before the target
// stops counting the request.
const shedsToLower = 2

// recordShed records that the target shed a request, which inFlight still includes.
//
// A target with fewer working slots than declared would otherwise get the same excess request again
// and again and refuse it each time, and the number of refusals with reason "shed" would rise.
// Lowering the limit to what the target was running prevents that.
func (t *target) recordShed(now instant, cfg *Config) {
	others := t.inFlight - 1
	t.reportDiscount = 0
	t.successesOverReport = 0
	t.shedsSinceSuccess++
	if others == 0 {
		t.pauseAfter = nextBackoff(t.pauseAfter, cfg.ShedPause, cfg.ShedPauseMax)
		t.pausedUntil = max(t.pausedUntil, now+t.pauseAfter)
	}
	running := others + max(t.externalLoad, t.lingering)
	if running >= t.limit || t.shedsSinceSuccess < shedsToLower {
		return // external load explains the shed, or it may be a race
	}
	t.lowerLimit(now, running, cfg)
}

func (t *target) lowerLimit(now instant, limit int, cfg *Config) {
	t.shedsSinceSuccess = 0
	t.limit = max(1, limit)
	t.regrowAfter = nextBackoff(t.regrowAfter, cfg.RegrowAfter, cfg.RegrowMax)
	t.regrowAt = now + t.regrowAfter
}

// raiseLimit raises a lowered limit by one once its wait has passed.
func (t *target) raiseLimit(now instant) {
	if t.limit >= t.Slots || now < t.regrowAt {
		return
	}
	t.limit++
	t.regrowAt = now + t.regrowAfter
}

// peakWindow is at least as long as a release takes to reach the owner of the pool.
const peakWindow = 200 * time.Millisecond

// recordPeak updates the most requests in flight in this and in the previous peakWindow.
func (t *target) recordPeak(now instant) {
	if now >= t.peakEnd {
		t.peaks[1] = t.peaks[0]
		if now >= t.peakEnd+peakWindow {
			t.peaks[1] = t.inFlight
		}
		t.peaks[0] = t.inFlight
		t.peakEnd = now + peakWindow
	}
	t.peaks[0] = max(t.peaks[0], t.inFlight)
}

// applyReport applies the figures that the target reports.
//
// The figures arrive with the replies, and replies of requests that ran at the same time are
// released one by one. Compared with what is in flight now, a report would therefore count requests
// that have just ended as external load, and free slots would stay unused. It is compared with the
// recent peak in flight instead.
func (t *target) applyReport(now instant, inFlight, slots int, cfg *Config) {
	t.recordPeak(now)
	peak := max(t.peaks[0], t.peaks[1])
	if slots > 0 && slots < t.limit && !t.contradicts(slots, peak) {
		t.lowerLimit(now, slots, cfg)
	}
	if inFlight < 0 {
		return
	}
	t.externalLoad = min(t.Slots, max(0, inFlight-peak)) // a larger value would only take longer to discount
	t.externalUntil = now + cfg.ReportFor
	if t.externalLoad == 0 {
		t.reportDiscount = 0
	}
	// Granted requests may still be on their way to the target, so the report does not show how many
	// of the running requests are lingering ones, only that no more linger than it runs in total.
	t.lingering = min(t.lingering, inFlight)
}

// contradicts reports whether the target has recently run more requests of this pool than the slots
// it reports, without shedding any. A false report would otherwise exclude most slots of a target
// that works well. If the report is true after all, sheds will lower the limit.
func (t *target) contradicts(slots, peak int) bool {
	return peak > slots && t.shedsSinceSuccess == 0
}

// successesPerDiscount is how many consecutive requests must succeed on a target, while its reports
// leave no more free slots, before one more is tried.
const successesPerDiscount = 8

// recordSuccess records a successful request, which inFlight still includes.
//
// A report that is stuck at a high load, or false, would exclude a target that works well: its free
// slots would stay unused while callers queue. Successes while the report leaves no free slots
// therefore reduce its weight by one slot at a time, and the first shed restores its full weight.
func (t *target) recordSuccess() {
	t.pauseAfter = 0
	if t.inFlight >= t.limit {
		t.shedsSinceSuccess = 0
	}
	if t.inFlight >= t.Slots {
		t.regrowAfter = 0
	}
	if t.externalLoad <= t.reportDiscount {
		t.successesOverReport = 0
		return
	}
	t.successesOverReport++
	if t.successesOverReport < successesPerDiscount {
		return
	}
	t.successesOverReport = 0
	t.reportDiscount++
}

// addLingering keeps a slot in use for a time after an end that does not prove that the target
// stopped running the request.
func (t *target) addLingering(now instant, linger time.Duration) {
	t.lingering++
	t.lingerUntil = max(t.lingerUntil, now+linger)
}

// expireReports clears external load and lingering requests that are too old.
func (t *target) expireReports(now instant) {
	if now >= t.externalUntil {
		t.externalLoad = 0
	}
	if now >= t.lingerUntil {
		t.lingering = 0
	}
}

// nextChange returns when the free slots of the target next change by time alone, or never.
func (t *target) nextChange(now instant) instant {
	next := never
	if t.limit < t.Slots {
		next = min(next, t.regrowAt)
	}
	if t.externalLoad > 0 {
		next = min(next, t.externalUntil)
	}
	if t.lingering > 0 {
		next = min(next, t.lingerUntil)
	}
	if t.pausedUntil > now {
		next = min(next, t.pausedUntil)
	}
	return next
}

// The score orders the targets with free slots; the smallest is chosen. Its upper bits hold the load
// score of the pool's Choice, its lower ones the sequence number of the last grant.
const (
	usedBits  = 40
	usedMask  = 1<<usedBits - 1
	loadScale = 1 << 20
)

func (t *target) updateScore(choice Choice) {
	t.score = t.loadScore(choice)<<usedBits | t.lastUsed&usedMask
}

func (t *target) loadScore(choice Choice) uint64 {
	switch choice {
	case ChooseLeastLoaded:
		return uint64(t.inFlight+t.effectiveExternalLoad()) * loadScale / uint64(max(1, t.slotLimit()))
	case ChooseFastest:
		const unit = float64(16 * time.Microsecond)
		return min(loadScale, uint64(t.serviceTime*float64(t.inFlight+1)/unit))
	default:
		return 0
	}
}

func nextBackoff(last, first, limit time.Duration) time.Duration {
	if last == 0 {
		return first
	}
	return min(2*last, limit)
}

func avoided(name steering.Target, avoid []steering.Target) bool {
	for _, a := range avoid {
		if a == name {
			return true
		}
	}
	return false
}
