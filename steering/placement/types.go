package placement

import (
	"time"

	"heatherlock/steering"
)

// Target is what is declared of a target.
type Target struct {
	Name steering.Target
	// Generation is the start of the target that this is about.
	Generation steering.Generation
	Service    steering.Service
	Address    string
	Zone       steering.Zone
	Region     steering.Region
	Slots      int
	// Closed targets get nothing new: they are leaving, or their zone is being
	// evacuated.
	Closed bool
	// ColdUntil is when the target stops being cold; zero if it is not.
	ColdUntil time.Time
	// ColdRate is the requests per second that it bears while cold.
	ColdRate float64
}

// Request is what placement knows of a request.
type Request struct {
	Service steering.Service
	// Key groups requests on the same object; empty means none.
	Key string
	// ID stands in for the key of a request without one.
	ID string
	// Region is where the entry VM runs.
	Region steering.Region
	// Allowed reports whether it may run in a region; nil allows all.
	Allowed func(steering.Region) bool
	// Aim is the time from now within which the answer has its full worth.
	Aim time.Duration
	// Left is the time from now at which it is given up.
	Left time.Duration
	// Rank orders kinds of one service; 0 is served first.
	Rank int
	// Repeatable requests may be used to try a ejected target.
	Repeatable bool
	// Tried are targets that refused it or failed it already.
	Tried []steering.Target
}

// Pick is a chosen target.
type Pick struct {
	Target Target
	// Expected is the predicted time to the answer.
	Expected time.Duration
	// Wait is the predicted wait within it.
	Wait time.Duration
	// Warm is the time of a warm run of the service; 0 while it is only guessed.
	Warm time.Duration
	// Rank is the target's rank in the key's order, 0 first.
	Rank int
	// Trial marks a request sent to a ejected target to learn how it fares.
	Trial bool
	// Away marks one that runs in another region.
	Away bool
}

// Refusal says why no target was chosen.
type Refusal struct {
	Reason steering.Reason
	// RetryAfter is when there is likely to be room.
	RetryAfter time.Duration
	// Wait is the shortest predicted wait.
	Wait time.Duration
	// Warm is the time of a warm run of the service; 0 while it is only guessed.
	Warm time.Duration
}

// Outcome is how an exchange with a target ended.
type Outcome uint8

// Outcomes.
const (
	// Served: it answered, whatever the answer says of the request.
	Served Outcome = iota
	// Failed: it answered with a failure of its own.
	Failed
	// Shed: it proved that it did not run the request.
	Shed
	// Unreachable: no connection could be made.
	Unreachable
	// Broken: the connection broke, or the answer was spoiled.
	Broken
	// Silent: no answer came in time.
	Silent
	// Abandoned: given up for reasons that are not the target's.
	Abandoned
	// Replaced: another target has the address now.
	Replaced
)

var outcomeNames = [...]string{"served", "failed", "shed", "unreachable", "broken", "silent", "abandoned", "replaced"}

// String names the outcome in logs.
func (o Outcome) String() string { return outcomeNames[o] }

// Report is what an ended exchange showed.
type Report struct {
	Outcome Outcome
	// Took is the time from sending to the answer.
	Took time.Duration
	// LoadKnown tells that the target reported its load, itself not counted.
	LoadKnown bool
	Running   int
	Waiting   int
}
