package retry

import (
	"math"
	"time"

	"heatherlock/steering"
)

// SharedBudgetConfig bounds the extra tries for a service over all entry VMs: in any window, at
// most Ratio per request plus Slack.
type SharedBudgetConfig struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

const (
	// usedRatioShare is the fraction of Ratio that is granted. Ratio refers to the requests that
	// callers send, and some of these never reach an entry VM.
	usedRatioShare = 0.8
	// usedSlackShare is the fraction of Slack that is divided between the entry VMs. The rest
	// covers refills within a window, and periods in which entry VMs have different views of the
	// fleet size.
	usedSlackShare = 0.6
)

// SharedBudget is one entry VM's part of the budget for extra tries.
//
// Without it, every entry VM sends each request of a failing service twice, and the doubled load
// keeps the service down. It shows as more requests at the targets than callers send. The part of
// the budget that grows with requests needs no coordination, since each entry VM counts its own
// requests. The slack is divided by the number of known entry VMs, including those that are down,
// so that a part of the fleet that is cut off by a network partition never uses more than its
// share.
//
// It is not safe for concurrent use.
type SharedBudget struct {
	cfg      SharedBudgetConfig
	members  int
	services map[steering.Service]*serviceBudget
}

// serviceBudget is the token bucket of one service, in extra tries.
type serviceBudget struct {
	available float64
	updatedAt time.Time
}

// NewSharedBudget returns the budget of the only entry VM of a fleet; see SetMembers.
func NewSharedBudget(cfg SharedBudgetConfig) *SharedBudget {
	return &SharedBudget{cfg: cfg, members: 1, services: make(map[steering.Service]*serviceBudget)}
}

// Configure replaces the bounds.
func (a *SharedBudget) Configure(cfg SharedBudgetConfig) { a.cfg = cfg }

// SetMembers sets the number of entry VMs that share the slack.
func (a *SharedBudget) SetMembers(n int) { a.members = max(n, 1) }

// cap returns the largest number of extra tries that a service accumulates: this VM's part of the
// slack, but at least one.
func (a *SharedBudget) cap() float64 {
	return math.Max(1, math.Floor(a.cfg.Slack*usedSlackShare/float64(a.members)))
}

func (a *SharedBudget) budgetFor(now time.Time, service steering.Service) *serviceBudget {
	s := a.services[service]
	if s == nil {
		s = &serviceBudget{available: a.cap(), updatedAt: now}
		a.services[service] = s
	}
	// The slack refills over two windows. A VM with a full bucket therefore spends at most 1.5
	// times its part of the divided slack in any window, which is 0.9 of its part of Slack. What
	// requests add comes on top, and so does the part of a try by which cap is raised to one.
	s.available = math.Min(a.cap(), s.available+a.cap()*float64(now.Sub(s.updatedAt))/float64(2*a.cfg.Window))
	s.updatedAt = now
	return s
}

// RecordRequest counts a request, which adds a fraction of an extra try to the budget of its
// service.
func (a *SharedBudget) RecordRequest(now time.Time, service steering.Service) {
	s := a.budgetFor(now, service)
	s.available = math.Min(a.cap(), s.available+a.cfg.Ratio*usedRatioShare)
}

// TakeTry charges an extra try to the budget of the service and reports whether the budget
// allowed it.
func (a *SharedBudget) TakeTry(now time.Time, service steering.Service) bool {
	s := a.budgetFor(now, service)
	if s.available < 1 {
		return false
	}
	s.available--
	return true
}

// ReturnTry gives back an extra try that was taken but not sent.
func (a *SharedBudget) ReturnTry(now time.Time, service steering.Service) {
	s := a.budgetFor(now, service)
	s.available = math.Min(a.cap(), s.available+1)
}

// Available returns the number of extra tries that each service has available.
func (a *SharedBudget) Available(now time.Time) map[steering.Service]float64 {
	left := make(map[steering.Service]float64, len(a.services))
	for service := range a.services {
		left[service] = a.budgetFor(now, service).available
	}
	return left
}
