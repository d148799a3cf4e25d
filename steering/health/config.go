package health

import "time"

// Config holds the thresholds and times of a [Tracker]. The zero value of a
// field selects the default named beside it.
type Config struct {
	// HalfLife is the time in which the weight of an outcome halves.
	HalfLife time.Duration // 5 s
	// MinWeight is the total weight of outcomes below which the failure rate
	// is not used.
	MinWeight float64 // 4
	// FailureRate is the share of failures, from 0 to 1, at which a target
	// counts as unhealthy.
	FailureRate float64 // 0.5
	// ConsecutiveFailures is the number of failures in a row at which a
	// target counts as unhealthy whatever its failure rate is.
	ConsecutiveFailures int // 5
	// ConsecutiveUnreachable is the number of Unreachable outcomes in a row at
	// which a target counts as unreachable.
	ConsecutiveUnreachable int // 3
	// BaseEjectionTime is the duration of the first ejection. It doubles, up to
	// MaxEjectionTime, each time the target is ejected again within
	// EjectionResetAfter.
	BaseEjectionTime   time.Duration // 2 s
	MaxEjectionTime    time.Duration // 60 s
	EjectionResetAfter time.Duration // 2 min
	// TrialSuccesses is the number of successful requests that end a trial.
	TrialSuccesses int // 3
	// UntriedAfter is how long a trial lasts without a request to a target that answers
	// requests for its load.
	UntriedAfter time.Duration // 5 s
	// ReportTTL is the time for which a target's report that it is unhealthy
	// is valid. Within this time after a success such a report is ignored.
	ReportTTL time.Duration // 5 s
}

const (
	defaultHalfLife               = 5 * time.Second
	defaultMinWeight              = 4
	defaultFailureRate            = 0.5
	defaultConsecutiveFailures    = 5
	defaultConsecutiveUnreachable = 3
	defaultBaseEjectionTime       = 2 * time.Second
	defaultMaxEjectionTime        = time.Minute
	defaultEjectionResetAfter     = 2 * time.Minute
	defaultTrialSuccesses         = 3
	defaultUntriedAfter           = 5 * time.Second
	defaultReportTTL              = 5 * time.Second
)

func (c Config) withDefaults() Config {
	orDefault(&c.HalfLife, defaultHalfLife)
	orDefault(&c.MinWeight, defaultMinWeight)
	orDefault(&c.FailureRate, defaultFailureRate)
	orDefault(&c.ConsecutiveFailures, defaultConsecutiveFailures)
	orDefault(&c.ConsecutiveUnreachable, defaultConsecutiveUnreachable)
	orDefault(&c.BaseEjectionTime, defaultBaseEjectionTime)
	orDefault(&c.MaxEjectionTime, defaultMaxEjectionTime)
	orDefault(&c.EjectionResetAfter, defaultEjectionResetAfter)
	orDefault(&c.TrialSuccesses, defaultTrialSuccesses)
	orDefault(&c.UntriedAfter, defaultUntriedAfter)
	orDefault(&c.ReportTTL, defaultReportTTL)
	return c
}

func orDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
