package placement

import (
	"time"

	"heatherlock/steering"
)

// Target holds the declared properties of a target.
type Target struct {
	Name steering.Target
	// Generation identifies the start of the target process that this entry describes.
	Generation steering.Generation
	Service    steering.Service
	Address    string
	Zone       steering.Zone
	Region     steering.Region
	Slots      int
	// Closed targets get no new requests: they are leaving, their zone is being evacuated, or
	// another target has taken their address.
	Closed bool
	// ColdUntil is when the target is no longer cold; zero if it is not cold.
	ColdUntil time.Time
	// ColdRate is how many requests per second the target can take while it is cold.
	ColdRate float64
}

// Request holds the properties of a request that matter for its placement.
type Request struct {
	Service steering.Service
	// Key groups requests for the same object; empty if the request has none.
	Key string
	// ID replaces the key of a request that has none.
	ID string
	// Route is the name of the request's route, RouteAim the route's latency objective (0 means none) and
	// RouteRank the route's priority; Rank may be that of the caller's workspace instead.
	Route     string
	RouteAim  time.Duration
	RouteRank int
	// Workspace is set if the request belongs to a workspace.
	Workspace bool
	// Region is the region of the entry VM, and Zone its zone.
	Region steering.Region
	Zone   steering.Zone
	// Allowed reports whether the request may run in a region; nil allows all.
	Allowed func(steering.Region) bool
	// Aim is the time from now within which the answer has its full value to the caller: the rest
	// of the request's latency objective. Zero means no objective.
	Aim time.Duration
	// TimeLeft is the time from now until the request's deadline. Zero means no deadline.
	TimeLeft time.Duration
	// StopsIn is the time from now until the entry VM that took the request from its caller, or this one, stops.
	// Zero means that neither does. What is not likely to end by then is refused, as other VMs can take it.
	StopsIn time.Duration
	// Rank is the priority among the requests of a service; 0 is the highest.
	Rank int
	// Retryable marks an idempotent request, which may be used to probe an ejected target.
	Retryable bool
	// MaxQueue is the longest predicted wait at the target; 0 leaves it to the routes that share the service,
	// and is no bound if the service is not mixed.
	MaxQueue time.Duration
	// Tried holds the targets that have already refused or failed the request.
	Tried []steering.Target
}

// Pick is the target chosen for a request, with the predictions for it.
type Pick struct {
	Target Target
	// Expected is the predicted time until the answer.
	Expected time.Duration
	// Wait is the part of Expected that the request waits for a slot.
	Wait time.Duration
	// WarmRunTime is the service time for warm keys of the route, or of the service if that is not known;
	// 0 if none was observed yet.
	WarmRunTime time.Duration
	// HedgeAfter is when, from now, an idempotent request should be sent to a second target; 0 if the
	// predictions do not say.
	HedgeAfter time.Duration
	// Rank is the target's position in the key's order; 0 is the first.
	Rank int
	// Trial marks a probe: a request that is sent to an ejected target.
	Trial bool
	// Cold marks a request that is counted in what a cold target may get.
	Cold bool
	// OtherRegion marks a request that runs outside the entry VM's region.
	OtherRegion bool
	// Limit is the limit that the target names, or nil. With a limit, the request needs a credit for the
	// target before it may be sent.
	Limit *NamedLimit
}

// Refusal says why no target was chosen.
type Refusal struct {
	Reason steering.Reason
	// RetryAfter is when a slot is likely to be free.
	RetryAfter time.Duration
	// Wait is the shortest predicted wait for a slot.
	Wait time.Duration
	// TooSlow is set if the request must not be repeated and its run is predicted to end after its timeout.
	TooSlow bool
	// WarmRunTime is the service time for warm keys of the route, or of the service if that is not known;
	// 0 if none was observed yet.
	WarmRunTime time.Duration
	// Room is when the key's target is likely to take the request. It is set only if the service is mixed.
	Room Room
}

// Outcome is how an exchange with a target ended.
type Outcome uint8

// Outcomes of an exchange.
const (
	// Served: the target answered, whatever the answer says about the request.
	Served Outcome = iota
	// Failed: the target answered with an error of its own.
	Failed
	// Shed: the target refused the request and proved that it did not run it.
	Shed
	// Unreachable: no connection could be made.
	Unreachable
	// Broken: the connection broke, or the answer was invalid.
	Broken
	// Silent: no answer arrived before the timeout.
	Silent
	// Abandoned: the exchange was ended early for a reason unrelated to the target.
	Abandoned
	// Replaced: another target uses the address now.
	Replaced
)

var outcomeNames = [...]string{"served", "failed", "shed", "unreachable", "broken", "silent", "abandoned", "replaced"}

// String returns the name of the outcome in logs.
func (o Outcome) String() string { return outcomeNames[o] }

// Report is the result of a completed exchange.
type Report struct {
	Outcome Outcome
	// Latency is the time from sending the request to the answer.
	Latency time.Duration
	// LoadKnown reports whether the target reported its load: the requests that it runs and that
	// wait there, not counting this one.
	LoadKnown bool
	Running   int
	Waiting   int
	// Slowdown is how long work takes on the target's machine, as a multiple of the usual time; 0 if the
	// target does not report it.
	Slowdown float64
	// Route is the name of the request's route, and Key its affinity key.
	Route string
	Key   string
}
