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

// Defaults of a budget. A zone reader makes about two calls a second; the
// rest is room for operators and for starting up.
const (
	DefaultReadsPerSecond  = 20
	DefaultWritesPerSecond = 10
	// DefaultBurst lets an operator apply a file of objects at once.
	DefaultBurst = 40
	// DefaultBackoffMin and DefaultBackoffMax bound the pause after a failure.
	DefaultBackoffMin = 200 * time.Millisecond
	DefaultBackoffMax = 10 * time.Second
	// maxQueueDelay is the longest that the budget holds a call back before it
	// refuses it.
	maxQueueDelay = time.Second
)

// BudgetConfig holds the bounds of a Budget; zero fields take the defaults.
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

// Budget bounds what one entry VM asks of the platform.
//
// What can go wrong: when the platform fails, every caller that repeats at
// once keeps it from coming back, and when it does come back they all arrive
// together. One would notice by a peak in the platform's calls at the end of
// an outage. Budget prevents it: after a failure it refuses calls locally, as
// Unavailable with the time to come back, for a pause that doubles per failure
// and is jittered per entry VM, then lets one call through to try.
type Budget struct {
	api     API
	reads   *rate.Limiter
	writes  *rate.Limiter
	backoff *Backoff
	metrics callMetrics

	mu sync.Mutex
	// until is when the next call may go out while the platform fails.
	until   time.Time
	failing bool
}

var _ API = (*Budget)(nil)

// NewBudget wraps api.
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

// Failing tells whether the platform did not answer the last call that went
// out to it.
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
	if wait := b.admit(time.Now()); wait > 0 {
		return b.refuse(op, object, Unavailable, wait, errors.New("pausing after failed calls"))
	}
	if err := b.queue(ctx, op, object); err != nil {
		return err
	}
	err := f()
	b.learn(ctx, err)
	return err
}

func (b *Budget) refuse(op, object string, kind ErrorKind, wait time.Duration, cause error) error {
	b.metrics.refused(op, kind)
	return &Error{Kind: kind, Op: op, Object: object, RetryAfter: wait, Err: cause}
}

// admit returns how long to stay away, or 0 when a call may go out. While the
// platform fails, the call that may go out moves the time for the next, so
// that one call at a time tries.
func (b *Budget) admit(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.failing {
		return 0
	}
	if wait := b.until.Sub(now); wait > 0 {
		return wait
	}
	b.until = now.Add(b.backoff.Current())
	return 0
}

// queue holds the call back until its rate allows it.
func (b *Budget) queue(ctx context.Context, op, object string) error {
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

// learn opens or closes the pause by how a call ended. A call that its own
// caller cancelled says nothing about the platform.
func (b *Budget) learn(ctx context.Context, err error) {
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
	b.until = time.Now().Add(pause)
}

// Backoff gives pauses that double per failure, each jittered to between half
// and the whole of its length. It is not safe for concurrent use.
type Backoff struct {
	min, max time.Duration
	random   func() float64
	failures int
}

// maxDoublings keeps the shift below from overflowing.
const maxDoublings = 20

// NewBackoff returns pauses between min and max; a nil random means math/rand/v2.
func NewBackoff(min, max time.Duration, random func() float64) *Backoff {
	if random == nil {
		random = rand.Float64
	}
	return &Backoff{min: min, max: max, random: random}
}

// Next records a failure and returns the pause after it.
func (b *Backoff) Next() time.Duration {
	b.failures++
	return b.Current()
}

// Current returns a pause for the failures so far.
func (b *Backoff) Current() time.Duration {
	doublings := min(max(b.failures-1, 0), maxDoublings)
	whole := min(b.min<<doublings, b.max)
	return whole/2 + time.Duration(b.random()*float64(whole/2))
}

// Reset records a success.
func (b *Backoff) Reset() { b.failures = 0 }
