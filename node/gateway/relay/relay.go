package relay

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"heatherlock/node/gateway/callers"
	"heatherlock/node/gateway/planted"
	"heatherlock/node/gateway/upstream"
	"heatherlock/node/gateway/volume"
	"heatherlock/node/lock"
	"heatherlock/platform"
	"heatherlock/steering"
	"heatherlock/steering/identity"
	"heatherlock/steering/placement"
	"heatherlock/steering/presence"
	"heatherlock/steering/queueowner"
	"heatherlock/steering/reach"
	"heatherlock/steering/retry"
	"heatherlock/steering/routes"
	"heatherlock/steering/storepos"
)

// Time limits and retry limits of one exchange.
const (
	// timeoutGrace is how long past its route's timeout a request may still receive the response of
	// a target that is processing it.
	timeoutGrace = 150 * time.Millisecond
	// replyMargin is the time reserved for sending the response to the caller.
	replyMargin = 10 * time.Millisecond
	// defaultDeadline applies to a request for which neither the caller nor the route sets a limit.
	defaultDeadline = 30 * time.Second
	// dialTimeout bounds a connection attempt: twice the longest round trip between regions. A
	// target that disappeared without a reset costs this time once.
	dialTimeout = 200 * time.Millisecond
	// hedgeFactor and hedgeExtra set when an idempotent request is hedged: after hedgeFactor times
	// its expected latency, and at least hedgeExtra after the expected latency. Hedging earlier
	// would spend the retry budget on ordinary queueing delays.
	hedgeFactor = 2.5
	hedgeExtra  = 150 * time.Millisecond
	// unresponsiveFactor is how many times the expected latency must pass without a response before
	// the target of an abandoned request counts as unresponsive.
	unresponsiveFactor = 2.5
	// maxExtraAttempts is how many attempts may fail to reach a target in addition to the attempts
	// that the route allows.
	maxExtraAttempts = 2
)

// Config holds the dependencies and settings of a Relay.
type Config struct {
	Region   steering.Region
	Zone     steering.Zone
	Pool     *upstream.Pool
	Balancer *placement.Balancer
	Retry    *retry.SharedBudget
	Log      log.Logger
	Metrics  *Metrics
	// StoreAge returns the age of the last store read, on which placement is based. It may be nil,
	// which counts as 0.
	StoreAge func() time.Duration
	// TargetHeartbeatInterval is the interval at which targets write heartbeats to the store.
	TargetHeartbeatInterval time.Duration
	// MemberCount returns the number of entry VMs among which the connections to a target are
	// divided.
	MemberCount func() int
	// Behind reports whether a newer configuration than the one in force is known to exist. It may
	// be nil.
	Behind func() bool
	// ConfigOutdated reports whether the configuration in force must no longer be used. It may be
	// nil.
	ConfigOutdated func() bool
	// ConfigKnowledge returns what this VM knows of the configuration, for log lines. It may be nil.
	ConfigKnowledge func() ConfigKnowledge
	// Meter counts the bytes exchanged with targets. It may be nil.
	Meter *volume.Meter
	// Allowances limits the requests of workspaces; nil means no limits.
	Allowances Allowances
	// Shares divides services that are short between workspaces; nil means that none is.
	Shares *Shares
	// VM is the name of this entry VM, and Incarnation that of its process.
	VM          steering.VM
	Incarnation presence.Incarnation
	// Peers holds the connections to entry VMs that pass on requests while this VM is cut off from all
	// targets; nil means that none do.
	Peers *upstream.Pool
	// PeerMeter wraps a connection to another entry VM so that its bytes are counted. It may be nil.
	PeerMeter func(net.Conn, steering.VM) net.Conn
	// OnLinksChange is called when this VM is cut off from all targets, and when it reaches them again. It
	// may be nil.
	OnLinksChange func()
	// TargetLimits lends credits for targets that name a limit; nil means that such targets get no
	// requests.
	TargetLimits TargetLimits
	// MemoryBytes is the memory of this VM's process, which bounds the requests that wait in it; 0 means that
	// it is not known.
	MemoryBytes int64
}

// ConfigKnowledge is what an entry VM knows of the configuration.
type ConfigKnowledge struct {
	// Newest is the newest version known to exist.
	Newest uint64
	// ReadUntil is the position of the store up to which this VM knows all configurations.
	ReadUntil storepos.Position
	// InForceSince is when this VM put the configuration in force.
	InForceSince time.Time
}

// TargetLimits enforces the limits that targets name, across all entry VMs.
type TargetLimits interface {
	// AdmitToTarget decides whether a request may be sent to a target that names a limit. If it may
	// not, retryAfter is when this VM should ask again. newest is the limit that any VM heard last.
	AdmitToTarget(ctx context.Context, t placement.Target, said placement.NamedLimit) (newest placement.NamedLimit, retryAfter time.Duration, ok bool)
	// ReturnTargetCredit gives back the credit of an admitted request that was not sent.
	ReturnTargetCredit(t placement.Target)
	// LimitHeard records a limit that a target named to this VM, or the end of one, and returns the limit
	// that holds by what any VM heard.
	LimitHeard(t placement.Target, said placement.NamedLimit) (newest placement.NamedLimit)
}

// closedTargets is a TargetLimits that lends no credits.
type closedTargets struct{}

func (closedTargets) AdmitToTarget(_ context.Context, _ placement.Target, said placement.NamedLimit) (placement.NamedLimit, time.Duration, bool) {
	return said, time.Second, !said.InForce
}
func (closedTargets) ReturnTargetCredit(placement.Target) {}
func (closedTargets) LimitHeard(_ placement.Target, said placement.NamedLimit) placement.NamedLimit {
	return said
}

// Allowances enforces the request allowances of workspaces across all entry VMs.
type Allowances interface {
	// Admit decides whether a request may run. If it may not, retryAfter is when the caller should
	// retry. jitter is a number from 0 to 1 derived from the request; it spreads retries over time.
	Admit(ctx context.Context, w *identity.Workspace, jitter float64) (retryAfter time.Duration, ok bool)
	// ReturnCredit gives back the credit of an admitted request that was refused for the given
	// reason without running.
	ReturnCredit(w *identity.Workspace, reason steering.Reason)
	// RecordExtraRun counts an additional run of an admitted request, such as a retry.
	RecordExtraRun(w *identity.Workspace)
}

// unlimited is an Allowances without limits.
type unlimited struct{}

func (unlimited) Admit(context.Context, *identity.Workspace, float64) (time.Duration, bool) {
	return 0, true
}
func (unlimited) ReturnCredit(*identity.Workspace, steering.Reason) {}
func (unlimited) RecordExtraRun(*identity.Workspace)                {}

// Relay handles callers' requests. It is safe for concurrent use.
type Relay struct {
	cfg   Config
	table atomic.Pointer[routes.Table]
	ready atomic.Bool // whether targets are known
	// started is closed once a configuration and targets are known.
	started   chan struct{}
	startOnce sync.Once
	// replaced is notified when another configuration is in force.
	replaced broadcast

	mu           lock.Mutex // guards Balancer, Retry and the fields up to checks
	poisonFilter *poisonFilter
	links        reach.Links
	linkLog      linkLog
	helpers      *reach.Helpers     // nil until SetHelpers is called
	owners       *queueowner.Owners // nil if this VM sends its callers' requests itself
	passedOn     passedOnTable
	waitingVMs   waitingVMs
	coldChecks   coldChecks
	checks       uint64 // of the links, which vary the sample of targets
	// storeReadAt is as of when the store is known; nil until SetStoreAge is called.
	storeReadAt atomic.Pointer[time.Time]
	// shownConfig is the newest version by which another VM has handled a request for this one.
	shownConfig atomic.Uint64
	closed      chan struct{}
	closeOnce   sync.Once

	outcomeCounts *outcomeCounts
	holds         *holds
	stop          stopState
}

var _ callers.Handler = (*Relay)(nil)

// New returns a relay that has no configuration yet.
func New(cfg Config) *Relay {
	if cfg.Allowances == nil {
		cfg.Allowances = unlimited{}
	}
	if cfg.TargetLimits == nil {
		cfg.TargetLimits = closedTargets{}
	}
	return &Relay{cfg: cfg, passedOn: make(passedOnTable), coldChecks: make(coldChecks), waitingVMs: make(waitingVMs), poisonFilter: newPoisonFilter(cfg.TargetHeartbeatInterval, cfg.Log), outcomeCounts: newOutcomeCounts(), holds: newHolds(cfg.MemoryBytes), stop: stopState{over: make(chan struct{})}, started: make(chan struct{}), closed: make(chan struct{})}
}

// Waiting returns the number of requests that wait in this VM until their target has room.
func (f *Relay) Waiting() int { return int(f.holds.count.Load()) }

// Close ends the attempts to reach targets again.
func (f *Relay) Close() { f.closeOnce.Do(func() { close(f.closed) }) }

// SetTable puts a configuration in force if it is newer than the current one, and reports whether
// it did.
func (f *Relay) SetTable(t *routes.Table) bool {
	for {
		old := f.table.Load()
		if !t.Newer(old) || planted.Defect == planted.StaleConfig && old != nil {
			return false
		}
		if f.table.CompareAndSwap(old, t) {
			f.replaced.notify()
			f.signalStart()
			return true
		}
	}
}

// Table returns the configuration in force, or nil if there is none.
func (f *Relay) Table() *routes.Table { return f.table.Load() }

// Limits returns the limits of the configuration in force, or zero limits without one.
func (f *Relay) Limits() routes.Limits {
	if t := f.table.Load(); t != nil {
		return t.Limits
	}
	return routes.Limits{}
}

// WithBalancer runs update while it holds the lock that placement needs, so that no request is
// placed meanwhile.
func (f *Relay) WithBalancer(update func(*placement.Balancer, *retry.SharedBudget)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	update(f.cfg.Balancer, f.cfg.Retry)
}

// SetTargets replaces the set of targets on which requests may be placed.
func (f *Relay) SetTargets(targets []placement.Target) {
	f.UpdateTargets(true, targets, nil)
}

// UpdateTargets updates the changed targets and removes others, or with complete set replaces the
// set of targets by the changed ones.
func (f *Relay) UpdateTargets(complete bool, changed []placement.Target, removed []steering.Target) {
	defer f.holds.roomAnywhere() // without f.mu
	f.mu.Lock()
	defer f.mu.Unlock()
	update := f.cfg.Balancer.UpdateTargets
	if complete {
		update = func(all []placement.Target, _ []steering.Target) []steering.Target {
			return f.cfg.Balancer.SetTargets(all)
		}
	}
	now := time.Now()
	for _, name := range update(changed, removed) {
		f.poisonFilter.restarted(now, name)
	}
}

// SetTargetsKnown records that the targets are known.
func (f *Relay) SetTargetsKnown() {
	f.ready.Store(true)
	f.signalStart()
}

// signalStart releases the requests that wait in awaitStart once both a configuration and targets
// are known.
func (f *Relay) signalStart() {
	if f.Ready() {
		f.startOnce.Do(func() { close(f.started) })
	}
}

// awaitStart waits until a configuration and targets are known, and reports whether they are. It
// waits no longer than the Retry-After of a refusal, and at most half of the caller's deadline.
//
// A VM that starts knows both within half a second. A caller that is refused in the meantime spends
// one of its few attempts and is late when it retries; after the loss of all VMs this affects every
// caller.
func (f *Relay) awaitStart(ctx context.Context, call platform.RequestInfo) bool {
	if f.Ready() {
		return true
	}
	longest := notReadyRetryAfter
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

// Ready reports whether a configuration and targets are known, so that requests can be placed.
func (f *Relay) Ready() bool { return f.ready.Load() && f.table.Load() != nil }

// notReadyRetryAfter is the Retry-After of an entry VM that is still starting, or that waits for a
// newer configuration.
const notReadyRetryAfter = 300 * time.Millisecond

// Serve implements callers.Handler.
func (f *Relay) Serve(ctx context.Context, r *callers.Request) *callers.Response {
	call := platform.ReadRequest(r.Header)
	if !f.awaitStart(ctx, call) {
		f.recordRefused(nil, call, steering.ReasonNotReady)
		return f.refuse(requestInfo{id: call.ID}, steering.ReasonNotReady, notReadyRetryAfter, nil)
	}
	e, reason := f.resolve(ctx, r, call)
	retryAfter := time.Duration(0)
	switch reason {
	case "":
		ok := false
		if retryAfter, ok = f.cfg.Allowances.Admit(ctx, e.workspace, jitterOf(call.ID)); ok {
			return newExchange(f, e, r, call, nil).run(ctx)
		}
		reason = steering.ReasonOverAllowance
	case steering.ReasonConfigBehind:
		retryAfter = notReadyRetryAfter
	}
	if reason == steering.ReasonNoService {
		return f.refuse(e.requestInfo(call), reason, retryAfter, f.unmatched(r))
	}
	f.recordRefused(e.route, call, reason)
	return f.refuse(e.requestInfo(call), reason, retryAfter, nil)
}

// configBehind reports whether a newer configuration is known to exist. A route that is missing
// here may be in that one, and a caller does not retry after a 404.
func (f *Relay) configBehind() bool {
	return f.cfg.Behind != nil && f.cfg.Behind() || f.shownConfig.Load() > f.table.Load().Version
}

func (f *Relay) configOutdated() bool { return f.cfg.ConfigOutdated != nil && f.cfg.ConfigOutdated() }

// rejectionReasons holds the reasons of rejections by status. All others are malformed requests.
var rejectionReasons = map[int]steering.Reason{
	http.StatusRequestTimeout:              steering.ReasonSlowSender,
	http.StatusRequestEntityTooLarge:       steering.ReasonBodyTooLarge,
	http.StatusRequestHeaderFieldsTooLarge: steering.ReasonHeaderTooLarge,
	http.StatusServiceUnavailable:          steering.ReasonMemoryFull,
}

// Reject implements callers.Handler.
func (f *Relay) Reject(r callers.Rejection) *callers.Response {
	reason, known := rejectionReasons[r.Status]
	if !known {
		reason = steering.ReasonBadRequest
	}
	retryAfter := time.Duration(0)
	if reason == steering.ReasonMemoryFull {
		retryAfter = memoryRetryAfter
	}
	f.cfg.Metrics.Refused(reason)
	f.logRequest("refused", requestInfo{table: f.table.Load(), id: platform.ReadRequest(r.Header).ID}, reason,
		append(addressed(r.Host, r.Path), "status", r.Status, "detail", r.Detail))
	return localResponse(r.Status, reason, r.Detail, retryAfter)
}

// maxLoggedPath bounds the part of a request's path in one log line, in bytes.
const maxLoggedPath = 100

// addressed returns the log fields by which a request was matched, or was not.
func addressed(host, path string) []any {
	return []any{"host", host[:min(len(host), maxLoggedPath)], "path", path[:min(len(path), maxLoggedPath)]}
}

// unmatched returns the log fields of a request for which no route was found: what it asked for, and what this
// VM knows of the configuration.
func (f *Relay) unmatched(r *callers.Request) []any {
	line := addressed(r.Host, r.Path)
	if f.cfg.ConfigKnowledge == nil {
		return line
	}
	k := f.cfg.ConfigKnowledge()
	return append(line, "newest", k.Newest, "config_read_until", k.ReadUntil, "in_force_ms", time.Since(k.InForceSince).Milliseconds())
}

// memoryRetryAfter is the Retry-After of a VM that may hold no more bytes. A connection may be cut
// once it has made no progress for that long.
const memoryRetryAfter = time.Second

// requestInfo identifies a request in log lines. table is the configuration that was in force when
// the request arrived and that decided it, not the one in force when it ended.
type requestInfo struct {
	table     *routes.Table
	id        string
	route     string
	workspace steering.Workspace
}

// refuse returns the response to a request that has not run.
func (f *Relay) refuse(s requestInfo, reason steering.Reason, retryAfter time.Duration, detail []any) *callers.Response {
	f.cfg.Metrics.Refused(reason)
	f.logRequest("refused", s, reason, detail)
	status := steering.Reasons[reason].Status
	if reason == steering.ReasonPoison {
		// Not 422: the request may be a harmless one that resembles the poison request, and 503
		// says truthfully that it has not run.
		status = http.StatusServiceUnavailable
	}
	return localResponse(status, reason, steering.Reasons[reason].Meaning, retryAfter)
}

// logRequest logs the outcome of one request, with detail appended.
func (f *Relay) logRequest(outcome string, s requestInfo, reason steering.Reason, detail []any) {
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
	_ = f.cfg.Log.Log(append(line, detail...)...) // the log writer counts dropped lines
}

func (f *Relay) storeAge() time.Duration {
	if f.cfg.StoreAge == nil {
		return 0
	}
	return f.cfg.StoreAge()
}

const headerReason = "Heatherlock-Reason"

func localResponse(status int, reason steering.Reason, detail string, retryAfter time.Duration) *callers.Response {
	h := http.Header{"Content-Type": {"text/plain; charset=utf-8"}, headerReason: {string(reason)}}
	if retryAfter > 0 {
		h["Retry-After"] = []string{formatSeconds(retryAfter)}
	}
	return &callers.Response{Status: status, Header: h, Body: []byte(detail + "\n")}
}
