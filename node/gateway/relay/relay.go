package relay

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"heatherlock/node/gateway/callers"
	"heatherlock/node/gateway/planted"
	"heatherlock/node/gateway/upstream"
	"heatherlock/node/gateway/volume"
	"heatherlock/platform"
	"heatherlock/steering"
	"heatherlock/steering/identity"
	"heatherlock/steering/placement"
	"heatherlock/steering/retry"
	"heatherlock/steering/routes"
)

// Bounds of one exchange.
const (
	// lateGrace is how long past its route's timeout a request may still get the
	// answer of a target that is at work on it.
	lateGrace = 150 * time.Millisecond
	// replyTime is kept back for the way to the caller.
	replyTime = 10 * time.Millisecond
	// noDeadline bounds a request whose caller and route state none.
	noDeadline = 30 * time.Second
	// dialTimeout bounds a connection attempt: the longest way between regions
	// and back, twice. A target that is gone without a reset costs this once.
	dialTimeout = 200 * time.Millisecond
	// hedgeFactor and hedgeExtra say when a repeatable request is sent to a
	// second target: after so many times its expected time, and at least so much
	// beyond it. Sooner, ordinary queues would spend the budget for tries.
	hedgeFactor = 2.5
	hedgeExtra  = 150 * time.Millisecond
	// silentFactor is how many expected times without an answer make a target
	// suspect when the request is given up.
	silentFactor = 2.5
	// furtherTries bounds the tries that reached no target, beside the attempts
	// that the route allows.
	furtherTries = 2
)

// Config holds what a Relay needs.
type Config struct {
	Region   steering.Region
	Zone     steering.Zone
	Pool     *upstream.Pool
	Balancer *placement.Balancer
	Retry    *retry.SharedBudget
	Log      log.Logger
	Events   *Events
	// StoreAge returns how old the read of the store is on which placement rests.
	StoreAge func() time.Duration
	// TargetBeat is how often targets write to the store.
	TargetBeat time.Duration
	// Members returns the number of entry VMs that share the connections to a
	// target.
	Members func() int
	// Behind reports whether a newer configuration than that in force is known to exist;
	// it may be nil.
	Behind func() bool
	// Outdated reports whether the configuration in force is not to be acted on any more;
	// it may be nil.
	Outdated func() bool
	// Meter counts the bytes exchanged with targets; it may be nil.
	Meter *volume.Meter
	// Allowances bounds the requests of workspaces; nil bounds none.
	Allowances Allowances
}

// Allowances holds workspaces to their allowances of requests, over all entry VMs.
type Allowances interface {
	// Admit decides whether a request may run. If not, retryAfter is when to come back;
	// spread is a number from 0 to 1 of the request.
	Admit(ctx context.Context, w *identity.Workspace, spread float64) (retryAfter time.Duration, ok bool)
	// Return gives back what an admitted request has used that is refused, for a reason,
	// without having run.
	Return(w *identity.Workspace, reason steering.Reason)
	// Ran counts one more run of an admitted request.
	Ran(w *identity.Workspace)
}

// unlimited are the allowances of a relay without any.
type unlimited struct{}

func (unlimited) Admit(context.Context, *identity.Workspace, float64) (time.Duration, bool) {
	return 0, true
}
func (unlimited) Return(*identity.Workspace, steering.Reason) {}
func (unlimited) Ran(*identity.Workspace)                     {}

// Relay answers callers' requests. It is safe for concurrent use.
type Relay struct {
	cfg   Config
	table atomic.Pointer[routes.Table]
	ready atomic.Bool // targets are known
	// started closes once a configuration and targets are known.
	started  chan struct{}
	starting sync.Once
	// replaced tells that another configuration is in force.
	replaced signal

	mu       sync.Mutex // guards Balancer, Retry and suspects
	suspects *suspects

	sums *sums
}

var _ callers.Handler = (*Relay)(nil)

// New returns a relay without a configuration.
func New(cfg Config) *Relay {
	if cfg.Allowances == nil {
		cfg.Allowances = unlimited{}
	}
	return &Relay{cfg: cfg, suspects: newSuspects(cfg.TargetBeat, cfg.Log), sums: newSums(), started: make(chan struct{})}
}

// SetTable puts a configuration in force if it is newer, and reports whether it
// was.
func (f *Relay) SetTable(t *routes.Table) bool {
	for {
		old := f.table.Load()
		if !t.Newer(old) || planted.Defect == planted.StaleConfig && old != nil {
			return false
		}
		if f.table.CompareAndSwap(old, t) {
			f.replaced.send()
			f.noteStart()
			return true
		}
	}
}

// Table returns the configuration in force, or nil.
func (f *Relay) Table() *routes.Table { return f.table.Load() }

// Limits returns the limits in force.
func (f *Relay) Limits() routes.Limits {
	if t := f.table.Load(); t != nil {
		return t.Limits
	}
	return routes.Limits{}
}

// WithBalancer runs update while no request is being placed.
func (f *Relay) WithBalancer(update func(*placement.Balancer, *retry.SharedBudget)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	update(f.cfg.Balancer, f.cfg.Retry)
}

// SetTargets replaces the targets that requests may be placed on.
func (f *Relay) SetTargets(targets []placement.Target) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for _, name := range f.cfg.Balancer.SetTargets(targets) {
		f.suspects.restarted(now, name)
	}
}

// SetReady tells that the targets are known.
func (f *Relay) SetReady() {
	f.ready.Store(true)
	f.noteStart()
}

// noteStart lets requests in that wait for the start, once it is over.
func (f *Relay) noteStart() {
	if f.Ready() {
		f.starting.Do(func() { close(f.started) })
	}
}

// awaitStart waits for a configuration and targets, no longer than a caller would be told
// to wait by a refusal, and reports whether they are known.
//
// A VM that starts knows both within half a second. A caller that is refused meanwhile
// spends one of its few tries and comes back late, after the loss of all VMs every caller.
func (f *Relay) awaitStart(ctx context.Context, call platform.Call) bool {
	if f.Ready() {
		return true
	}
	longest := notReadyRetry
	if call.Deadline > 0 {
		longest = min(longest, call.Deadline/2)
	}
	timer := time.NewTimer(longest)
	defer timer.Stop()
	select {
	case <-f.started:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// Ready reports whether requests can be placed.
func (f *Relay) Ready() bool { return f.ready.Load() && f.table.Load() != nil }

// notReadyRetry is when to come back to an entry VM that is still starting, or that waits
// for a newer configuration.
const notReadyRetry = 300 * time.Millisecond

// Serve implements callers.Handler.
func (f *Relay) Serve(ctx context.Context, r *callers.Request) *callers.Response {
	call := platform.ReadCall(r.Header)
	if !f.awaitStart(ctx, call) {
		f.countRefused(nil, call, steering.ReasonNotReady)
		return f.refuse(subject{id: call.ID}, steering.ReasonNotReady, notReadyRetry, nil)
	}
	e, reason := f.enter(ctx, r, call)
	retryAfter := time.Duration(0)
	switch reason {
	case "":
		ok := false
		if retryAfter, ok = f.cfg.Allowances.Admit(ctx, e.workspace, spreadOf(call.ID)); ok {
			return newExchange(f, e, r, call).run(ctx)
		}
		reason = steering.ReasonOverAllowance
	case steering.ReasonConfigBehind:
		retryAfter = notReadyRetry
	}
	if reason != steering.ReasonNoService {
		f.countRefused(e.route, call, reason)
	}
	return f.refuse(e.subject(call), reason, retryAfter, nil)
}

// behind reports whether a route that is not in the table may be in a newer one. Nobody
// asks again after a 404.
func (f *Relay) behind() bool { return f.cfg.Behind != nil && f.cfg.Behind() }

func (f *Relay) outdated() bool { return f.cfg.Outdated != nil && f.cfg.Outdated() }

// Problem implements callers.Handler.
func (f *Relay) Problem(status int, detail string) *callers.Response {
	f.cfg.Events.Refused(steering.ReasonBadRequest)
	return ownResponse(status, steering.ReasonBadRequest, detail, 0)
}

// subject is the request that a line of the log is about, with the configuration that it
// was decided by: that in force when it came, not when it ended.
type subject struct {
	table     *routes.Table
	id        string
	route     string
	workspace steering.Workspace
}

// refuse answers a request that has not run.
func (f *Relay) refuse(s subject, reason steering.Reason, retryAfter time.Duration, detail []any) *callers.Response {
	f.cfg.Events.Refused(reason)
	f.logEnd("refused", s, reason, detail)
	status := steering.Reasons[reason].Status
	if reason == steering.ReasonPoison {
		// Not 422: the request may be an innocent one like the culprit, and 503
		// says truly that it has not run.
		status = http.StatusServiceUnavailable
	}
	return ownResponse(status, reason, steering.Reasons[reason].Meaning, retryAfter)
}

// logEnd writes the line of a request that was not served.
func (f *Relay) logEnd(outcome string, s subject, reason steering.Reason, detail []any) {
	line := []any{"msg", outcome, "request", s.id, "route", s.route}
	if s.workspace != "" {
		line = append(line, "workspace", s.workspace)
	}
	if reason != "" {
		line = append(line, "reason", reason)
	}
	if s.table != nil {
		line = append(line, "config", s.table.Version)
	}
	_ = f.cfg.Log.Log(append(line, detail...)...) // the writer counts what it drops
}

func (f *Relay) storeAge() time.Duration {
	if f.cfg.StoreAge == nil {
		return 0
	}
	return f.cfg.StoreAge()
}

const headerReason = "Heatherlock-Reason"

func ownResponse(status int, reason steering.Reason, detail string, retryAfter time.Duration) *callers.Response {
	h := http.Header{"Content-Type": {"text/plain; charset=utf-8"}, headerReason: {string(reason)}}
	if retryAfter > 0 {
		h["Retry-After"] = []string{formatSeconds(retryAfter)}
	}
	return &callers.Response{Status: status, Header: h, Body: []byte(detail + "\n")}
}
