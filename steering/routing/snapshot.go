package routing

import (
	"net/netip"
	"time"

	"heatherlock/steering"
)

// Criticality orders services when not all work fits; lower is served first.
type Criticality uint8

// Criticality classes.
const (
	Critical Criticality = iota
	Normal
	Sheddable
)

// Service is a declared service.
type Service struct {
	Name          steering.Service
	Version       int64
	Hosts         []string
	Criticality   Criticality
	Timeout       time.Duration // default deadline of a request
	MaxBodyBytes  int64
	NonIdempotent []string // HTTP methods that must run at most once
	RetryPercent  int      // retries allowed as a share of first tries
	HedgeAfter    time.Duration
}

// Target is a declared endpoint.
type Target struct {
	Name           steering.Target
	Service        steering.Service
	Place          steering.Place
	Address        string // host:port
	Slots          int    // requests it can run at once
	MaxConnections int
}

// Place is a declared site.
type Place struct {
	Name         steering.Place
	Version      int64
	Region       steering.Region
	Zone         steering.Zone
	LinkInFlight int // bound on requests from other zones; 0 means none set
	Targets      []Target
}

// Shift moves a share of a service's callers from one set of places to another.
type Shift struct {
	Name    string
	Version int64
	Service steering.Service // empty means every service
	Route   Route
	From    []steering.Place // resolved from a place, zone or region
	To      []steering.Place
	Percent int // where the shift is to end, 0..100
	Step    int // percent per step
	Every   time.Duration
	Moved   int // percent in force now, from the shift's progress object
}

// Route names where a shift moves work from and to, as declared: each a place,
// zone or region.
type Route struct {
	From string `json:"from"`
	To   string `json:"to"`
}

// Cap bounds the work that a shift brings into its receiving places: at most
// Requests admitted in any window of length Window, over all entry VMs.
type Cap struct {
	Name     string
	Version  int64
	Shift    string
	Requests int
	Window   time.Duration
}

// StopKind says what a planned stop covers.
type StopKind string

// Kinds of planned stop.
const (
	StopTarget  StopKind = "target"
	StopEntryVM StopKind = "entryVM"
	StopZone    StopKind = "zone"
	StopPlace   StopKind = "place"
)

// Stop is a planned stop.
type Stop struct {
	Name    string
	Version int64
	Kind    StopKind
	Subject string    // name of the target, entry VM, zone or place
	At      time.Time // zero means at once
	// Deadline is when the operator wants it over; zero means none. Passing it
	// is reported; work is cut only if Cut is set.
	Deadline time.Time
	Cut      bool
}

// Block maps a client block to its home place.
type Block struct {
	Prefix netip.Prefix
	Place  steering.Place
}

// BlockTable answers longest-prefix matches; it is immutable once published.
type BlockTable interface {
	// Lookup returns the home place of addr.
	Lookup(addr netip.Addr) (steering.Place, bool)
	// Len returns the number of blocks.
	Len() int
}

// Snapshot is one whole configuration.
type Snapshot struct {
	Version  int64
	Services map[steering.Service]*Service
	ByHost   map[string]*Service
	Places   map[steering.Place]*Place
	Targets  map[steering.Target]*Target
	Shifts   map[string]*Shift
	Caps     map[string]*Cap
	Stops    map[string]*Stop
	Seats    map[string]*CapSeats      // by cap
	Progress map[string]*ShiftProgress // by shift
	Blocks   BlockTable                // never nil
}
