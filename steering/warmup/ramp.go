package warmup

import (
	"math"
	"time"
)

// Config configures a Ramp. Zero fields take the defaults given beside them.
type Config struct {
	// InitialShare is the share of the slots that a cold target or place may use.
	InitialShare float64 // 0.25
	// Factor is the most that the share may grow by in one step.
	Factor float64 // 1.5
	// Step is the time between two increases of the share.
	Step time.Duration // 2 s
	// HalfLife is the time in which an unused share halves. It does not fall below InitialShare.
	HalfLife time.Duration // 5 min
}

const (
	defaultInitialShare = 0.25
	defaultFactor       = 1.5
	defaultStep         = 2 * time.Second
	defaultHalfLife     = 5 * time.Minute
)

func (c Config) withDefaults() Config {
	if c.InitialShare == 0 {
		c.InitialShare = defaultInitialShare
	}
	if c.Factor == 0 {
		c.Factor = defaultFactor
	}
	if c.Step == 0 {
		c.Step = defaultStep
	}
	if c.HalfLife == 0 {
		c.HalfLife = defaultHalfLife
	}
	return c
}

// Ramp is the slow start of one target or place. It is not safe for concurrent use.
type Ramp struct {
	cfg        Config
	share      float64
	peakUsed   float64 // largest share of the slots in use in the current step
	nextStepAt time.Time
}

// NewCold returns the ramp of a cold target or place.
func NewCold(now time.Time, cfg Config) *Ramp {
	cfg = cfg.withDefaults()
	return &Ramp{cfg: cfg, share: cfg.InitialShare, nextStepAt: now.Add(cfg.Step)}
}

// NewAt returns a ramp that starts with the share of the slots in use now. It is for a place that
// already serves its own callers when a traffic shift to it begins.
func NewAt(now time.Time, cfg Config, used float64) *Ramp {
	r := NewCold(now, cfg)
	r.share = min(1, max(r.cfg.InitialShare, used))
	return r
}

// Used records the share of the slots in use now, from 0 to 1.
func (r *Ramp) Used(now time.Time, used float64) {
	r.advance(now)
	r.peakUsed = max(r.peakUsed, used)
}

// Share returns the share of the slots that may be in use now.
func (r *Ramp) Share(now time.Time) float64 {
	r.advance(now)
	return r.share
}

// Warm reports whether the ramp allows all slots.
func (r *Ramp) Warm(now time.Time) bool {
	return r.Share(now) >= 1
}

// Remaining estimates the time until the ramp allows all slots, provided that the allowed share
// is fully used until then.
func (r *Ramp) Remaining(now time.Time) time.Duration {
	share := r.Share(now)
	if share >= 1 {
		return 0
	}
	steps := math.Ceil(math.Log(1/share) / math.Log(r.cfg.Factor))
	return r.nextStepAt.Sub(now) + time.Duration(steps-1)*r.cfg.Step
}

// advance completes the steps that have passed. If several have passed since the last call,
// nothing is known about the usage in the later ones, so the share only decays in them.
func (r *Ramp) advance(now time.Time) {
	if now.Before(r.nextStepAt) {
		return
	}
	overdue := now.Sub(r.nextStepAt)
	steps := 1 + int64(overdue/r.cfg.Step)
	r.nextStepAt = r.nextStepAt.Add(time.Duration(steps) * r.cfg.Step)
	decayed := r.share * math.Exp2(-float64(time.Duration(steps)*r.cfg.Step)/float64(r.cfg.HalfLife))
	if r.share >= 1 {
		decayed = 1 // a completed ramp stays completed
	}
	r.share = min(1, max(r.cfg.InitialShare, decayed, min(r.peakUsed, r.share)*r.cfg.Factor))
	r.peakUsed = 0
}
