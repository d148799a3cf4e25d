package relay

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"heatherlock/node/gateway/callers"
	"heatherlock/platform"
	"heatherlock/steering"
	"heatherlock/steering/presence"
	"heatherlock/steering/routes"
)

// Headers between entry VMs. They are read only on connections of the listener for entry VMs, and go no
// further.
const (
	hopHeaderPrefix    = "Heatherlock-Hop-"
	headerHopFrom      = hopHeaderPrefix + "From"
	headerHopTo        = hopHeaderPrefix + "To" // incarnation of the process that is meant; builds before send none
	headerHopRegion    = hopHeaderPrefix + "Region"
	headerHopConfig    = hopHeaderPrefix + "Config"
	headerHopAttempts  = hopHeaderPrefix + "Attempts"
	headerHopWorkspace = hopHeaderPrefix + "Workspace"
	headerHopVerdict   = hopHeaderPrefix + "Verdict"
	headerHopReached   = hopHeaderPrefix + "Reached"
	headerHopClosed    = hopHeaderPrefix + "Closed"
	headerHopLimits    = hopHeaderPrefix + "Limits"
	headerHopAnswerMs  = hopHeaderPrefix + "Answer-Ms" // until the VM that passes it on stops; none if it does not, and from builds before
	headerHopCause     = hopHeaderPrefix + "Cause"     // of what the caller loses, if it does; builds before send none
)

// hopVerdict is what the VM that passes a request on says of its response.
type hopVerdict string

const (
	// hopDelivered: the response is that of a target.
	hopDelivered hopVerdict = "delivered"
	// hopNotRun: the request has not run, and another VM could not run it either.
	hopNotRun hopVerdict = "not-run"
	// hopElsewhere: the request has not run for a reason that concerns this VM alone.
	hopElsewhere hopVerdict = "elsewhere"
	// hopUnknown: the request may have run.
	hopUnknown hopVerdict = "unknown"
)

// IsPeerResponse reports whether a response that names no request is that of another entry VM. Builds before name the
// request only in responses of targets; connections between VMs carry one request at a time, and nothing else.
func IsPeerResponse(h http.Header) bool { return h.Get(headerHopVerdict) != "" }

// hop is what another entry VM says of a request that it passes on.
type hop struct {
	from steering.VM
	// to is the process that the request is for; 0 if that VM knows only the name.
	to     presence.Incarnation
	region steering.Region
	// config is the oldest configuration by which the request may be handled.
	config    uint64
	attempts  int
	workspace steering.Workspace
	// answerAt is when the VM that took the request stops waiting for the response, because it stops; zero if it
	// does not stop.
	answerAt time.Time
	// told is what targets of the service have said to that VM.
	told toldNotices
}

// regionOr returns the region of the VM that took the request from its caller; a nil hop means this one.
func (h *hop) regionOr(own steering.Region) steering.Region {
	if h == nil {
		return own
	}
	return h.region
}

func (h *hop) set(to http.Header) {
	removeHopHeaders(to)
	to[headerHopFrom] = []string{string(h.from)}
	if h.to != 0 {
		to[headerHopTo] = []string{strconv.FormatUint(uint64(h.to), 10)}
	}
	to[headerHopRegion] = []string{string(h.region)}
	to[headerHopConfig] = []string{strconv.FormatUint(h.config, 10)}
	to[headerHopAttempts] = []string{strconv.Itoa(h.attempts)}
	if h.workspace != "" {
		to[headerHopWorkspace] = []string{string(h.workspace)}
	}
	if !h.answerAt.IsZero() {
		to[headerHopAnswerMs] = []string{strconv.FormatInt(max(time.Until(h.answerAt).Milliseconds(), 1), 10)}
	}
	h.told.set(to)
}

// readHop decodes the headers that set encodes; ok is false if they are missing or invalid.
func readHop(h http.Header) (read *hop, ok bool) {
	config, badConfig := strconv.ParseUint(h.Get(headerHopConfig), 10, 64)
	attempts, badAttempts := strconv.Atoi(h.Get(headerHopAttempts))
	to, _ := strconv.ParseUint(h.Get(headerHopTo), 10, 32) // 0 if there is none
	read = &hop{from: steering.VM(h.Get(headerHopFrom)), to: presence.Incarnation(to), region: steering.Region(h.Get(headerHopRegion)), config: config,
		attempts: attempts, workspace: steering.Workspace(h.Get(headerHopWorkspace)), told: readToldNotices(h)}
	if ms, err := strconv.ParseInt(h.Get(headerHopAnswerMs), 10, 32); err == nil && ms > 0 {
		read.answerAt = time.Now().Add(time.Duration(ms) * time.Millisecond)
	}
	return read, badConfig == nil && badAttempts == nil && attempts > 0 && read.from != "" && read.region != ""
}

// tellAttempt tells the VM that passed the request on how many attempts have been sent, before each after the first.
// Without it that VM would count one if this one is lost, and might exceed what the route allows.
func (x *exchange) tellAttempt() {
	if x.hop == nil || x.r.Interim == nil {
		return
	}
	if n := x.sending.count(); n > 1 {
		x.r.Interim(http.Header{headerHopReached: {strconv.Itoa(n)}})
	}
}

func removeHopHeaders(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, hopHeaderPrefix) {
			delete(h, name)
		}
	}
}

// answer marks a response to a request that another VM passed on.
func (h *hop) answer(r *callers.Response, verdict hopVerdict, t *routes.Table) *callers.Response {
	removeHopHeaders(r.Header)
	r.Header[headerHopVerdict] = []string{string(verdict)}
	if t != nil {
		r.Header[headerHopConfig] = []string{strconv.FormatUint(t.Version, 10)}
	}
	return r
}

// refuse returns the response to a request that another VM passed on and that has not run. reached is
// how many attempts reached a target.
func (h *hop) refuse(f *Relay, s requestInfo, reason steering.Reason, retryAfter time.Duration, reached int, detail []any) *callers.Response {
	verdict := hopNotRun
	switch reason {
	case steering.ReasonNotReady, steering.ReasonConfigBehind, steering.ReasonPeerUnreachable:
		verdict = hopElsewhere
	case steering.ReasonShuttingDown:
		if f.stop.answerAt.Load() != 0 { // and not just the VM that passed the request on
			verdict = hopElsewhere
		}
	case steering.ReasonNoTarget:
		if f.CutOff() {
			verdict = hopElsewhere
		}
	}
	f.cfg.Metrics.Helped(string(verdict))
	f.logRequest("refused", s, reason, detail)
	response := localResponse(steering.Reasons[reason].Status, reason, steering.Reasons[reason].Meaning, retryAfter)
	response.Header[headerHopReached] = []string{strconv.Itoa(reached)}
	return h.answer(response, verdict, s.table)
}

// PeerHandler returns the handler of requests that other entry VMs pass on.
func (f *Relay) PeerHandler() callers.Handler { return peerHandler{f} }

type peerHandler struct{ *Relay }

// Serve implements callers.Handler. The VM that took the request from its caller has checked the API key
// and the allowance of the workspace. Each response names the request, as those of targets do.
func (p peerHandler) Serve(ctx context.Context, r *callers.Request) *callers.Response {
	call := platform.ReadRequest(r.Header)
	response := p.serve(ctx, r, call)
	if response != nil {
		platform.SetRequestID(response.Header, call.ID)
	}
	return response
}

func (p peerHandler) serve(ctx context.Context, r *callers.Request, call platform.RequestInfo) *callers.Response {
	f := p.Relay
	passedOn, ok := readHop(r.Header)
	if !ok {
		return p.Reject(callers.Rejection{Status: http.StatusBadRequest, Detail: "the request was not passed on by an entry VM", Host: r.Host, Path: r.Path, Header: r.Header})
	}
	s := requestInfo{id: call.ID}
	f.countWaiting(passedOn.from)
	defer f.countAnswered(passedOn.from)
	if !f.Ready() || passedOn.to != 0 && passedOn.to != f.cfg.Incarnation {
		// One that is for an earlier process of this VM is given up once the new one is heard.
		return passedOn.refuse(f, s, steering.ReasonNotReady, notReadyRetryAfter, 0, nil)
	}
	e, reason := f.awaitPassedOn(ctx, r, call, passedOn)
	if reason != "" {
		detail := []any{"passed_on_by", passedOn.from}
		if reason == steering.ReasonNoService {
			detail = append(detail, f.unmatched(r)...)
		}
		return passedOn.refuse(f, e.requestInfo(call), reason, notReadyRetryAfter, 0, detail)
	}
	f.applyTold(passedOn.told)
	x := newExchange(f, e, r, call, passedOn)
	response := x.run(ctx)
	if response == nil {
		return nil
	}
	f.tellNotices(x.service, x.responder).set(response.Header)
	verdict := hopVerdict(response.Header.Get(headerHopVerdict))
	response.Header[headerHopCause] = []string{string(x.causeOfLoss(verdict, steering.Reason(response.Header.Get(headerReason))))}
	if response.Header.Get(headerHopVerdict) == string(hopDelivered) {
		f.cfg.Metrics.Helped(string(hopDelivered))
	}
	return response
}

func (f *Relay) countWaiting(vm steering.VM) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.waitingVMs.begin(vm)
}

func (f *Relay) countAnswered(vm steering.VM) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.waitingVMs.end(vm)
}

// awaitPassedOn is matchPassedOn, but waits a little for a configuration that the other VM has in force
// already. For the first moments after a change that may be every VM that helps it.
func (f *Relay) awaitPassedOn(ctx context.Context, r *callers.Request, call platform.RequestInfo, passedOn *hop) (routeMatch, steering.Reason) {
	for limit := f.keyWaitDeadline(r, call); ; {
		replaced := f.replaced.changed()
		e, reason := f.matchPassedOn(r, passedOn)
		if reason != steering.ReasonConfigBehind || !waitUntil(ctx, limit, replaced) {
			return e, reason
		}
	}
}

// matchPassedOn finds the route and the workspace of a request that another VM passed on.
func (f *Relay) matchPassedOn(r *callers.Request, passedOn *hop) (routeMatch, steering.Reason) {
	e := routeMatch{table: f.table.Load()}
	var found bool
	e.route, found = e.table.Match(r.Host, r.Path)
	e.workspace = e.table.Workspaces.ByName(passedOn.workspace)
	switch {
	case e.table.Version < passedOn.config, f.configOutdated(), !found && f.configBehind():
		return e, steering.ReasonConfigBehind
	case !found:
		return e, steering.ReasonNoService
	case passedOn.workspace != "" && e.workspace == nil, passedOn.workspace == "" && e.table.NeedsKey(e.route):
		return e, steering.ReasonConfigBehind // the VMs' configurations differ in this workspace
	case !e.hasAllowedRegion():
		return e, steering.ReasonNoCommonHomeRegion
	}
	return e, ""
}

// maxHopHeaderBytes bounds what one connection of another entry VM can make this one hold for a header. It is far above
// what a configuration allows callers.
const maxHopHeaderBytes = 1 << 20

// PeerLimits returns the limits of requests that other entry VMs pass on. The VM that took a request from its caller has
// judged it by the limits of the configuration, which may be newer than the one in force here, so only what protects this
// VM applies. Idle connections stay open longer than any VM keeps them.
func (f *Relay) PeerLimits() routes.Limits {
	return routes.Limits{HeaderBytes: maxHopHeaderBytes, HeaderTimeout: peerHeaderTimeout, IdleTimeout: peerIdleTimeout}
}

// peerHeaderTimeout is how long another entry VM may take to send a header, several round trips over the longest link.
const peerHeaderTimeout = 3 * time.Second

const peerIdleTimeout = 30 * time.Second
