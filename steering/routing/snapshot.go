package routing

import (
	"net/netip"
	"time"

	"heatherlock/steering"
)

// Criticality is the priority of a service when not all requests can be admitted; lower values are
// served first.
type Criticality uint8

// Criticality classes.
const (
	Critical Criticality = iota
	Normal
	Sheddable
)

// Service is a service as declared by operators.
type Service struct {
	Name          steering.Service
	Version       int64
	Hosts         []string
	Criticality   Criticality
	Timeout       time.Duration // default timeout of a request
	MaxBodyBytes  int64
	NonIdempotent []string // HTTP methods that must be executed at most once
	RetryPercent  int      // retries allowed, in percent of first attempts
	HedgeAfter    time.Duration
}

// Target is an endpoint as declared by operators.
type Target struct {
	Name           steering.Target
	Service        steering.Service
	Place          steering.Place
	Address        string // host:port
	Slots          int    // maximum number of concurrent requests
	MaxConnections int
}

// Place is a site as declared by operators: a set of targets in one availability zone.
type Place struct {
	Name         steering.Place
	Version      int64
	Region       steering.Region
	Zone         steering.Zone
	LinkInFlight int // limit on in-flight requests from other zones; 0 means no limit
	Targets      []Target
}

// Shift moves a share of a service's callers from one set of places to another.
type Shift struct {
	Name    string
	Version int64
	Service steering.Service // empty means every service
	Route   Route
	From    []steering.Place // resolved from the name of a place, zone or region
	To      []steering.Place
	Percent int // final share of callers to move, 0 to 100
	Step    int // percentage points per step
	Every   time.Duration
	Moved   int // share moved now in percent, from the shift's ShiftProgress
}

// Route names the source and the destination of a shift as declared: each is the name of a place,
// zone or region.
type Route struct {
	From string `json:"from"`
	To   string `json:"to"`
}

// Cap limits the requests that a shift adds to its destination places: at most Requests are
// admitted in any window of length Window, summed over all entry VMs.
type Cap struct {
	Name     string
	Version  int64
	Shift    string
	Requests int
	Window   time.Duration
}

// StopKind is the kind of object that a planned stop takes out of service.
type StopKind string

// Kinds of planned stop.
const (
	StopTarget  StopKind = "target"
	StopEntryVM StopKind = "entryVM"
	StopZone    StopKind = "zone"
	StopPlace   StopKind = "place"
)

// Stop is a planned stop of a target, entry VM, zone or place.
type Stop struct {
	Name    string
	Version int64
	Kind    StopKind
	Subject string    // name of the target, entry VM, zone or place
	At      time.Time // start time; zero means immediately
	// Deadline is the time by which the stop should be complete; zero means no deadline. A missed
	// deadline is reported; requests still in flight are aborted only if AbortAtDeadline is set.
	Deadline        time.Time
	AbortAtDeadline bool
}

// Block maps a client address block to its home place.
type Block struct {
	Prefix netip.Prefix
	Place  steering.Place
}

// BlockTable finds the home place of a client address by longest-prefix match. It is immutable once
// published.
type BlockTable interface {
	// Lookup returns the home place of addr.
	Lookup(addr netip.Addr) (steering.Place, bool)
	// Len returns the number of blocks.
	Len() int
}

// Snapshot is a complete configuration.
type Snapshot struct {
	Version  int64
	Services map[steering.Service]*Service
	ByHost   map[string]*Service
	Places   map[steering.Place]*Place
	Targets  map[steering.Target]*Target
	Shifts   map[string]*Shift
	Caps     map[string]*Cap
	Stops    map[string]*Stop
	Seats    map[string]*CapSeats      // by name of the cap
	Progress map[string]*ShiftProgress // by name of the shift
	Blocks   BlockTable                // never nil
}
