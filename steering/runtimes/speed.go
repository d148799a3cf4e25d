package runtimes

import (
	"math"
	"time"

	"heatherlock/steering"
)

const (
	// speedWeight is the weight of a new sample in a target's speed: about the last 12 count.
	speedWeight = 0.08
	// maxSpeedStep bounds the distance that one sample counts for, as a logarithm. With the bound the speed
	// follows the median run: single runs take many times as long as others for reasons of their own.
	maxSpeedStep = 0.25
	// maxFactor bounds the speed factor of a target.
	maxFactor = 4.0
	// speedAgeing is the time in which an unconfirmed speed loses two thirds of its distance from usual.
	speedAgeing = 30 * time.Second
)

// speed is what is known of a target: how its run times compare with those of other targets.
type speed struct {
	log float64 // logarithm of the factor
	at  time.Time
	// slowdown was reported last, at reportedAt.
	slowdown   float64
	reportedAt time.Time
}

// target returns the speed of a target. Beyond maxTargets it is one that is not kept.
func (m *Model) target(now time.Time, name steering.Target) *speed {
	s := m.targets[name]
	if s == nil {
		s = &speed{at: now}
		if len(m.targets) < maxTargets && name != "" {
			m.targets[name] = s
		}
	}
	return s
}

// add adds the ratio of an observed time to the usual one.
func (s *speed) add(now time.Time, ratio float64) {
	s.log *= s.kept(now)
	s.at = now
	step := math.Min(math.Max(math.Log(ratio)-s.log, -maxSpeedStep), maxSpeedStep)
	s.log += speedWeight * step
	s.log = math.Min(math.Max(s.log, -math.Log(maxFactor)), math.Log(maxFactor))
}

func (s *speed) kept(now time.Time) float64 {
	return math.Exp(-float64(max(now.Sub(s.at), 0)) / float64(speedAgeing))
}

// factorAt returns the factor by which the target's run times exceed the usual ones.
func (s *speed) factorAt(now time.Time) float64 {
	if s.log == 0 {
		return 1
	}
	return math.Exp(s.log * s.kept(now))
}

func (m *Model) factor(now time.Time, target steering.Target) float64 {
	if s := m.targets[target]; s != nil {
		return s.factorAt(now)
	}
	return 1
}

// Forget drops what is known of a target that restarted or is gone.
func (m *Model) Forget(target steering.Target) { delete(m.targets, target) }

// sweep drops the speeds of targets without recent samples.
func (m *Model) sweep(now time.Time) {
	if now.Sub(m.sweptAt) < sweepInterval {
		return
	}
	m.sweptAt = now
	for name, s := range m.targets {
		if now.Sub(s.at) > targetTTL {
			delete(m.targets, name)
		}
	}
}
