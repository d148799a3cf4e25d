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

// targetHealth tracks the health and the slow starts of one pool's targets. It is
// guarded by poolState.mu; the methods of poolState below apply its results to
// the pool.
type targetHealth struct {
	tracker        *health.Tracker
	ramps          map[steering.Target]*warmup.Ramp // slow starts of warming targets
	placeRamp      *warmup.Ramp                     // set while a shift moves work here
	shares         map[steering.Target]float64      // last share set in the pool
	declaredBefore bool                             // the last configuration had targets
}

func newTargetHealth() targetHealth {
	return targetHealth{
		tracker: health.New(health.Config{}),
		ramps:   map[steering.Target]*warmup.Ramp{},
		shares:  map[steering.Target]float64{},
	}
}

// trialShare is the share of a target on trial. The pool keeps at least one slot
// of every target usable, so a target on trial has exactly one.
const trialShare = 0

// declareTargets applies the configured targets to the health tracker. Targets
// of the first configuration are taken as warm, targets added later as cold.
func (p *poolState) declareTargets(now time.Time, targets []routing.Target) {
	names := make([]steering.Target, 0, len(targets))
	for _, t := range targets {
		names = append(names, t.Name)
	}
	p.applyHealth(now, p.targetHealth.tracker.SetTargets(now, names, p.targetHealth.declaredBefore))
	p.targetHealth.declaredBefore = len(names) > 0
}

// recordOutcome records the outcome of a request to a target.
func (p *poolState) recordOutcome(now time.Time, target steering.Target, kind seam.OutcomeKind) {
	p.applyHealth(now, p.targetHealth.tracker.Observe(now, target, healthOutcome(kind)))
}

func healthOutcome(kind seam.OutcomeKind) health.Outcome {
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

// applyHealth applies state changes of targets to the pool: an ejected target is
// closed, a warming one gets a ramp.
func (p *poolState) applyHealth(now time.Time, changes []health.Change) {
	for _, c := range changes {
		delete(p.targetHealth.ramps, c.Target)
		if c.State == health.Warming {
			p.targetHealth.ramps[c.Target] = warmup.NewCold(now, warmup.Config{})
		}
		p.applyEffects(p.pool.SetEjected(now, c.Target, c.State == health.Ejected))
		p.share(now, c.Target)
		p.metrics.targetState(string(c.State))
	}
}

// share updates the share of a target's slots that the pool may use now.
func (p *poolState) share(now time.Time, target steering.Target) {
	share := 1.0
	if ramp, warming := p.targetHealth.ramps[target]; warming {
		share = ramp.Share(now)
	}
	if p.targetHealth.tracker.State(target) == health.Trial {
		share = trialShare
	}
	last, reported := p.targetHealth.shares[target]
	if reported && last == share || !reported && share == 1 {
		return
	}
	p.targetHealth.shares[target] = share
	p.applyEffects(p.pool.SetShare(now, target, share))
}

// updateRamps advances health states and ramps to the given time.
func (p *poolState) updateRamps(now time.Time) {
	p.applyHealth(now, p.targetHealth.tracker.Tick(now))
	p.updatePlaceRamp(now)
	for target, ramp := range p.targetHealth.ramps {
		ramp.Used(now, float64(p.pool.InFlight(target))/float64(max(1, p.pool.Limit(target))))
		if ramp.Warm(now) {
			p.applyHealth(now, p.targetHealth.tracker.Warm(now, target))
			continue
		}
		p.share(now, target)
	}
}

func (p *poolState) updatePlaceRamp(now time.Time) {
	if p.targetHealth.placeRamp == nil {
		return
	}
	p.targetHealth.placeRamp.Used(now, p.utilization())
	if p.targetHealth.placeRamp.Warm(now) {
		p.targetHealth.placeRamp = nil
	}
	p.updateCeiling(now)
}

// updateCeiling sets the pool's ceiling over all targets to what the place's ramp
// allows.
func (p *poolState) updateCeiling(now time.Time) {
	ceiling := pool.NoCeiling
	if p.targetHealth.placeRamp != nil {
		allowed := p.targetHealth.placeRamp.Share(now) * float64(p.pool.Stats().Declared)
		ceiling = int(math.Ceil(allowed))
	}
	p.applyEffects(p.pool.SetCeiling(now, ceiling))
}

// utilization returns the fraction of the declared slots in use.
func (p *poolState) utilization() float64 {
	s := p.pool.Stats()
	if s.Declared == 0 {
		return 0
	}
	return float64(s.InFlight) / float64(s.Declared)
}

// startPlaceRamp starts the place's ramp because a shift moves more work here. A
// ramp that already runs is kept, so that two shifts together grow no faster than
// one.
func (p *poolState) startPlaceRamp() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.targetHealth.placeRamp != nil {
		return
	}
	now := time.Now()
	p.targetHealth.placeRamp = warmup.NewAt(now, warmup.Config{}, p.utilization())
	p.updateCeiling(now)
}

// applyLoad applies the load that a target reported to its health and to the pool.
func (p *poolState) applyLoad(now time.Time, target steering.Target, load Load) {
	p.applyHealth(now, p.targetHealth.tracker.Report(now, target, !load.Draining))
	p.applyHealth(now, p.targetHealth.tracker.ObserveReachable(now, target))
	p.applyEffects(p.pool.Report(now, target, load.InFlight, load.Slots))
}

// rampReason replaces the reason of a refusal for lack of slots by
// ReasonRampLimited while the place's ramp limits the slots.
func (p *poolState) rampReason(reason steering.Reason) steering.Reason {
	limited := reason == steering.ReasonNoSlot || reason == steering.ReasonQueueFull
	if p.targetHealth.placeRamp != nil && limited {
		return steering.ReasonRampLimited
	}
	return reason
}

// poolsReceivingShifts returns the pools to which a new snapshot shifts more work
// than the old one.
func poolsReceivingShifts(old, now *routing.Snapshot, pools map[poolKey]poolConfig) map[poolKey]bool {
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
			addReceivingPools(to, place, shift.Service, pools)
		}
	}
	return to
}

func addReceivingPools(to map[poolKey]bool, place steering.Place, service steering.Service, pools map[poolKey]poolConfig) {
	for key := range pools {
		if key.place == place && !key.isLink() && (service == "" || service == key.service) {
			to[key] = true
		}
	}
}

// slotEnd returns what the outcome of a request means for its slot.
func slotEnd(kind seam.OutcomeKind) pool.End {
	switch kind {
	case seam.OutcomeOK:
		return pool.EndSucceeded
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
