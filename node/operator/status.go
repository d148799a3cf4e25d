package operator

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"heatherlock/api/check"
	"heatherlock/api/oas"
)

// Condition types.
const (
	ConditionAccepted      = "Accepted"      // the object breaks no rule, or an override was given
	ConditionInForce       = "InForce"       // every zone has this version
	ConditionShiftComplete = "ShiftComplete" // the declared percentage has been moved
	ConditionDrained       = "Drained"       // no requests are in flight any more
	ConditionInTime        = "InTime"        // the deadline hasn't passed with requests in flight
	ConditionCapHolding    = "CapHolding"    // the entry VMs together hold at most the cap's permits
)

// Conditions lists the condition types of each kind.
var Conditions = map[oas.Kind][]string{
	oas.KindService:      {ConditionAccepted, ConditionInForce},
	oas.KindPlace:        {ConditionAccepted, ConditionInForce},
	oas.KindClientBlocks: {ConditionAccepted, ConditionInForce},
	oas.KindShift:        {ConditionAccepted, ConditionInForce, ConditionShiftComplete},
	oas.KindCap:          {ConditionAccepted, ConditionInForce, ConditionCapHolding},
	oas.KindPlannedStop:  {ConditionAccepted, ConditionInForce, ConditionDrained, ConditionInTime},
}

// withStatus returns the object with its current status.
func (s *Server) withStatus(ctx context.Context, o oas.Object) oas.Object {
	b := statusBuilder{server: s, ref: check.RefOf(o), version: versionOf(o)}
	b.accepted(ctx, o)
	inForce := b.inForce()
	switch o.Type {
	case oas.ShiftObject:
		b.shift(o.Shift)
	case oas.CapObject:
		b.cap(o.Cap)
	case oas.PlannedStopObject:
		b.stop(o.PlannedStop, inForce)
	}
	check.StatusOf(&o).SetTo(b.status)
	return o
}

// statusBuilder composes the status of one object.
type statusBuilder struct {
	server  *Server
	ref     check.Ref
	version int64
	status  oas.ObjectStatus
}

func (b *statusBuilder) add(kind string, holds bool, reason, format string, args ...any) {
	b.status.Conditions = append(b.status.Conditions, oas.Condition{
		Type: kind, Status: holds, Reason: reason, Message: fmt.Sprintf(format, args...),
		Since:           b.server.transitions.transitionTime(b.ref, kind, holds, time.Now()),
		ObservedVersion: b.version,
	})
}

func (b *statusBuilder) accepted(ctx context.Context, o oas.Object) {
	if p, broken := b.server.problemOf(ctx, b.ref); broken {
		b.add(ConditionAccepted, false, "Invalid", "%s: %s; %s", p.Field, p.Message, p.Remedy)
		return
	}
	if reason, ok := check.MetadataOf(&o).Override.Get(); ok {
		b.add(ConditionAccepted, true, "Overridden", "accepted in spite of a promise it breaks: %s", reason)
		return
	}
	b.add(ConditionAccepted, true, "Checked", "no rule is broken")
}

// inForce adds the condition InForce and each zone's state, and reports whether every zone has
// this version. An unreachable zone keeps the version it had; it is listed with the time since
// which it has been unreachable.
func (b *statusBuilder) inForce() bool {
	zones := b.server.runtime.Zones()
	var behind, cutOff []string
	for _, z := range zones {
		one := oas.ZoneInForce{Zone: z.Zone, InForce: z.ConfigVersion >= b.version}
		if !z.CutOffSince.IsZero() {
			one.CutOffSince = oas.NewOptDateTime(z.CutOffSince)
			cutOff = append(cutOff, z.Zone)
		}
		if !one.InForce {
			behind = append(behind, z.Zone)
		}
		b.status.Zones = append(b.status.Zones, one)
	}
	switch {
	case len(zones) == 0:
		b.add(ConditionInForce, false, "NothingKnown", "no zone has been heard from yet")
	case len(behind) == 0:
		b.add(ConditionInForce, true, "Everywhere", "in force in all %d zones", len(zones))
	case len(cutOff) > 0:
		b.add(ConditionInForce, false, "ZonesCutOff", "not yet in %s; cut off: %s", strings.Join(behind, ", "), strings.Join(cutOff, ", "))
	default:
		b.add(ConditionInForce, false, "Spreading", "not yet in %s", strings.Join(behind, ", "))
	}
	return len(zones) > 0 && len(behind) == 0
}

func (b *statusBuilder) shift(shift oas.Shift) {
	fact, known := b.server.runtime.Shift(b.ref.Name)
	if !known {
		b.add(ConditionShiftComplete, false, "NothingKnown", "this entry VM has not seen the shift yet")
		return
	}
	b.status.MovedPercent = oas.NewOptInt(fact.MovedPercent)
	b.status.HeldBy = oas.NewOptString(fact.HeldBy)
	b.status.RemainingSeconds = oas.NewOptInt(int((fact.Remaining + time.Second - 1) / time.Second))
	switch {
	case fact.MovedPercent == shift.Spec.Percent:
		b.add(ConditionShiftComplete, true, "Moved", "%d%% moved", fact.MovedPercent)
	case fact.HeldBy != "":
		b.add(ConditionShiftComplete, false, "Held", "%d%% of %d%% moved; held back by %s", fact.MovedPercent, shift.Spec.Percent, fact.HeldBy)
	default:
		b.add(ConditionShiftComplete, false, "Moving", "%d%% of %d%% moved", fact.MovedPercent, shift.Spec.Percent)
	}
}

func (b *statusBuilder) cap(limit oas.Cap) {
	fact, known := b.server.runtime.Cap(b.ref.Name)
	if !known {
		b.add(ConditionCapHolding, false, "NothingKnown", "this entry VM has not seen the cap yet")
		return
	}
	b.status.PermitsHeld = oas.NewOptInt(fact.PermitsHeld)
	if fact.InUseKnown {
		b.status.PermitsInUse = oas.NewOptInt(fact.PermitsInUse)
	}
	switch {
	case fact.PermitsHeld > limit.Spec.Requests:
		b.add(ConditionCapHolding, false, "Lowering", "entry VMs still hold %d permits, the cap is %d; each gives up what is in use no more", fact.PermitsHeld, limit.Spec.Requests)
	case fact.PermitsHeld == 0:
		b.add(ConditionCapHolding, true, "NoPermits", "no entry VM holds a permit of the %d, so that nothing is admitted under the cap", limit.Spec.Requests)
	default:
		b.add(ConditionCapHolding, true, "Holding", "entry VMs hold %d of %d permits", fact.PermitsHeld, limit.Spec.Requests)
	}
}

func (b *statusBuilder) stop(stop oas.PlannedStop, inForce bool) {
	now := time.Now()
	fact, known := b.server.runtime.Stop(b.ref.Name)
	if known {
		b.status.InFlight = oas.NewOptInt(fact.InFlight)
	}
	drained := false
	switch at := stop.Spec.At.Or(time.Time{}); {
	case at.After(now):
		b.add(ConditionDrained, false, "NotYet", "starts at %s", at.Format(time.RFC3339))
	case !inForce:
		b.add(ConditionDrained, false, "Spreading", "not yet in force in every zone")
	case !known:
		b.add(ConditionDrained, false, "NothingKnown", "nothing has been reported of what is stopped")
	case !fact.AllReported:
		b.add(ConditionDrained, false, "NotAllHeard", "%d in flight, not every entry VM has reported", fact.InFlight)
	case fact.InFlight > 0:
		b.add(ConditionDrained, false, "InFlight", "%d requests still in flight", fact.InFlight)
	default:
		drained = true
		b.add(ConditionDrained, true, "Empty", "nothing is in flight")
	}
	b.inTime(stop.Spec, drained, now)
}

func (b *statusBuilder) inTime(spec oas.PlannedStopSpec, drained bool, now time.Time) {
	deadline, set := spec.Deadline.Get()
	switch {
	case !set:
		b.add(ConditionInTime, true, "NoDeadline", "no deadline was set")
	case drained || now.Before(deadline):
		b.add(ConditionInTime, true, "BeforeDeadline", "the deadline is %s", deadline.Format(time.RFC3339))
	case spec.CutAtDeadline.Or(false):
		b.add(ConditionInTime, false, "DeadlinePassed", "the deadline %s has passed; what is in flight is cut, as declared", deadline.Format(time.RFC3339))
	default:
		b.add(ConditionInTime, false, "DeadlinePassed", "the deadline %s has passed; nothing is cut", deadline.Format(time.RFC3339))
	}
}

// maxTrackedConditions is the maximum number of conditions whose transition time is tracked. If
// it is reached, all are forgotten.
const maxTrackedConditions = 20000

// transitionTracker tracks when each condition last changed.
type transitionTracker struct {
	mu     sync.Mutex
	states map[conditionKey]conditionState
}

type conditionKey struct {
	ref  check.Ref
	kind string
}

type conditionState struct {
	holds bool
	since time.Time
}

// transitionTime records the condition's state and returns the time since which it has had it.
func (t *transitionTracker) transitionTime(ref check.Ref, kind string, holds bool, now time.Time) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := conditionKey{ref, kind}
	if was, ok := t.states[key]; ok && was.holds == holds {
		return was.since
	}
	if t.states == nil || len(t.states) >= maxTrackedConditions {
		t.states = map[conditionKey]conditionState{}
	}
	now = now.UTC().Truncate(time.Millisecond)
	t.states[key] = conditionState{holds, now}
	return now
}
