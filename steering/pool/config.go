package pool

import "time"

// Choice selects which of the targets with a free slot gets the next request.
type Choice uint8

// Values of Choice. docs/measurements/balance.md compares them.
const (
	// ChooseFastest takes the target with the smallest product of its mean service time and the
	// number of requests that it would then run.
	ChooseFastest Choice = iota
	// ChooseLeastLoaded takes the target with the smallest fraction of its slots in use, and among
	// equals the least recently used one.
	ChooseLeastLoaded
	// ChooseLeastRecentlyUsed takes the least recently used target, regardless of its load.
	ChooseLeastRecentlyUsed
)

// Config sets the bounds and times of a pool. A field that is zero takes the default given in the
// comment beside it.
type Config struct {
	Choice Choice
	// QueuePerSlot bounds the queue to this many waiting requests per working slot. If it is
	// negative, there is no queue: a request that finds no free slot is refused.
	QueuePerSlot float64 // 4
	// MaxWait bounds the estimated wait: a request that would wait longer is refused, so that
	// another place can still serve it promptly. If it is zero, only the deadline bounds the wait.
	MaxWait time.Duration
	// WaitPart also bounds the wait, to this multiple of the mean service time, but not below
	// MinWait. If it is zero, this bound does not apply.
	WaitPart float64
	MinWait  time.Duration // 25 ms
	// StandingAfter is how long a queue must not have been empty to be a standing queue. A request
	// that cannot go elsewhere gains from waiting while the queue is due to a short burst. In a
	// standing queue, longer waits do not serve more requests, they only serve all of them later;
	// Request.NoAlternative therefore has no effect there.
	StandingAfter time.Duration // 500 ms
	// CrossZoneMaxWait replaces MaxWait for requests from other zones. They have already spent time
	// on the way, and refusing them costs less.
	CrossZoneMaxWait time.Duration // MaxWait
	// ServiceTime is the mean service time that is assumed before the first sample.
	ServiceTime time.Duration // 50 ms
	// Linger is how long a slot stays in use after its request ended without an answer from the
	// target, which may still run the request.
	Linger time.Duration // 500 ms
	// OrphanLinger replaces Linger for the grants of an entry VM that is gone.
	OrphanLinger time.Duration // 5 s
	// ReportFor is how long a report of load beyond the pool's own requests is valid.
	ReportFor time.Duration // 2 s
	// RegrowAfter is the first wait before a lowered limit is raised by one. The wait doubles, up
	// to RegrowMax, each time the limit is lowered again.
	RegrowAfter time.Duration // 2 s
	RegrowMax   time.Duration // 60 s
	// ShedPause is for how long a target that sheds its only request gets no new ones. It doubles
	// each time, up to ShedPauseMax.
	ShedPause    time.Duration // 100 ms
	ShedPauseMax time.Duration // 5 s
	// RetryAfterMax bounds the RetryAfter of a refusal.
	RetryAfterMax time.Duration // 1 s
}

const (
	defaultQueuePerSlot  = 4
	defaultStandingAfter = 500 * time.Millisecond
	defaultMinWait       = 25 * time.Millisecond
	defaultServiceTime   = 50 * time.Millisecond
	defaultLinger        = 500 * time.Millisecond
	defaultOrphanLinger  = 5 * time.Second
	defaultReportFor     = 2 * time.Second
	defaultRegrowAfter   = 2 * time.Second
	defaultRegrowMax     = time.Minute
	defaultShedPause     = 100 * time.Millisecond
	defaultShedPauseMax  = 5 * time.Second
	defaultRetryAfterMax = time.Second

	// minRetryAfter keeps a refused caller from retrying at once.
	minRetryAfter = 20 * time.Millisecond
	// noQueuePerSlot disables the queue. Config uses a negative QueuePerSlot for this, because zero
	// selects the default.
	noQueuePerSlot = 0
)

func (c Config) withDefaults() Config {
	if c.QueuePerSlot == 0 {
		c.QueuePerSlot = defaultQueuePerSlot
	}
	if c.QueuePerSlot < 0 {
		c.QueuePerSlot = noQueuePerSlot
	}
	if c.CrossZoneMaxWait == 0 {
		c.CrossZoneMaxWait = c.MaxWait
	}
	orDefault(&c.StandingAfter, defaultStandingAfter)
	orDefault(&c.MinWait, defaultMinWait)
	orDefault(&c.ServiceTime, defaultServiceTime)
	orDefault(&c.Linger, defaultLinger)
	orDefault(&c.OrphanLinger, defaultOrphanLinger)
	orDefault(&c.ReportFor, defaultReportFor)
	orDefault(&c.RegrowAfter, defaultRegrowAfter)
	orDefault(&c.RegrowMax, defaultRegrowMax)
	orDefault(&c.ShedPause, defaultShedPause)
	orDefault(&c.ShedPauseMax, defaultShedPauseMax)
	orDefault(&c.RetryAfterMax, defaultRetryAfterMax)
	return c
}

func orDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}
