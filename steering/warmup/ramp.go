package warmup

import (
	"math"
	"time"
)

// Config bounds a ramp. The zero value of a field takes the default named
// beside it.
type Config struct {
	// Start is the share of slots a cold target or place may use.
	Start float64 // 0.25
	// Factor is the most that the share may grow by in a step.
	Factor float64 // 1.5
	// Step is the time between two growths.
	Step time.Duration // 2 s
	// HalfLife is the time in which an unused share halves, down to Start.
	HalfLife time.Duration // 5 min
}

const (
	defaultStart    = 0.25
	defaultFactor   = 1.5
	defaultStep     = 2 * time.Second
	defaultHalfLife = 5 * time.Minute
)

func (c Config) withDefaults() Config {
	if c.Start == 0 {
		c.Start = defaultStart
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

// Ramp is the slow start of one target or place. It is not safe for
// concurrent use.
type Ramp struct {
	cfg    Config
	share  float64
	used   float64 // most used in the current step, as a share of the slots
	stepAt time.Time
}

// NewCold returns the ramp of a cold target or place.
func NewCold(now time.Time, cfg Config) *Ramp {
	cfg = cfg.withDefaults()
	return &Ramp{cfg: cfg, share: cfg.Start, stepAt: now.Add(cfg.Step)}
}

// NewAt returns a ramp that begins with the share that is in use now, for a
// place that already serves its own callers when a shift begins.
func NewAt(now time.Time, cfg Config, used float64) *Ramp {
	r := NewCold(now, cfg)
	r.share = min(1, max(r.cfg.Start, used))
	return r
}

// Used notes the share of the slots in use now, 0..1.
func (r *Ramp) Used(now time.Time, share float64) {
	r.advance(now)
	r.used = max(r.used, share)
}

// Share returns the share of the slots that may be in use now.
func (r *Ramp) Share(now time.Time) float64 {
	r.advance(now)
	return r.share
}

// Warm says whether the ramp allows everything.
func (r *Ramp) Warm(now time.Time) bool {
	return r.Share(now) >= 1
}

// Remaining estimates the time until the ramp allows everything, provided the
// allowed share is used throughout.
func (r *Ramp) Remaining(now time.Time) time.Duration {
	share := r.Share(now)
	if share >= 1 {
		return 0
	}
	steps := math.Ceil(math.Log(1/share) / math.Log(r.cfg.Factor))
	return r.stepAt.Sub(now) + time.Duration(steps-1)*r.cfg.Step
}

// advance takes the step that has passed. When several passed unseen, nothing
// is known of use in the later ones, and the share only fades in them.
func (r *Ramp) advance(now time.Time) {
	if now.Before(r.stepAt) {
		return
	}
	unseen := now.Sub(r.stepAt)
	steps := 1 + int64(unseen/r.cfg.Step)
	r.stepAt = r.stepAt.Add(time.Duration(steps) * r.cfg.Step)
	faded := r.share * math.Exp2(-float64(time.Duration(steps)*r.cfg.Step)/float64(r.cfg.HalfLife))
	if r.share >= 1 {
		faded = 1 // a ramp that is through stays through
	}
	r.share = min(1, max(r.cfg.Start, faded, min(r.used, r.share)*r.cfg.Factor))
	r.used = 0
}
