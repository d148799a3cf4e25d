package lookups

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"

	"heatherlock/node/seam"
	"heatherlock/steering"
	"heatherlock/steering/lookup"
	"heatherlock/steering/once"
	"heatherlock/steering/routing"
)

const (
	// pollInterval is how often the members are compared with those that the
	// plan was made from.
	pollInterval = 200 * time.Millisecond
	// notReadyRetryAfter is the retry delay sent to callers before the first
	// configuration.
	notReadyRetryAfter = time.Second
)

// Config configures Lookups.
type Config struct {
	Configs seam.Configs
	Members seam.Members
	// TTL is how long clients may use an answer. Zero means lookup.DefaultTTL.
	TTL time.Duration
	// AllowClient lets a request give the client address to answer for. It is
	// for tests only, because it lets a caller look up the home place of any
	// other client.
	AllowClient bool
	Scope       tally.Scope
	Log         log.Logger
}

// Lookups answers look-ups from the current plan. It implements
// seam.LookupResolver and is safe for concurrent use.
type Lookups struct {
	config  Config
	current atomic.Pointer[servedPlan]
	changed chan struct{}
	metrics metrics
}

var _ seam.LookupResolver = (*Lookups)(nil)

// servedPlan is a plan with its answers for the data path and as HTTP bodies.
type servedPlan struct {
	// epoch is the epoch of the key prefixes in the answers.
	epoch    once.Epoch
	plan     *lookup.Plan
	snapshot *routing.Snapshot
	members  []lookup.Member
	answers  []seam.LookupAnswer
	bodies   [][]byte
}

// New returns Lookups that refuse look-ups with steering.ReasonNotReady until a
// configuration is in force.
func New(c Config) (*Lookups, error) {
	switch {
	case c.Configs == nil:
		return nil, errors.New("lookups: no configuration given; set Config.Configs")
	case c.Members == nil:
		return nil, errors.New("lookups: no members given; set Config.Members")
	}
	if c.Scope == nil {
		c.Scope = tally.NoopScope
	}
	if c.Log == nil {
		c.Log = log.NewNopLogger()
	}
	l := &Lookups{config: c, changed: make(chan struct{}, 1), metrics: newMetrics(c.Scope.SubScope("lookup"))}
	c.Configs.Subscribe(func(*routing.Snapshot) { l.signalChange() })
	l.refresh(time.Now())
	return l, nil
}

func (l *Lookups) signalChange() {
	select {
	case l.changed <- struct{}{}:
	default:
	}
}

// Run updates the plan when the configuration or the members change, until ctx
// ends.
func (l *Lookups) Run(ctx context.Context) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		l.refresh(time.Now())
		select {
		case <-ctx.Done():
			return nil
		case <-l.changed:
		case <-ticker.C:
		}
	}
}

// refresh makes a new plan if anything that the plan depends on has changed. If
// only the epoch has changed, it gives the answers of the old plan new key
// prefixes.
func (l *Lookups) refresh(now time.Time) {
	snapshot := l.config.Configs.Snapshot()
	if snapshot == nil {
		return
	}
	members := l.members()
	current := l.current.Load()
	if !needsNewPlan(current, snapshot, members, now) {
		if current.epoch != once.EpochAt(now) {
			l.current.Store(newServedPlan(current.plan, snapshot, members, now))
		}
		return
	}
	self := l.config.Members.Self()
	start := time.Now()
	plan := lookup.NewPlan(lookup.PlanInput{
		Snapshot: snapshot, Members: members, Zone: self.Zone, Region: self.Region, Now: now, TTL: l.config.TTL,
	})
	l.current.Store(newServedPlan(plan, snapshot, members, now))
	l.metrics.planned(time.Since(start), len(plan.Answers()))
}

func needsNewPlan(current *servedPlan, snapshot *routing.Snapshot, members []lookup.Member, now time.Time) bool {
	if current == nil || current.snapshot != snapshot || !slices.Equal(current.members, members) {
		return true
	}
	next := current.plan.NextStopStart()
	return !next.IsZero() && !now.Before(next)
}

// members returns the members that answers may contain, sorted by name.
func (l *Lookups) members() []lookup.Member {
	self := l.config.Members.Self()
	all := l.config.Members.All()
	members := make([]lookup.Member, 0, len(all)+1)
	sawSelf := false
	for _, m := range all {
		sawSelf = sawSelf || m.VM == self.VM
		if state, ok := stateOf(m.State); ok {
			members = append(members, memberOf(m, state))
		}
	}
	if state, ok := stateOf(self.State); ok && !sawSelf {
		members = append(members, memberOf(self, state))
	}
	slices.SortFunc(members, func(a, b lookup.Member) int { return cmp.Compare(a.VM, b.VM) })
	return members
}

func stateOf(state seam.MemberState) (lookup.MemberState, bool) {
	switch state {
	case seam.MemberLive:
		return lookup.Live, true
	case seam.MemberSuspect:
		return lookup.Suspect, true
	}
	return 0, false
}

func memberOf(m seam.Member, state lookup.MemberState) lookup.Member {
	return lookup.Member{VM: m.VM, Zone: m.Zone, Region: m.Region, Address: m.CallerAddress, Incarnation: m.Incarnation, State: state}
}

func newServedPlan(plan *lookup.Plan, snapshot *routing.Snapshot, members []lookup.Member, now time.Time) *servedPlan {
	v := &servedPlan{epoch: once.EpochAt(now), plan: plan, snapshot: snapshot, members: members}
	for _, a := range plan.Answers() {
		out := seam.LookupAnswer{Place: a.Place, TTL: a.TTL, Version: a.Version}
		for _, e := range a.Entries {
			entry := seam.LookupEntry{VM: e.VM, Address: e.Address, KeyPrefix: once.PrefixAt(e.Incarnation, now)}
			out.EntryVM = append(out.EntryVM, entry)
		}
		v.answers = append(v.answers, out)
		v.bodies = append(v.bodies, encode(a.Service, out))
	}
	return v
}

// Lookup implements seam.LookupResolver. The slice in the answer is shared and
// must not be modified. The error is a *steering.Refusal.
func (l *Lookups) Lookup(client netip.Addr, service steering.Service) (seam.LookupAnswer, error) {
	v := l.current.Load()
	if v == nil {
		return seam.LookupAnswer{}, notReady()
	}
	index, err := v.plan.Choose(client, service)
	if err != nil {
		return seam.LookupAnswer{}, err
	}
	return v.answers[index], nil
}

func notReady() *steering.Refusal {
	return steering.Refuse(steering.ReasonNotReady, notReadyRetryAfter, "no configuration yet")
}

// Home implements seam.LookupResolver.
func (l *Lookups) Home(client netip.Addr) (steering.Place, bool) {
	v := l.current.Load()
	if v == nil {
		return "", false
	}
	return v.snapshot.Blocks.Lookup(client)
}
