package routes

import (
	"sort"
	"strings"
	"time"

	"heatherlock/steering"
	"heatherlock/steering/identity"
)

// Kind says what may be repeated.
type Kind uint8

// Kinds of request.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// Once requests run at most once for each id.
	Once
	// Upload requests are Once with large bodies.
	Upload
)

// String names the kind in logs and metrics.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Once:
		return "once"
	case Upload:
		return "upload"
	}
	return "unknown"
}

// Repeatable reports whether a request may be sent again without a proof that
// it has not run.
func (k Kind) Repeatable() bool { return k == Idempotent }

// Part is a service and its share of a route's requests.
type Part struct {
	Service steering.Service
	Weight  float64
}

// Route is where requests of one host and path prefix may go.
type Route struct {
	Name   string
	Host   string // lower case, without a port
	Prefix string // begins and ends with a slash
	Kind   Kind
	// Timeout is the longest that a caller is kept waiting; 0 means no bound.
	Timeout time.Duration
	// Aim is the time within which an answer is worth its full value.
	Aim time.Duration
	// Rank orders kinds of request of one service; 0 is served first.
	Rank        int
	Parts       []Part
	MaxAttempts int
	// KeyAffinity marks routes on which a target that handled a key recently is
	// faster.
	KeyAffinity bool
	// Homes are the regions it may run in; none means all.
	Homes []steering.Region
	// Public routes take requests without an API key.
	Public bool

	splitter *Splitter
}

// MayRunIn reports whether the route's requests may run in region.
func (r *Route) MayRunIn(region steering.Region) bool {
	if len(r.Homes) == 0 {
		return true
	}
	for _, home := range r.Homes {
		if home == region {
			return true
		}
	}
	return false
}

// NeedsKey reports whether a request on the route has to name its workspace by an API
// key.
func (t *Table) NeedsKey(r *Route) bool { return t.Workspaces != nil && !r.Public }

// Service returns the service of the next request.
func (r *Route) Service() steering.Service { return r.splitter.Next() }

// Service holds what the operator says of a service.
type Service struct {
	Name       steering.Service
	HealthPath string
	// MaxConnections bounds the connections to one target, over all entry VMs.
	MaxConnections int
	// ColdFor is how long a target stays cold after its start.
	ColdFor time.Duration
	// ColdRate is the requests per second that a cold target bears.
	ColdRate float64
}

// Limits bounds what a caller may send and how long it may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one whole configuration.
type Table struct {
	Version  uint64
	Routes   []*Route
	Services map[steering.Service]*Service
	Limits   Limits
	// Workspaces is nil where requests need no API key.
	Workspaces *identity.Directory

	byHost map[string][]*Route // longest prefix first
}

// NewTable returns the table of routes, services and workspaces.
func NewTable(version uint64, all []*Route, services []*Service, limits Limits, workspaces ...*identity.Workspace) *Table {
	t := &Table{Version: version, Routes: all, Limits: limits, Workspaces: identity.NewDirectory(workspaces),
		Services: make(map[steering.Service]*Service, len(services)), byHost: make(map[string][]*Route)}
	for _, s := range services {
		t.Services[s.Name] = s
	}
	for _, r := range all {
		if r.splitter == nil { // a route carried over from the table before goes on dividing
			r.splitter = NewSplitter(r.Parts)
		}
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, list := range t.byHost {
		sort.Slice(list, func(i, j int) bool { return list[i].before(list[j]) })
	}
	return t
}

// before orders routes of a host: longer prefixes first, and else the same on all entry
// VMs, in whatever order they got the routes.
func (r *Route) before(o *Route) bool {
	if len(r.Prefix) != len(o.Prefix) {
		return len(r.Prefix) > len(o.Prefix)
	}
	if r.Prefix != o.Prefix {
		return r.Prefix < o.Prefix
	}
	return r.Name < o.Name
}

// Match returns the route of a request, or false if there is none.
func (t *Table) Match(host, target string) (*Route, bool) {
	path := pathOf(target)
	for _, r := range t.byHost[hostOf(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Newer reports whether t is to replace old, which may be nil.
func (t *Table) Newer(old *Table) bool { return old == nil || t.Version > old.Version }

// hostOf strips a port and folds case, as in a Host field.
func hostOf(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

// pathOf returns the path of a request target in origin or absolute form.
func pathOf(target string) string {
	if query := strings.IndexByte(target, '?'); query >= 0 {
		target = target[:query]
	}
	scheme := strings.Index(target, "://")
	if scheme < 0 || strings.HasPrefix(target, "/") {
		return target
	}
	rest := target[scheme+len("://"):]
	if slash := strings.IndexByte(rest, '/'); slash >= 0 {
		return rest[slash:]
	}
	return "/"
}
