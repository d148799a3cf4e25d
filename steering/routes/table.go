package routes

import (
	"sort"
	"strings"
	"time"

	"heatherlock/steering"
	"heatherlock/steering/identity"
)

// Kind tells whether a request may be executed more than once.
type Kind uint8

// Kinds of request.
const (
	// Idempotent requests may be executed more than once.
	Idempotent Kind = iota
	// AtMostOnce requests are executed at most once for each request ID.
	AtMostOnce
	// Upload requests are AtMostOnce requests with large bodies.
	Upload
)

// String returns the name of the kind in logs and metrics.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case AtMostOnce:
		return "once"
	case Upload:
		return "upload"
	}
	return "unknown"
}

// Retryable reports whether a request may be sent again without proof that it has not been
// executed.
func (k Kind) Retryable() bool { return k == Idempotent }

// WeightedService is a service with its weight in a traffic split.
type WeightedService struct {
	Service steering.Service
	Weight  float64
}

// Route defines how requests for one host and path prefix are handled.
type Route struct {
	Name   string
	Host   string // lowercase, without a port
	Prefix string // begins and ends with a slash
	Kind   Kind
	// Timeout is the maximum time that a caller waits; 0 means no limit.
	Timeout time.Duration
	// Aim is the latency target: a response within this time has its full value to the caller.
	Aim time.Duration
	// Rank is the priority of the route's requests among those of the same service; 0 is served
	// first.
	Rank        int
	Parts       []WeightedService
	MaxAttempts int
	// KeyAffinity is set if a target that recently handled requests with the same affinity key
	// responds faster.
	KeyAffinity bool
	// Homes lists the regions in which requests may be executed; empty means all.
	Homes []steering.Region
	// Public routes accept requests without an API key.
	Public bool

	splitter *Splitter
}

// MayRunIn reports whether requests of the route may be executed in a region.
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

// NeedsKey reports whether a request on the route must identify its workspace by an API key.
func (t *Table) NeedsKey(r *Route) bool { return t.Workspaces != nil && !r.Public }

// Service returns the service for the next request according to the traffic split.
func (r *Route) Service() steering.Service { return r.splitter.Next() }

// Service holds the operator's settings for a service.
type Service struct {
	Name       steering.Service
	HealthPath string
	// MaxConnections limits the connections to one target, summed over all entry VMs.
	MaxConnections int
	// ColdFor is how long a target is considered cold after its start.
	ColdFor time.Duration
	// ColdRate is the number of requests per second that a cold target can handle.
	ColdRate float64
}

// Limits restricts the size of requests and the time that a connection may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is a complete, immutable configuration.
type Table struct {
	Version  uint64
	Routes   []*Route
	Services map[steering.Service]*Service
	Limits   Limits
	// Workspaces is nil if requests need no API key.
	Workspaces *identity.Directory

	byHost map[string][]*Route // sorted by before: longest prefix first
}

// NewTable returns a table of the routes, services and workspaces. Routes that are reused from an
// earlier table keep their splitter and thereby the state of their traffic split.
func NewTable(version uint64, all []*Route, services []*Service, limits Limits, workspaces ...*identity.Workspace) *Table {
	t := &Table{Version: version, Routes: all, Limits: limits, Workspaces: identity.NewDirectory(workspaces),
		Services: make(map[steering.Service]*Service, len(services)), byHost: make(map[string][]*Route)}
	for _, s := range services {
		t.Services[s.Name] = s
	}
	for _, r := range all {
		if r.splitter == nil { // a route of an earlier table keeps its splitter
			r.splitter = NewSplitter(r.Parts)
		}
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, list := range t.byHost {
		sort.Slice(list, func(i, j int) bool { return list[i].before(list[j]) })
	}
	return t
}

// before defines the order in which the routes of a host are matched: longer prefixes first. The
// order is total, so that all entry VMs match alike, in whatever order they received the routes.
func (r *Route) before(o *Route) bool {
	if len(r.Prefix) != len(o.Prefix) {
		return len(r.Prefix) > len(o.Prefix)
	}
	if r.Prefix != o.Prefix {
		return r.Prefix < o.Prefix
	}
	return r.Name < o.Name
}

// Match returns the route for a Host field and a request target, or false if no route matches.
func (t *Table) Match(host, target string) (*Route, bool) {
	path := pathOf(target)
	for _, r := range t.byHost[hostOf(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Newer reports whether t should replace old, which may be nil.
func (t *Table) Newer(old *Table) bool { return old == nil || t.Version > old.Version }

// hostOf returns the lowercase host of a Host field without its port.
func hostOf(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

// pathOf returns the path of a request target in origin form or absolute form.
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
