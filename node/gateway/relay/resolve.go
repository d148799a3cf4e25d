package relay

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"heatherlock/node/gateway/callers"
	"heatherlock/node/lock"
	"heatherlock/platform"
	"heatherlock/steering"
	"heatherlock/steering/identity"
	"heatherlock/steering/routes"
)

// maxKeyWait bounds how long a request with an unknown API key waits for a newer configuration. If
// the caller set a deadline, the wait also ends after the deadline divided by keyWaitDivisor.
const (
	maxKeyWait     = 500 * time.Millisecond
	keyWaitDivisor = 3
)

// routeMatch holds the route and the workspace of a request, and the configuration they are from.
// The same configuration applies to the request from start to end.
type routeMatch struct {
	table     *routes.Table
	route     *routes.Route
	workspace *identity.Workspace // nil if the route needs no API key
}

func (e routeMatch) requestInfo(call platform.RequestInfo) requestInfo {
	s := requestInfo{table: e.table, id: call.ID}
	if e.route != nil {
		s.route = e.route.Name
	}
	if e.workspace != nil {
		s.workspace = e.workspace.Name
	}
	return s
}

// resolve finds the route and the workspace of a request, or the reason to refuse it.
//
// An API key that this VM does not know may be part of a newer configuration that this VM has not
// received yet. A caller does not retry after a 401, so the request waits for that configuration.
func (f *Relay) resolve(ctx context.Context, r *callers.Request, call platform.RequestInfo) (routeMatch, steering.Reason) {
	for limit := f.keyWaitDeadline(r, call); ; {
		replaced := f.replaced.changed()
		e, reason := f.match(r, call)
		if reason != steering.ReasonAPIKeyUnknown || !f.configBehind() {
			return e, reason
		}
		if !waitUntil(ctx, limit, replaced) {
			return e, steering.ReasonConfigBehind
		}
	}
}

// match finds the route and the workspace of a request in the configuration in force. The limits are checked once more,
// since another configuration may have been in force when the request was read, or none yet.
func (f *Relay) match(r *callers.Request, call platform.RequestInfo) (routeMatch, steering.Reason) {
	e := routeMatch{table: f.table.Load()}
	var found bool
	e.route, found = e.table.Match(r.Host, r.Path)
	switch {
	case found && (f.configOutdated() || f.shownConfig.Load() > e.table.Version && !f.CutOff()), !found && f.configBehind():
		return e, steering.ReasonConfigBehind
	case r.HeadLength > e.table.Limits.HeaderBytes && e.table.Limits.HeaderBytes > 0:
		return e, steering.ReasonHeaderTooLarge
	case r.Length > e.table.Limits.BodyBytes && e.table.Limits.BodyBytes > 0:
		return e, steering.ReasonBodyTooLarge
	case !found:
		return e, steering.ReasonNoService
	}
	if !e.table.NeedsKey(e.route) {
		return e, ""
	}
	problem := call.APIKey.Problem
	if problem == identity.None {
		e.workspace, problem = e.table.Workspaces.Find(call.APIKey.Digest)
	}
	switch {
	case problem != identity.None:
		return e, problem.Reason()
	case !e.hasAllowedRegion():
		return e, steering.ReasonNoCommonHomeRegion
	}
	return e, ""
}

// mayRunIn reports whether both the route's and the workspace's home regions allow the request to
// run in region.
func (e routeMatch) mayRunIn(region steering.Region) bool {
	return e.route.MayRunIn(region) && e.workspace.MayRunIn(region)
}

// hasAllowedRegion reports whether the home regions of the route and the workspace have a region in
// common, so that the request may run somewhere.
func (e routeMatch) hasAllowedRegion() bool {
	if len(e.route.Homes) == 0 {
		return true
	}
	for _, home := range e.route.Homes {
		if e.workspace.MayRunIn(home) {
			return true
		}
	}
	return false
}

// singleHome returns the only region in which the home regions allow the request to run, or "" if
// there are several or no restriction applies.
func (e routeMatch) singleHome() steering.Region {
	homes := e.route.Homes
	if e.workspace != nil && len(homes) == 0 {
		homes = e.workspace.Homes
	}
	only := steering.Region("")
	for _, home := range homes {
		switch {
		case !e.mayRunIn(home):
		case only != "":
			return ""
		default:
			only = home
		}
	}
	return only
}

// keyWaitDeadline returns until when a request with an unknown API key waits for a newer
// configuration.
func (f *Relay) keyWaitDeadline(r *callers.Request, call platform.RequestInfo) time.Time {
	longest := maxKeyWait
	if call.Deadline > 0 {
		longest = min(longest, call.Deadline/keyWaitDivisor)
	}
	return r.Received.Add(longest)
}

// waitUntil waits for a channel to close, and reports whether it closed before limit and before the
// end of ctx.
func waitUntil(ctx context.Context, limit time.Time, closed <-chan struct{}) bool {
	timer := time.NewTimer(time.Until(limit))
	defer timer.Stop()
	select {
	case <-closed:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// jitterOf returns a number from 0 to 1 that depends on the request ID alone.
func jitterOf(id string) float64 {
	return float64(xxhash.Sum64String(id)>>11) / (1 << 53)
}

// broadcast wakes all goroutines that wait for a change. The zero value is ready to use.
type broadcast struct {
	mu lock.Mutex
	ch chan struct{}
}

// changed returns a channel that is closed at the next change.
func (s *broadcast) changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ch == nil {
		s.ch = make(chan struct{})
	}
	return s.ch
}

// notify signals a change to all current waiters.
func (s *broadcast) notify() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ch != nil {
		close(s.ch)
		s.ch = nil
	}
}
