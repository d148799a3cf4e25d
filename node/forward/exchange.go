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

// origin is where a request came from.
type origin uint8

const (
	originCaller    origin = iota
	originSpillover        // spilled over by an entry VM of another zone
	originPeer             // forwarded to the owner of its key, or by an entry VM that is leaving
)

// exchange is the processing of one request by this entry VM.
type exchange struct {
	f        *Forwarder
	w        http.ResponseWriter
	r        *http.Request
	origin   origin
	id       steering.RequestID
	callerID []string // X-Request-Id as sent by the caller
	started  time.Time
	deadline time.Time
	snapshot *routing.Snapshot
	service  *routing.Service
	counters *serviceCounters
	key      steering.Key
	keyOwner steering.Incarnation // the incarnation that issued the key
	home     steering.Place
	place    steering.Place // requested by the entry VM that handed the request over
	// atMostOnce is set if the service declares the method non-idempotent.
	atMostOnce  bool
	fingerprint uint64
	mark        poison.Fingerprints
	pool        retry.Pool // the pool that received the first try
	body        *body      // nil if the request has none

	ctx      context.Context
	cancel   context.CancelCauseFunc
	timer    *time.Timer
	recorder Recorder // nil unless this is the execution of a key

	claimed    bool // the key has been looked up in the outcome table of its owner
	waitLonger bool // no other zone accepted the request, so wait longer for a slot here

	tried        []steering.Target
	retried      bool // the one extra try (retry or hedge) was allowed
	retryGranted bool // a retry was allowed and has not been started yet
	life         request.Lifecycle
	headerSent   bool // the response header was sent to the caller
	callerWriter callerWriter
	callerGone   bool
	abort        bool // close the caller's connection without completing the response
}

var (
	errDeadline = errors.New("forward: the request's deadline passed")
	errEnded    = errors.New("forward: the exchange ended")
)

// start sets the deadline timer. The deadline limits the time until the response begins. A response
// that has begun is limited by its progress instead, because cutting it at the deadline would leave
// the caller with a partial response.
func (x *exchange) start(parent context.Context) {
	ctx, cancel := context.WithCancelCause(parent)
	x.ctx, x.cancel = ctx, cancel
	// The timer cancels its own context: if it has just fired, its function may run while
	// detachFromCaller installs the next context.
	x.timer = time.AfterFunc(time.Until(x.deadline), func() { cancel(errDeadline) })
}

// detachFromCaller lets the exchange continue if the caller disconnects, because the one execution
// of a key is more useful finished and stored than abandoned halfway.
func (x *exchange) detachFromCaller() {
	x.end()
	x.start(context.WithoutCancel(x.r.Context()))
}

func (x *exchange) end() {
	if x.timer != nil {
		x.timer.Stop()
		x.cancel(errEnded)
	}
}

// remaining returns the time left until the deadline, rounded down to whole milliseconds, so that
// it shrinks at every hop.
func (x *exchange) remaining() time.Duration {
	return time.Until(x.deadline).Truncate(time.Millisecond)
}

// remainingMs returns the remaining time as sent in headers. It is at least 1, since the recipient
// would read 0 as an expired deadline even if it receives the request in time.
func (x *exchange) remainingMs() string {
	return strconv.FormatInt(max(1, x.remaining().Milliseconds()), 10)
}
