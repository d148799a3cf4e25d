package health

import (
	"math"
	"time"
)

// Outcome classifies the result of a request by what it shows about the target.
type Outcome uint8

const (
	// Neutral shows nothing about the target, for example when the target shed
	// the request or the caller cancelled it.
	Neutral Outcome = iota
	Success
	// Failure is an error response, a broken connection or a timeout.
	Failure
	// Unreachable means that not a single byte of the request could be sent.
	Unreachable
)

// evidence aggregates the outcomes of the requests to one target. The weights
// of outcomes decay exponentially with time.
type evidence struct {
	totalWeight            float64 // weight of all outcomes
	failedWeight           float64 // weight of the failures among them
	updatedAt              time.Time
	consecutiveFailures    int // latest outcomes in a row that failed in any way
	consecutiveUnreachable int // latest outcomes in a row that were Unreachable
	lastSuccess            time.Time
}

func (e *evidence) decay(now time.Time, halfLife time.Duration) {
	if !now.After(e.updatedAt) {
		return
	}
	factor := math.Exp2(-float64(now.Sub(e.updatedAt)) / float64(halfLife))
	e.totalWeight *= factor
	e.failedWeight *= factor
	e.updatedAt = now
}

func (e *evidence) add(now time.Time, o Outcome, halfLife time.Duration) {
	e.decay(now, halfLife)
	e.totalWeight++
	if o == Success {
		e.consecutiveFailures = 0
		e.consecutiveUnreachable = 0
		e.lastSuccess = now
		return
	}
	e.failedWeight++
	e.consecutiveFailures++
	if o == Unreachable {
		e.consecutiveUnreachable++
	} else {
		e.consecutiveUnreachable = 0
	}
}

// showsUnhealthy reports whether the outcomes show that the target fails requests
// or is unreachable.
func (e *evidence) showsUnhealthy(cfg *Config) bool {
	if e.consecutiveFailures >= cfg.ConsecutiveFailures || e.showsUnreachable(cfg) {
		return true
	}
	return e.totalWeight >= cfg.MinWeight && e.failedWeight >= cfg.FailureRate*e.totalWeight
}

// showsUnreachable reports whether the latest outcomes show that the target is
// unreachable.
func (e *evidence) showsUnreachable(cfg *Config) bool {
	return e.consecutiveUnreachable >= cfg.ConsecutiveUnreachable
}
