package health

import (
	"math"
	"time"
)

// Outcome classifies a request's end by what it says about the target.
type Outcome uint8

// Outcomes.
const (
	// Neutral says nothing, for example a shed or a caller that went away.
	Neutral Outcome = iota
	Success
	// Failure is a failed, broken or timed-out answer.
	Failure
	// Unreachable means that no byte could be sent.
	Unreachable
)

// evidence is what requests showed of one target; it fades.
type evidence struct {
	total       float64 // weight of outcomes
	failed      float64 // weight of failures among them
	at          time.Time
	consecutive int // failures of any kind in a row
	unreachable int // of them at the end, unreachable
	lastSuccess time.Time
}

func (e *evidence) fade(now time.Time, halfLife time.Duration) {
	if !now.After(e.at) {
		return
	}
	factor := math.Exp2(-float64(now.Sub(e.at)) / float64(halfLife))
	e.total *= factor
	e.failed *= factor
	e.at = now
}

func (e *evidence) add(now time.Time, o Outcome, halfLife time.Duration) {
	e.fade(now, halfLife)
	e.total++
	if o == Success {
		e.consecutive = 0
		e.unreachable = 0
		e.lastSuccess = now
		return
	}
	e.failed++
	e.consecutive++
	if o == Unreachable {
		e.unreachable++
	} else {
		e.unreachable = 0
	}
}

// sick says whether requests show that the target fails.
func (e *evidence) sick(cfg *Config) bool {
	if e.consecutive >= cfg.Consecutive || e.dead(cfg) {
		return true
	}
	return e.total >= cfg.MinEvidence && e.failed >= cfg.FailureRate*e.total
}

// dead says whether the target could not even be reached.
func (e *evidence) dead(cfg *Config) bool {
	return e.unreachable >= cfg.Unreachable
}
