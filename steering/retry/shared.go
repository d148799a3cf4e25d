package retry

import (
	"math"
	"time"

	"heatherlock/steering"
)

// SharedBudgetConfig bounds further tries of a service over all entry VMs: in any
// window, at most Ratio for each request plus Slack.
type SharedBudgetConfig struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

const (
	// ratioUse is the part of the ratio that is used. Requests are counted where
	// callers send them, and some of those never reach an entry VM.
	ratioUse = 0.8
	// slackUse is the part of the slack that is divided, so that the sum holds
	// while entry VMs differ for a while on how many there are.
	slackUse = 0.6
)

// SharedBudget is one entry VM's part of the bound.
//
// What goes wrong without it: when a service fails, each entry VM tries every
// request twice, and the doubled load keeps the service down. One would notice
// arrivals at targets above the requests of callers. The part that grows with
// requests needs no agreement, since each entry VM counts its own. The slack is
// divided by the number of entry VMs that are on record, dead ones included, so
// that a cut-off part of them never takes more than its share.
//
// It is not safe for concurrent use.
type SharedBudget struct {
	cfg     SharedBudgetConfig
	members int
	pools   map[steering.Service]*spending
}

// spending is a service's tries in slices of the window.
type spending struct {
	earned float64
	at     time.Time
}

// NewSharedBudget returns an budget for one entry VM alone.
func NewSharedBudget(cfg SharedBudgetConfig) *SharedBudget {
	return &SharedBudget{cfg: cfg, members: 1, pools: make(map[steering.Service]*spending)}
}

// Configure puts another bound in force.
func (a *SharedBudget) Configure(cfg SharedBudgetConfig) { a.cfg = cfg }

// SetMembers tells how many entry VMs divide the slack.
func (a *SharedBudget) SetMembers(n int) { a.members = max(n, 1) }

// cap is the most that is saved up.
func (a *SharedBudget) cap() float64 {
	return math.Max(1, math.Floor(a.cfg.Slack*slackUse/float64(a.members)))
}

func (a *SharedBudget) of(now time.Time, service steering.Service) *spending {
	s := a.pools[service]
	if s == nil {
		s = &spending{earned: a.cap(), at: now}
		a.pools[service] = s
	}
	// Unused slack comes back over a window, so that a window never holds more
	// than two times what is divided; half of it is what slackUse leaves out.
	s.earned = math.Min(a.cap(), s.earned+a.cap()*float64(now.Sub(s.at))/float64(2*a.cfg.Window))
	s.at = now
	return s
}

// First counts a request, which earns a part of a further try.
func (a *SharedBudget) First(now time.Time, service steering.Service) {
	s := a.of(now, service)
	s.earned = math.Min(a.cap(), s.earned+a.cfg.Ratio*ratioUse)
}

// Take spends a further try and reports whether there was one.
func (a *SharedBudget) Take(now time.Time, service steering.Service) bool {
	s := a.of(now, service)
	if s.earned < 1 {
		return false
	}
	s.earned--
	return true
}

// Return gives back a further try that was taken and not made.
func (a *SharedBudget) Return(now time.Time, service steering.Service) {
	s := a.of(now, service)
	s.earned = math.Min(a.cap(), s.earned+1)
}

// Left returns the further tries that could be made now, by service.
func (a *SharedBudget) Left(now time.Time) map[steering.Service]float64 {
	left := make(map[steering.Service]float64, len(a.pools))
	for service := range a.pools {
		left[service] = a.of(now, service).earned
	}
	return left
}
