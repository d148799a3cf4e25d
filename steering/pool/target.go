package pool

import (
	"math"
	"time"

	"heatherlock/steering"
	"heatherlock/steering/routing"
)

// instant is time since the pool was made. Working in durations keeps the
// monotonic clock and makes comparisons cheap.
type instant = time.Duration

const never = instant(math.MaxInt64)

// notReady marks a target that is not in the heap of targets with free slots.
const notReady = -1

// target is what the pool knows of one target.
type target struct {
	routing.Target
	declared bool // still in the configuration
	stopped  bool
	closed   bool    // ejected by the health judgement
	share    float64 // part of the slots that warm-up allows, 0..1

	inFlight int
	limit    int // learned; never above the declared slots
	ready    int // position in the heap, or notReady
	score    uint64
	used     uint64 // sequence number of the last grant
	free     int    // contribution to Pool.free
	working  int    // contribution to Pool.slots
	usable   bool   // contribution to Pool.usable

	extra      int // reported load beyond our own
	extraUntil instant
	doubt      int // how far first-hand successes contradict extra
	successes  int // in a row, granted where the reports left no more room

	lingering   int // ended without proof that the target stopped running them
	lingerUntil instant

	peaks   [2]int // most of ours in flight in this and the last peakWindow
	peakEnd instant

	strikes int // sheds since the last success at the limit

	regrowAt    instant
	regrowAfter time.Duration
	pausedUntil instant
	pauseAfter  time.Duration

	serviceTime float64 // mean, nanoseconds; the pool's before the first
}

// open says whether the target may get new work at all.
func (t *target) open(now instant) bool {
	return t.declared && !t.stopped && !t.closed && now >= t.pausedUntil
}

// believedExtra is the load beyond our own granted requests. What lingers is
// part of what the target reports, so the two are not added.
func (t *target) believedExtra() int {
	return max(0, t.extra-t.doubt, t.lingering)
}

// allowed is how many requests may be in flight, without extra load.
func (t *target) allowed() int {
	if t.share >= 1 {
		return t.limit
	}
	return max(1, int(math.Ceil(float64(t.limit)*t.share)))
}

// capacity is how many of our requests may be in flight, given the load that
// is not ours. A report alone never takes the last slot: were it false, nothing
// would ever show it.
func (t *target) capacity() int {
	floor := 1
	if t.lingering > 0 {
		floor = 0
	}
	return max(floor, t.allowed()-t.believedExtra())
}

// room is how many more requests the target may get now.
func (t *target) room(now instant) int {
	if !t.open(now) {
		return 0
	}
	return max(0, t.capacity()-t.inFlight)
}

// strikesToLower is how many sheds without a success at the limit lower it.
// A single one may be a race: the caller has its answer a moment before the
// target has counted the request out.
const strikesToLower = 2

// shed learns from a typed refusal of the target. inFlight still counts the
// refused request.
//
// A target with fewer working slots than declared would otherwise be offered
// the same refused request again and again; the refusals by reason shed would
// show it. Lowering the limit to what the target was running stops that.
func (t *target) shed(now instant, cfg *Config) {
	others := t.inFlight - 1
	t.doubt = 0
	t.successes = 0
	t.strikes++
	if others == 0 {
		t.pauseAfter = nextBackoff(t.pauseAfter, cfg.ShedPause, cfg.ShedPauseMax)
		t.pausedUntil = now + t.pauseAfter
	}
	running := others + max(t.extra, t.lingering)
	if running >= t.limit || t.strikes < strikesToLower {
		return // load that is not ours explains it, or it may be a race
	}
	t.lower(now, running, cfg)
}

func (t *target) lower(now instant, limit int, cfg *Config) {
	t.strikes = 0
	t.limit = max(1, limit)
	t.regrowAfter = nextBackoff(t.regrowAfter, cfg.RegrowAfter, cfg.RegrowMax)
	t.regrowAt = now + t.regrowAfter
}

// regrow raises a lowered limit by one when its wait is over.
func (t *target) regrow(now instant) {
	if t.limit >= t.Slots || now < t.regrowAt {
		return
	}
	t.limit++
	t.regrowAt = now + t.regrowAfter
}

// peakWindow is at least as long as a release is on its way to the owner.
const peakWindow = 200 * time.Millisecond

// notePeak remembers how many of ours were in flight lately.
func (t *target) notePeak(now instant) {
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

// report takes the target's own figures.
//
// Figures travel with replies, and replies of requests that ran together are
// released one by one: compared with what is in flight now, a report would
// show our own ended requests as somebody else's, and free slots would stay
// unused. It is therefore compared with the most that was in flight lately.
func (t *target) report(now instant, inFlight, slots int, cfg *Config) {
	t.notePeak(now)
	peak := max(t.peaks[0], t.peaks[1])
	if slots > 0 && slots < t.limit && !t.refutes(slots, peak) {
		t.lower(now, slots, cfg)
	}
	if inFlight < 0 {
		return
	}
	t.extra = min(t.Slots, max(0, inFlight-peak)) // more would only take longer to doubt
	t.extraUntil = now + cfg.ReportFor
	if t.extra == 0 {
		t.doubt = 0
	}
	// Requests of ours may be on their way to the target, so what it runs
	// beyond them is not known; only that no more linger than it runs at all.
	t.lingering = min(t.lingering, inFlight)
}

// refutes says whether the target ran more of ours lately, without shedding,
// than the slots it reports. A false report would shut out most of a target
// that serves well; if it is true after all, sheds will lower the limit.
func (t *target) refutes(slots, peak int) bool {
	return peak > slots && t.strikes == 0
}

// successesBeforeDoubt is how many requests in a row must succeed on a target
// whose reports leave no more room before one more is tried.
const successesBeforeDoubt = 8

// succeeded notes a first-hand success. inFlight still counts the request.
//
// A report that is frozen at a high load, or false, would shut out a target
// that serves well; its free slots would stay unused while callers queue.
// Successes where the report left no room outweigh it one step at a time, and
// the first shed takes the doubt back.
func (t *target) succeeded() {
	t.pauseAfter = 0
	if t.inFlight >= t.limit {
		t.strikes = 0
	}
	if t.inFlight >= t.Slots {
		t.regrowAfter = 0
	}
	if t.extra <= t.doubt {
		t.successes = 0
		return
	}
	t.successes++
	if t.successes < successesBeforeDoubt {
		return
	}
	t.successes = 0
	t.doubt++
}

// uncertain keeps a slot taken for a while after an end that does not prove
// that the target stopped running the request.
func (t *target) uncertain(now instant, linger time.Duration) {
	t.lingering++
	t.lingerUntil = max(t.lingerUntil, now+linger)
}

// fade forgets load beyond our own that is too old.
func (t *target) fade(now instant) {
	if now >= t.extraUntil {
		t.extra = 0
	}
	if now >= t.lingerUntil {
		t.lingering = 0
	}
}

// nextChange is when time alone will change the room of the target.
func (t *target) nextChange(now instant) instant {
	next := never
	if t.limit < t.Slots {
		next = min(next, t.regrowAt)
	}
	if t.extra > 0 {
		next = min(next, t.extraUntil)
	}
	if t.lingering > 0 {
		next = min(next, t.lingerUntil)
	}
	if t.pausedUntil > now {
		next = min(next, t.pausedUntil)
	}
	return next
}

// Scores order targets with room; the smaller is chosen. The upper bits hold
// the choice's own measure, the lower ones the time of last use.
const (
	usedBits = 40
	usedMask = 1<<usedBits - 1
	loadUnit = 1 << 20
)

func (t *target) rescore(choice Choice) {
	t.score = t.measure(choice)<<usedBits | t.used&usedMask
}

func (t *target) measure(choice Choice) uint64 {
	switch choice {
	case ChooseLeastLoaded:
		return uint64(t.inFlight+t.believedExtra()) * loadUnit / uint64(max(1, t.allowed()))
	case ChooseFastest:
		const unit = float64(16 * time.Microsecond)
		return min(loadUnit, uint64(t.serviceTime*float64(t.inFlight+1)/unit))
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
