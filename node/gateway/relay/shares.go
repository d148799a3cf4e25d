package relay

import (
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"

	"heatherlock/node/lock"
	"heatherlock/steering"
	"heatherlock/steering/fairshare"
	"heatherlock/steering/identity"
	"heatherlock/steering/placement"
)

// shortLogInterval bounds the log lines about a service that is divided.
const shortLogInterval = 10 * time.Second

// Shares divides services that are short of capacity between workspaces. It is safe for concurrent use. A
// nil *Shares, and one without workspaces, divides nothing.
type Shares struct {
	incarnation uint32
	log         log.Logger
	scope       tally.Scope
	active      atomic.Bool // whether there are workspaces

	mu       lock.Mutex
	divider  *fairshare.Divider
	loggedAt map[steering.Service]time.Time
}

// NewShares returns a Shares without workspaces. incarnation tells its reports from those of an earlier
// process of the same VM.
func NewShares(incarnation uint32, logger log.Logger, scope tally.Scope) *Shares {
	return &Shares{incarnation: incarnation, log: logger, scope: scope, divider: fairshare.NewDivider(incarnation), loggedAt: make(map[steering.Service]time.Time)}
}

// Configure puts the workspaces of a configuration in force. A nil directory means that there are none.
func (s *Shares) Configure(d *identity.Directory) {
	weights := make(map[steering.Workspace]float64)
	for _, w := range d.All() {
		weights[w.Name] = w.Rate
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.divider.SetWeights(weights)
	s.active.Store(d != nil)
}

// Report returns the report for other VMs, or nil if there is nothing to report.
func (s *Shares) Report(now time.Time) []byte {
	if !s.active.Load() {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.divider.Report(now)
}

// Merge takes in the report of another VM. One that cannot be read is counted and changes nothing.
func (s *Shares) Merge(now time.Time, from steering.VM, data []byte) {
	if !s.active.Load() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.divider.Merge(now, from, data); err != nil {
		s.scope.Counter("gateway_share_reports_unreadable").Inc(1)
		_ = s.log.Log("msg", "report on shares ignored", "from", from, "err", err) // the log writer counts dropped lines
	}
}

// Usages returns the state of the workspaces on this VM.
func (s *Shares) Usages(now time.Time) []fairshare.Usage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.divider.Usages(now)
}

// UpdateGauges exports the state of each service and rank, and logs which ones are divided.
func (s *Shares) UpdateGauges(now time.Time) {
	if !s.active.Load() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.divider.Rooms(now) {
		scope := s.scope.Tagged(map[string]string{"service": string(r.Service), "rank": strconv.Itoa(r.Rank)})
		divided := 0.0
		if r.Divided {
			divided = 1
		}
		scope.Gauge("gateway_share_divided").Update(divided)
		scope.Gauge("gateway_share_room").Update(r.Room)
		scope.Gauge("gateway_share_demand").Update(r.Demand)
		if r.Divided && r.Demand > r.Room && now.Sub(s.loggedAt[r.Service]) >= shortLogInterval {
			s.loggedAt[r.Service] = now
			_ = s.log.Log("msg", "service is short, shares are in force", "service", r.Service, "rank", r.Rank, "room_per_s", r.Room, "demand_per_s", r.Demand) // the log writer counts dropped lines
		}
	}
}

func (s *Shares) record(now time.Time, r fairshare.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.divider.Record(now, r)
}

// admit decides on a request whose target has no room. If it refuses the request, it returns the state of the
// workspace.
func (s *Shares) admit(now time.Time, r fairshare.Request) (retryAfter time.Duration, refused *fairshare.Usage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ok, retryAfter := s.divider.Admit(now, r)
	if ok {
		return 0, nil
	}
	s.scope.Tagged(map[string]string{"service": string(r.Service)}).Counter("gateway_share_refused").Inc(1)
	u := s.divider.Usage(now, r)
	return retryAfter, &u
}

func (s *Shares) recordServed(now time.Time, r fairshare.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.divider.RecordServed(now, r)
}

func (s *Shares) recordShort(now time.Time, service steering.Service, rank int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.divider.RecordShort(now, service, rank)
}

// shareRequest returns what counts of the request in the division of its service. ok is false if the
// request is not divided: it has no workspace, or was passed on to the owner of its target, which decides.
func (x *exchange) shareRequest() (r fairshare.Request, ok bool) {
	if x.workspace == nil || x.f.cfg.Shares == nil || x.owner != nil || x.passedToOwner {
		return r, false
	}
	return fairshare.Request{Service: x.service, Workspace: x.workspace.Name, Rank: x.rank()}, true
}

// rank returns the priority of the request.
func (x *exchange) rank() int { return x.workspace.RankOr(x.route.Rank) }

// recordDemand counts the request in the demand of its workspace.
func (x *exchange) recordDemand() {
	if r, divided := x.shareRequest(); divided {
		x.f.cfg.Shares.record(time.Now(), r)
	}
}

// admitToShare decides whether a request whose target has no room may wait for it. Of a workspace beyond its share
// it is refused at once. A request whose target has room is never refused: a service that is short at one
// target may have room at another.
func (x *exchange) admitToShare() (retryAfter time.Duration, ok bool) {
	r, divided := x.shareRequest()
	if !divided {
		return 0, true
	}
	retryAfter, x.beyondShare = x.f.cfg.Shares.admit(time.Now(), r)
	return retryAfter, x.beyondShare == nil
}

// recordServed records a target's response in the room of its service.
func (x *exchange) recordServed() {
	if r, divided := x.shareRequest(); divided {
		x.f.cfg.Shares.recordServed(time.Now(), r)
	}
}

// recordShed records that a full target refused the request. One that refuses with free slots is not short of
// room.
func (x *exchange) recordShed(now time.Time, r placement.Report, slots int) {
	if x.table.Workspaces != nil && x.f.cfg.Shares != nil && r.Saturated(slots) {
		x.f.cfg.Shares.recordShort(now, x.service, x.rank())
	}
}

// recordRefusal records a refusal by placement. One whose run would not fit into the time that the caller
// left, even on an idle target, does not show that the service is short.
func (x *exchange) recordRefusal(reason steering.Reason) {
	if reason != steering.ReasonNoSlot || x.table.Workspaces == nil || x.f.cfg.Shares == nil {
		return
	}
	now := time.Now()
	if n := x.noCapacity; n != nil && (n.Wait <= 0 || n.WarmRunTime > x.deadline.Sub(now)) {
		return
	}
	x.f.cfg.Shares.recordShort(now, x.service, x.rank())
}
