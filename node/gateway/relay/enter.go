package relay

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"heatherlock/node/gateway/callers"
	"heatherlock/platform"
	"heatherlock/steering"
	"heatherlock/steering/identity"
	"heatherlock/steering/routes"
)

// longestKeyWait bounds how long a request with an unknown API key waits for a newer
// configuration, beside a share of its own time.
const (
	longestKeyWait = 500 * time.Millisecond
	keyWaitShare   = 3
)

// entry is what a request is served by: one configuration from start to end.
type entry struct {
	table     *routes.Table
	route     *routes.Route
	workspace *identity.Workspace // nil where none is needed
}

func (e entry) subject(call platform.Call) subject {
	s := subject{table: e.table, id: call.ID}
	if e.route != nil {
		s.route = e.route.Name
	}
	if e.workspace != nil {
		s.workspace = e.workspace.Name
	}
	return s
}

// enter finds the route and the workspace of a request, or the reason to refuse it.
//
// A key that this VM does not know may be in a configuration that it has only heard of.
// Nobody asks again after a 401, so the request waits for that configuration.
func (f *Relay) enter(ctx context.Context, r *callers.Request, call platform.Call) (entry, steering.Reason) {
	for limit := f.keyWait(r, call); ; {
		replaced := f.replaced.next()
		e, reason := f.match(r, call)
		if reason != steering.ReasonAPIKeyUnknown || !f.behind() {
			return e, reason
		}
		if !waitUntil(ctx, limit, replaced) {
			return e, steering.ReasonConfigBehind
		}
	}
}

// match finds the route and the workspace of a request in the configuration in force.
func (f *Relay) match(r *callers.Request, call platform.Call) (entry, steering.Reason) {
	e := entry{table: f.table.Load()}
	var found bool
	e.route, found = e.table.Match(r.Host, r.Path)
	switch {
	case found && f.outdated(), !found && f.behind():
		return e, steering.ReasonConfigBehind
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
	case !e.hasHome():
		return e, steering.ReasonNoCommonHome
	}
	return e, ""
}

// mayRunIn reports whether the request may run in a region by the homes of both its route
// and its workspace.
func (e entry) mayRunIn(region steering.Region) bool {
	return e.route.MayRunIn(region) && e.workspace.MayRunIn(region)
}

// hasHome reports whether there is a region in which the request may run at all.
func (e entry) hasHome() bool {
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

// onlyHome returns the one region in which the request may run by its homes; empty if there
// are several.
func (e entry) onlyHome() steering.Region {
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

// keyWait returns until when a request with an unknown API key waits for a newer
// configuration.
func (f *Relay) keyWait(r *callers.Request, call platform.Call) time.Time {
	longest := longestKeyWait
	if call.Deadline > 0 {
		longest = min(longest, call.Deadline/keyWaitShare)
	}
	return r.Received.Add(longest)
}

// waitUntil waits for a channel to close, and reports whether it did before a time.
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

// spreadOf returns a number from 0 to 1 that differs from request to request.
func spreadOf(id string) float64 {
	return float64(xxhash.Sum64String(id)>>11) / (1 << 53)
}

// signal wakes all that wait for a change. The zero value is ready for use.
type signal struct {
	mu sync.Mutex
	ch chan struct{}
}

// next returns a channel that closes with the next change.
func (s *signal) next() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ch == nil {
		s.ch = make(chan struct{})
	}
	return s.ch
}

// send tells a change.
func (s *signal) send() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ch != nil {
		close(s.ch)
		s.ch = nil
	}
}
