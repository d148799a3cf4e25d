package allowances

import (
	"context"
	"time"

	"heatherlock/steering"
	"heatherlock/steering/allowance"
	"heatherlock/steering/placement"
)

// limitRetention is how long the limit of a target is kept after the last response that it is based
// on.
const limitRetention = time.Minute

// targetLimit is the limit that a target names, as this VM or another heard it last.
type targetLimit struct {
	placement.NamedLimit // the one to go by
	stated               placement.StatedLimits
	// region is the target's region, if this VM sends requests to the target. One of the VMs there
	// owns the limit.
	region steering.Region
	// owner is the VM that owns the limit as of ownerVersion, a fleetVersion.
	owner        steering.VM
	ownerVersion int
}

// limitEntry tells another VM the limit of a target. It is encoded as a map, so that fields can be
// added.
type limitEntry struct {
	Target allowance.ID `cbor:"1,keyasint"`
	// PerSecond is the limit in requests per second. Ended means that the target names none any
	// more.
	PerSecond float64 `cbor:"2,keyasint,omitempty"`
	Ended     bool    `cbor:"3,keyasint,omitempty"`
	// AgeMs is the age of the response that says so, and RequestAgeMs that of its request, in milliseconds.
	// Builds before this field send 0.
	AgeMs        uint32 `cbor:"4,keyasint"`
	RequestAgeMs uint32 `cbor:"5,keyasint,omitempty"`
}

func (t *targetLimit) entry(now time.Time, id allowance.ID) limitEntry {
	told := t.Tell(now)
	return limitEntry{Target: id, PerSecond: told.PerSecond, Ended: !told.InForce, AgeMs: uint32(told.Age.Milliseconds()), RequestAgeMs: uint32(told.RequestAge.Milliseconds())}
}

func (l limitEntry) told() placement.ToldLimit {
	age := func(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }
	return placement.ToldLimit{InForce: !l.Ended, PerSecond: l.PerSecond, Age: age(l.AgeMs), RequestAge: age(l.RequestAgeMs)}
}

func (t *targetLimit) limit() allowance.Limit { return allowance.TargetLimit(t.PerSecond) }

// LimitHeard records what a target said of its limit to this VM. The end of a limit is told to the
// owner, which tells it to the VMs that ask for credits. It returns the limit that holds by what any VM
// heard.
func (s *Service) LimitHeard(t placement.Target, said placement.NamedLimit) placement.NamedLimit {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	id := allowance.TargetID(t.Name, t.Generation)
	known := s.noteLimit(now, id, t.Region, said)
	if known.InForce {
		return known.NamedLimit
	}
	owner, found := allowance.OwnerOf(id, s.candidatesIn(t.Region))
	if found && owner != s.cfg.Self {
		s.send(s.peers[owner], datagram{From: s.cfg.Self, Incarnation: s.incarnation}, []limitEntry{known.entry(now, id)})
	}
	return known.NamedLimit
}

// noteLimit records what a target said of its limit, and returns the limit that holds.
func (s *Service) noteLimit(now time.Time, id allowance.ID, region steering.Region, said placement.NamedLimit) *targetLimit {
	known := s.targets[id]
	if known == nil {
		known = &targetLimit{}
		s.targets[id] = known
		if len(s.targets) == 1 && s.cfg.OnFirstLimit != nil {
			go s.cfg.OnFirstLimit()
		}
	}
	if region != "" {
		known.region = region
	}
	known.stated.Add(said)
	known.NamedLimit = known.stated.Current()
	if a := s.accounts[id]; a != nil && known.InForce {
		a.Configure(now, known.limit(), s.members)
	}
	return known
}

// mergeLimit records what another VM told of a target's limit.
func (s *Service) mergeLimit(now time.Time, l limitEntry) {
	s.noteLimit(now, l.Target, "", l.told().Limit(now))
}

// forgetTargets drops the limits of targets of which no VM has heard anything recently.
func (s *Service) forgetTargets(now time.Time) {
	for id, t := range s.targets {
		if now.Sub(t.HeardAt) > limitRetention && s.accounts[id] == nil {
			delete(s.targets, id)
		}
	}
}

// candidates returns the VMs that may own what an account is for. The owner of a target's limit is
// near the target, like most VMs that ask it.
func (s *Service) candidates(a *account) []allowance.Candidate {
	if a.target == nil {
		return s.live
	}
	return s.candidatesIn(a.target.region)
}

func (s *Service) candidatesIn(region steering.Region) []allowance.Candidate {
	if near := s.liveIn[region]; len(near) > 0 {
		return near
	}
	return s.live
}

// AdmitToTarget decides whether a request may be sent to a target that names a limit. If it may
// not, retryAfter is when this VM should ask again. newest is the limit that any VM heard last.
func (s *Service) AdmitToTarget(ctx context.Context, t placement.Target, said placement.NamedLimit) (newest placement.NamedLimit, retryAfter time.Duration, ok bool) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	id := allowance.TargetID(t.Name, t.Generation)
	limit := s.noteLimit(now, id, t.Region, said)
	if !limit.InForce {
		return limit.NamedLimit, 0, true
	}
	a := s.accounts[id]
	if a == nil {
		a = &account{Account: allowance.NewAccount(now, limit.limit(), s.members), id: id, incarnation: s.incarnation, ownerVersion: -1, target: limit}
		s.accounts[id] = a
	}
	a.RecordArrival(now)
	verdict := a.Admit(now)
	if verdict == allowance.AskOwner {
		until := now.Add(a.ReplyTimeout())
		if a.OwnerUnresponsive(now) {
			until = now
		}
		verdict = s.askOwner(ctx, a, until)
	}
	if verdict == allowance.Admitted {
		return limit.NamedLimit, 0, true
	}
	return limit.NamedLimit, a.UntilNextAsk(time.Now()), false
}

// ReturnTargetCredit gives back the credit of an admitted request that was not sent.
func (s *Service) ReturnTargetCredit(t placement.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a := s.accounts[allowance.TargetID(t.Name, t.Generation)]; a != nil {
		a.ReturnCredit()
	}
}

// handleTargetReport processes a report on a target's limit and returns the reply. Once the limit
// has ended, the limit that follows the reply says so, and no credits are needed.
func (s *Service) handleTargetReport(now time.Time, from steering.VM, incarnation uint32, t *targetLimit, r allowance.Report) (allowance.Reply, bool) {
	if !t.InForce {
		return allowance.Reply{Workspace: r.Workspace, Number: r.Number, Used: r.Used}, true
	}
	reply, _, ok := s.targetLedger.Report(now, from, incarnation, t.limit(), r)
	s.countTargetReport(t, r.Workspace, ok)
	return reply, ok
}

func (s *Service) countTargetReport(t *targetLimit, id allowance.ID, applied bool) {
	if s.cfg.Scope == nil {
		return
	}
	end := "applied"
	switch {
	case !applied:
		end = "out_of_date"
	case s.ownerOf(t, id) != s.cfg.Self:
		end = "not_owner"
	}
	s.cfg.Scope.Tagged(map[string]string{"end": end}).Counter("gateway_target_limit_reports").Inc(1)
}

// ownerOf returns the VM that owns a limit, or this VM if it does not know the target's region: it has heard of
// the limit from others alone then.
func (s *Service) ownerOf(t *targetLimit, id allowance.ID) steering.VM {
	if t.region == "" {
		return s.cfg.Self
	}
	if t.owner == "" || t.ownerVersion != s.fleetVersion {
		t.owner, _ = allowance.OwnerOf(id, s.candidatesIn(t.region)) // without any live VM nobody reports
		t.ownerVersion = s.fleetVersion
	}
	return t.owner
}
