package health

import "time"

// Config bounds the judgement. The zero value of a field takes the default
// named beside it.
type Config struct {
	// HalfLife is the time in which evidence loses half its weight.
	HalfLife time.Duration // 5 s
	// MinEvidence is the weight of outcomes below which nothing is concluded
	// from their rate.
	MinEvidence float64 // 4
	// FailureRate is the rate of failures at which a target looks sick.
	FailureRate float64 // 0.5
	// Consecutive failures at which a target looks sick whatever its rate.
	Consecutive int // 5
	// Unreachable is how many times in a row a target must have been
	// unreachable to count as dead.
	Unreachable int // 3
	// FirstWait is the first time out of work; it doubles up to MaxWait each
	// time the target is ejected again within ForgiveAfter.
	FirstWait    time.Duration // 2 s
	MaxWait      time.Duration // 60 s
	ForgiveAfter time.Duration // 2 min
	// TrialSuccesses end a trial.
	TrialSuccesses int // 3
	// ReportFor is how long a reported sickness counts.
	ReportFor time.Duration // 5 s
}

const (
	defaultHalfLife       = 5 * time.Second
	defaultMinEvidence    = 4
	defaultFailureRate    = 0.5
	defaultConsecutive    = 5
	defaultUnreachable    = 3
	defaultFirstWait      = 2 * time.Second
	defaultMaxWait        = time.Minute
	defaultForgiveAfter   = 2 * time.Minute
	defaultTrialSuccesses = 3
	defaultReportFor      = 5 * time.Second
)

func (c Config) withDefaults() Config {
	orDefault(&c.HalfLife, defaultHalfLife)
	orDefault(&c.MinEvidence, defaultMinEvidence)
	orDefault(&c.FailureRate, defaultFailureRate)
	orDefault(&c.Consecutive, defaultConsecutive)
	orDefault(&c.Unreachable, defaultUnreachable)
	orDefault(&c.FirstWait, defaultFirstWait)
	orDefault(&c.MaxWait, defaultMaxWait)
	orDefault(&c.ForgiveAfter, defaultForgiveAfter)
	orDefault(&c.TrialSuccesses, defaultTrialSuccesses)
	orDefault(&c.ReportFor, defaultReportFor)
	return c
}

func orDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
