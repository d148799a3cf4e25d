package objects

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"
)

// Defaults of a Budget. An entry VM that reads the platform for its zone makes about two calls per
// second; the rest is headroom for operators and for startup.
const (
	DefaultReadsPerSecond  = 20
	DefaultWritesPerSecond = 10
	// DefaultBurst is large enough for an operator to apply a file of objects at once.
	DefaultBurst = 40
	// DefaultBackoffMin and DefaultBackoffMax bound the backoff delay after a failed call.
	DefaultBackoffMin = 200 * time.Millisecond
	DefaultBackoffMax = 10 * time.Second
	// maxQueueDelay is the longest time that a call waits for its rate limit. A call that would
	// have to wait longer is refused at once.
	maxQueueDelay = time.Second
)

// BudgetConfig holds the limits of a Budget. Limits that are zero take the defaults, and a nil
// Scope counts nothing.
type BudgetConfig struct {
	ReadsPerSecond  float64
	WritesPerSecond float64
	Burst           int
	BackoffMin      time.Duration
	BackoffMax      time.Duration
	// Random returns a number in [0,1) for jitter; nil means math/rand/v2.
	Random func() float64
	Scope  tally.Scope
}

// Budget is an API that limits the calls that one entry VM makes to the platform. It is safe for
// concurrent use.
//
// It limits the rates of reads and writes, and it protects a failing platform: clients that retry
// at once keep the platform from recovering, and when it does recover, all their calls arrive
// together, which shows as a peak in the platform's calls at the end of an outage. After a failed
// call, Budget therefore refuses calls locally, as Unavailable with a RetryAfter, for a delay that
// doubles with each failure and is jittered per entry VM. Then it lets a single call through as a
// probe.
type Budget struct {
	api     API
	reads   *rate.Limiter
	writes  *rate.Limiter
	backoff *Backoff
	metrics callMetrics

	mu sync.Mutex
	// nextAttempt is the time from which the next call may be sent while failing is set.
	nextAttempt time.Time
	failing     bool
}

var _ API = (*Budget)(nil)

// NewBudget returns a Budget that sends its calls to api.
func NewBudget(api API, c BudgetConfig) *Budget {
	c = c.withDefaults()
	return &Budget{
		api:     api,
		reads:   rate.NewLimiter(rate.Limit(c.ReadsPerSecond), c.Burst),
		writes:  rate.NewLimiter(rate.Limit(c.WritesPerSecond), c.Burst),
		backoff: NewBackoff(c.BackoffMin, c.BackoffMax, c.Random),
		metrics: newCallMetrics(c.Scope),
	}
}

func (c BudgetConfig) withDefaults() BudgetConfig {
	if c.ReadsPerSecond <= 0 {
		c.ReadsPerSecond = DefaultReadsPerSecond
	}
	if c.WritesPerSecond <= 0 {
		c.WritesPerSecond = DefaultWritesPerSecond
	}
	if c.Burst <= 0 {
		c.Burst = DefaultBurst
	}
	if c.BackoffMin <= 0 {
		c.BackoffMin = DefaultBackoffMin
	}
	if c.BackoffMax < c.BackoffMin {
		c.BackoffMax = max(DefaultBackoffMax, c.BackoffMin)
	}
	return c
}

// Failing reports whether the last call that was sent to the platform failed: it was unavailable,
// it throttled the call, or the outcome is unknown.
func (b *Budget) Failing() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failing
}

// Get implements API.
func (b *Budget) Get(ctx context.Context, kind, name string) (o Object, err error) {
	err = b.do(ctx, OpGet, kind+"/"+name, func() error { o, err = b.api.Get(ctx, kind, name); return err })
	return o, err
}

// List implements API.
func (b *Budget) List(ctx context.Context, kinds ...string) (objects []Object, revision int64, err error) {
	err = b.do(ctx, OpList, "", func() error { objects, revision, err = b.api.List(ctx, kinds...); return err })
	return objects, revision, err
}

// Create implements API.
func (b *Budget) Create(ctx context.Context, kind, name string, value json.RawMessage) (o Object, err error) {
	err = b.do(ctx, OpCreate, kind+"/"+name, func() error { o, err = b.api.Create(ctx, kind, name, value); return err })
	return o, err
}

// Update implements API.
func (b *Budget) Update(ctx context.Context, kind, name string, version int64, value json.RawMessage) (o Object, err error) {
	err = b.do(ctx, OpUpdate, kind+"/"+name, func() error { o, err = b.api.Update(ctx, kind, name, version, value); return err })
	return o, err
}

// Delete implements API.
func (b *Budget) Delete(ctx context.Context, kind, name string, version int64) (revision int64, err error) {
	err = b.do(ctx, OpDelete, kind+"/"+name, func() error { revision, err = b.api.Delete(ctx, kind, name, version); return err })
	return revision, err
}

// Watch implements API.
func (b *Budget) Watch(ctx context.Context, since int64, wait time.Duration, kinds ...string) (events []Event, revision int64, err error) {
	err = b.do(ctx, OpWatch, "", func() error { events, revision, err = b.api.Watch(ctx, since, wait, kinds...); return err })
	return events, revision, err
}

// VMs implements API.
func (b *Budget) VMs(ctx context.Context) (vms []VM, err error) {
	err = b.do(ctx, OpVMs, "", func() error { vms, err = b.api.VMs(ctx); return err })
	return vms, err
}

func (b *Budget) do(ctx context.Context, op, object string, f func() error) error {
	if wait := b.admitAttempt(time.Now()); wait > 0 {
		return b.refuse(op, object, Unavailable, wait, errors.New("pausing after failed calls"))
	}
	if err := b.waitForRate(ctx, op, object); err != nil {
		return err
	}
	err := f()
	b.recordOutcome(ctx, err)
	return err
}

func (b *Budget) refuse(op, object string, kind ErrorKind, wait time.Duration, cause error) error {
	b.metrics.recordRefused(op, kind)
	return &Error{Kind: kind, Op: op, Object: object, RetryAfter: wait, Err: cause}
}

// admitAttempt returns how long calls are still refused, or 0 if a call may be sent now. While the
// platform fails, each call that may be sent moves nextAttempt forward by the current delay, so
// that only one call at a time probes the platform.
func (b *Budget) admitAttempt(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.failing {
		return 0
	}
	if wait := b.nextAttempt.Sub(now); wait > 0 {
		return wait
	}
	b.nextAttempt = now.Add(b.backoff.Current())
	return 0
}

// waitForRate delays the call until its rate limit allows it. It refuses the call if the delay
// exceeds maxQueueDelay or the context's deadline.
func (b *Budget) waitForRate(ctx context.Context, op, object string) error {
	limiter := b.reads
	if IsWrite(op) {
		limiter = b.writes
	}
	reservation := limiter.Reserve()
	delay := reservation.Delay()
	if delay == 0 {
		return nil
	}
	if deadline, ok := ctx.Deadline(); delay > maxQueueDelay || (ok && time.Until(deadline) < delay) {
		reservation.Cancel()
		return b.refuse(op, object, Throttled, delay, errors.New("over this entry VM's own budget"))
	}
	select {
	case <-time.After(delay):
		return nil
	case <-ctx.Done():
		reservation.Cancel()
		return b.refuse(op, object, Unavailable, delay, ctx.Err())
	}
}

// recordOutcome starts or extends the backoff after a failed call and ends it after a successful
// one. A call that its own caller cancelled gives no evidence about the platform and is ignored.
func (b *Budget) recordOutcome(ctx context.Context, err error) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	kind := KindOf(err)
	failed := kind == Unavailable || kind == Throttled || kind == Unknown
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failing = failed
	if !failed {
		b.backoff.Reset()
		return
	}
	pause := b.backoff.Next()
	var e *Error
	if errors.As(err, &e) && e.RetryAfter > pause {
		pause = e.RetryAfter
	}
	b.nextAttempt = time.Now().Add(pause)
}

// Backoff computes retry delays that double with each failure. Each delay is jittered to between
// half and all of its nominal length. It is not safe for concurrent use.
type Backoff struct {
	min, max time.Duration
	random   func() float64
	failures int
}

// maxDoublings keeps the left shift in Backoff.Current from overflowing.
const maxDoublings = 20

// NewBackoff returns a Backoff whose nominal delays start at min and grow up to max. The function
// random returns a number in [0,1); nil means math/rand/v2.
func NewBackoff(min, max time.Duration, random func() float64) *Backoff {
	if random == nil {
		random = rand.Float64
	}
	return &Backoff{min: min, max: max, random: random}
}

// Next records a failure and returns the delay that follows it.
func (b *Backoff) Next() time.Duration {
	b.failures++
	return b.Current()
}

// Current returns a newly jittered delay for the failures recorded since the last Reset.
func (b *Backoff) Current() time.Duration {
	doublings := min(max(b.failures-1, 0), maxDoublings)
	full := min(b.min<<doublings, b.max)
	return full/2 + time.Duration(b.random()*float64(full/2))
}

// Reset records a success, so that the next delay starts at the minimum again.
func (b *Backoff) Reset() { b.failures = 0 }
