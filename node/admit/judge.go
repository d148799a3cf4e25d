package admit

import (
	"math"
	"time"

	"heatherlock/node/seam"
	"heatherlock/steering"
	"heatherlock/steering/health"
	"heatherlock/steering/pool"
	"heatherlock/steering/routing"
	"heatherlock/steering/warmup"
)

// judge keeps the health and the slow starts of one pool's targets and tells
// the pool what follows from them. Its caller holds the pool's lock.
type judge struct {
	tracker *health.Tracker
	ramps   map[steering.Target]*warmup.Ramp // of warming targets
	place   *warmup.Ramp                     // while shifts bring work here; else nil
	shares  map[steering.Target]float64      // what the pool was told last
	known   bool                             // targets were declared before
}

func newJudge() judge {
	return judge{
		tracker: health.New(health.Config{}),
		ramps:   map[steering.Target]*warmup.Ramp{},
		shares:  map[steering.Target]float64{},
	}
}

// trialShare leaves a target on trial its least: one slot.
const trialShare = 0

// declare follows the declared targets. Those that come later than the first
// are cold.
func (h *hosted) declare(now time.Time, targets []routing.Target) {
	names := make([]steering.Target, 0, len(targets))
	for _, t := range targets {
		names = append(names, t.Name)
	}
	h.apply(now, h.judge.tracker.SetTargets(now, names, h.judge.known))
	h.judge.known = len(names) > 0
}

// observe takes how a request to a target ended.
func (h *hosted) observe(now time.Time, target steering.Target, kind seam.OutcomeKind) {
	h.apply(now, h.judge.tracker.Observe(now, target, evidenceOf(kind)))
}

func evidenceOf(kind seam.OutcomeKind) health.Outcome {
	switch kind {
	case seam.OutcomeOK:
		return health.Success
	case seam.OutcomeFailed, seam.OutcomeBroken, seam.OutcomeTimeout:
		return health.Failure
	case seam.OutcomeUnreachable:
		return health.Unreachable
	default:
		return health.Neutral
	}
}

// apply tells the pool what targets' new states mean.
func (h *hosted) apply(now time.Time, changes []health.Change) {
	for _, c := range changes {
		delete(h.judge.ramps, c.Target)
		if c.State == health.Warming {
			h.judge.ramps[c.Target] = warmup.NewCold(now, warmup.Config{})
		}
		h.settle(h.pool.SetClosed(now, c.Target, c.State == health.Ejected))
		h.share(now, c.Target)
		h.metrics.targetState(string(c.State))
	}
}

// share tells the pool what part of a target's slots may be used now.
func (h *hosted) share(now time.Time, target steering.Target) {
	share := 1.0
	if ramp, warming := h.judge.ramps[target]; warming {
		share = ramp.Share(now)
	}
	if h.judge.tracker.State(target) == health.Trial {
		share = trialShare
	}
	last, told := h.judge.shares[target]
	if told && last == share || !told && share == 1 {
		return
	}
	h.judge.shares[target] = share
	h.settle(h.pool.SetShare(now, target, share))
}

// grow lets time act on health and slow starts.
func (h *hosted) grow(now time.Time) {
	h.apply(now, h.judge.tracker.Tick(now))
	h.growPlace(now)
	for target, ramp := range h.judge.ramps {
		ramp.Used(now, float64(h.pool.InFlight(target))/float64(max(1, h.pool.Limit(target))))
		if ramp.Warm(now) {
			h.apply(now, h.judge.tracker.Warm(now, target))
			continue
		}
		h.share(now, target)
	}
}

func (h *hosted) growPlace(now time.Time) {
	if h.judge.place == nil {
		return
	}
	h.judge.place.Used(now, h.used())
	if h.judge.place.Warm(now) {
		h.judge.place = nil
	}
	h.limitPlace(now)
}

// limitPlace tells the pool how much the place's ramp allows over all targets.
func (h *hosted) limitPlace(now time.Time) {
	ceiling := pool.NoCeiling
	if h.judge.place != nil {
		allowed := h.judge.place.Share(now) * float64(h.pool.Stats().Declared)
		ceiling = int(math.Ceil(allowed))
	}
	h.settle(h.pool.SetCeiling(now, ceiling))
}

// used is the part of the declared slots in use.
func (h *hosted) used() float64 {
	s := h.pool.Stats()
	if s.Declared == 0 {
		return 0
	}
	return float64(s.InFlight) / float64(s.Declared)
}

// receive starts the place's ramp, because a shift brings more work here. A
// ramp that runs goes on: two shifts share it.
func (h *hosted) receive() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.judge.place != nil {
		return
	}
	now := time.Now()
	h.judge.place = warmup.NewAt(now, warmup.Config{}, h.used())
	h.limitPlace(now)
}

// reported takes a target's own word that it is draining or well.
func (h *hosted) reported(now time.Time, target steering.Target, load Load) {
	h.apply(now, h.judge.tracker.Report(now, target, !load.Draining))
	h.apply(now, h.judge.tracker.Answered(now, target))
	h.settle(h.pool.Report(now, target, load.InFlight, load.Slots))
}

// rampReason names the ramp as the reason when it is what keeps slots closed.
func (h *hosted) rampReason(reason steering.Reason) steering.Reason {
	limited := reason == steering.ReasonNoSlot || reason == steering.ReasonQueueFull
	if h.judge.place != nil && limited {
		return steering.ReasonRampLimited
	}
	return reason
}

// receiving returns the pools that a new snapshot brings more shifted work to.
func receiving(old, now *routing.Snapshot, pools map[poolKey]wanted) map[poolKey]bool {
	to := map[poolKey]bool{}
	if old == nil {
		return to
	}
	for name, shift := range now.Shifts {
		before := 0
		if earlier, ok := old.Shifts[name]; ok {
			before = earlier.Moved
		}
		if shift.Moved <= before {
			continue
		}
		for _, place := range shift.To {
			addReceiving(to, place, shift.Service, pools)
		}
	}
	return to
}

func addReceiving(to map[poolKey]bool, place steering.Place, service steering.Service, pools map[poolKey]wanted) {
	for key := range pools {
		if key.place == place && !key.isLink() && (service == "" || service == key.service) {
			to[key] = true
		}
	}
}

// endOf says what the end of a request means for its slot.
func endOf(kind seam.OutcomeKind) pool.End {
	switch kind {
	case seam.OutcomeOK:
		return pool.EndDone
	case seam.OutcomeFailed:
		return pool.EndFailed
	case seam.OutcomeShed:
		return pool.EndShed
	case seam.OutcomeUnreachable, seam.OutcomeUnused:
		return pool.EndUnreachable
	default:
		return pool.EndUncertain
	}
}
