package forward

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"heatherlock/steering"
	"heatherlock/steering/poison"
	"heatherlock/steering/request"
	"heatherlock/steering/retry"
	"heatherlock/steering/routing"
)

// origin says where a request came from.
type origin uint8

const (
	fromCaller origin = iota
	fromZone          // handed over by an entry VM of another zone
	fromHome          // handed to the home of its key, or by a leaving entry VM
)

// exchange is one request on its way through this entry VM.
type exchange struct {
	f        *Forwarder
	w        http.ResponseWriter
	r        *http.Request
	origin   origin
	id       steering.RequestID
	callerID []string // X-Request-Id as the caller gave it
	started  time.Time
	deadline time.Time
	snapshot *routing.Snapshot
	service  *routing.Service
	counters *serviceCounters
	key      steering.Key
	keyHome  steering.Incarnation // that issued the key
	home     steering.Place
	place    steering.Place // wanted by the entry VM that handed it over
	// atMostOnce marks a method that the service declares non-idempotent.
	atMostOnce  bool
	fingerprint uint64
	mark        poison.Mark
	pool        retry.Pool // that got the first try
	body        *body      // nil when there is none

	ctx      context.Context
	cancel   context.CancelCauseFunc
	timer    *time.Timer
	recorder Recorder // nil unless this is the execution of a key

	claimed bool // the key was looked up
	patient bool // no other zone took the request

	tried      []steering.Target
	retried    bool // the one retry was allowed
	retryAhead bool // and has not been made yet
	life       request.Life
	committed  bool // the answer's header went to the caller
	taker      taker
	callerGone bool
	abort      bool // break the caller's connection off
}

var (
	errDeadline = errors.New("forward: the request's deadline passed")
	errEnded    = errors.New("forward: the exchange ended")
)

// start arms the deadline. It bounds the time until the answer begins; an
// answer that has begun is bounded by its progress instead, because cutting it
// would leave the caller with part of an answer.
func (x *exchange) start(parent context.Context) {
	ctx, cancel := context.WithCancelCause(parent)
	x.ctx, x.cancel = ctx, cancel
	// A timer that has just fired may run while outlive puts the next context
	// in place; it must end its own.
	x.timer = time.AfterFunc(time.Until(x.deadline), func() { cancel(errDeadline) })
}

// outlive lets the exchange go on when the caller goes away: the one execution
// of a key is more useful finished and stored than abandoned half-way.
func (x *exchange) outlive() {
	x.end()
	x.start(context.WithoutCancel(x.r.Context()))
}

func (x *exchange) end() {
	if x.timer != nil {
		x.timer.Stop()
		x.cancel(errEnded)
	}
}

// remaining returns the time left until the deadline, in whole milliseconds
// rounded down, so that it shrinks at every hop.
func (x *exchange) remaining() time.Duration {
	return time.Until(x.deadline).Truncate(time.Millisecond)
}

// remainingMs returns remaining as it is sent; at least 1, since 0 would read
// as no time at all to a process that got the request in time.
func (x *exchange) remainingMs() string {
	return strconv.FormatInt(max(1, x.remaining().Milliseconds()), 10)
}
