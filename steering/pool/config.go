package pool

import "time"

// Choice says which of the targets with a free slot gets the next request.
type Choice uint8

// Ways to choose a target. docs/measurements/balance.md compares them.
const (
	// ChooseFastest takes the target with the smallest product of its mean
	// service time and the requests it would then run.
	ChooseFastest Choice = iota
	// ChooseLeastLoaded takes the target with the smallest share of its slots
	// in use, the least recently used one among equals.
	ChooseLeastLoaded
	// ChooseFirst takes the target used least recently, whatever its load.
	ChooseFirst
)

// Config bounds a pool. The zero value of a field takes the default named
// beside it.
type Config struct {
	Choice Choice
	// QueuePerSlot bounds the queue to this many waiting requests per working
	// slot. Negative means no queue: what finds no free slot is refused.
	QueuePerSlot float64 // 4
	// MaxWait refuses a request whose estimated wait is longer, so that another
	// place can still serve it promptly. Zero leaves only the deadline.
	MaxWait time.Duration
	// WaitPart also bounds the wait to this part of the mean service time, but
	// not below MinWait. Zero sets no such bound.
	WaitPart float64
	MinWait  time.Duration // 25 ms
	// StandingAfter is the time for which a queue must not have been empty to
	// be a standing one. A burst is worth waiting out for who has nowhere else
	// to go; in a standing queue a longer wait serves nobody more, it only
	// serves all of them later, so that there patience counts no more.
	StandingAfter time.Duration // 500 ms
	// ForeignMaxWait is MaxWait for work from other zones, which has already
	// spent time on its way and can be refused at less cost.
	ForeignMaxWait time.Duration // MaxWait
	// ServiceTime is the mean service time assumed before any was measured.
	ServiceTime time.Duration // 50 ms
	// Linger is how long a slot stays taken after its request ended without the
	// target saying so: the target may still run it.
	Linger time.Duration // 500 ms
	// OrphanLinger is Linger for the grants of a holder that died.
	OrphanLinger time.Duration // 5 s
	// ReportFor is how long a reported load beyond the pool's own counts.
	ReportFor time.Duration // 2 s
	// RegrowAfter is the first wait before a lowered limit grows by one. It
	// doubles each time the target sheds again, up to RegrowMax.
	RegrowAfter time.Duration // 2 s
	RegrowMax   time.Duration // 60 s
	// ShedPause is the first pause of a target that sheds its only request. It
	// doubles each time, up to ShedPauseMax.
	ShedPause    time.Duration // 100 ms
	ShedPauseMax time.Duration // 5 s
	// RetryAfterMax bounds the time to come back that a refusal gives.
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

	// minRetryAfter keeps a refused caller from coming back at once.
	minRetryAfter = 20 * time.Millisecond
	// noQueuePerSlot is how Config says that nothing may wait.
	noQueuePerSlot = 0
)

func (c Config) withDefaults() Config {
	if c.QueuePerSlot == 0 {
		c.QueuePerSlot = defaultQueuePerSlot
	}
	if c.QueuePerSlot < 0 {
		c.QueuePerSlot = noQueuePerSlot
	}
	if c.ForeignMaxWait == 0 {
		c.ForeignMaxWait = c.MaxWait
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
