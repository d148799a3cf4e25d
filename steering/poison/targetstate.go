package poison

import (
	"time"

	"heatherlock/steering"
)

// maxTargetStates is the maximum number of targets whose state is stored; it is larger
// than the number of targets in a region. A request that was sent to a target without a
// stored state counts as sent while the target was running, which at worst puts a
// harmless request on trial.
const maxTargetStates = 4096

// targetState holds when a target last responded and when it was lost.
type targetState struct {
	responded time.Time // last response
	lostAt    time.Time // earliest known loss since then, or zero
}

// targetStates holds the states of targets by name.
//
// It prevents losses from being recorded against requests that were sent to a target
// after it had crashed. The address of a crashed target may still accept connections and
// break them, as a proxy in front of the target does. Without the states, each request
// sent there would count as one that took the target down, and a request that met two
// such addresses in a row would be refused for a quarter of an hour. The symptom would be
// refused reads that name two targets, each of which was apparently taken down by
// hundreds of requests. A target crashes once per start, so a request that was sent after
// the crash did not cause it.
type targetStates map[steering.Target]targetState

func (s targetStates) responded(target steering.Target, at time.Time) {
	s.evictForNew(target)
	s[target] = targetState{responded: at}
}

// RetractLossesSince retracts the losses since a time, because the links over which they were seen were cut.
func (l *List) RetractLossesSince(now, since time.Time) {
	for target := range l.TargetsWithLosses(now) {
		l.retractWhere(now, target, func(n loss) bool { return !n.at.Before(since) })
	}
}

// markLost records that a target was lost at a time. It reports whether that changed
// the state: it does not if the target responded later, or was known to be lost before.
func (s targetStates) markLost(target steering.Target, at time.Time) bool {
	known := s[target]
	if !at.After(known.responded) || !known.lostAt.IsZero() && !at.Before(known.lostAt) {
		return false
	}
	s.evictForNew(target)
	known.lostAt = at
	s[target] = known
	return true
}

// lostBefore reports whether a target was lost before a request was sent to it at sent.
// It returns false if sent is zero, which means unknown.
func (s targetStates) lostBefore(target steering.Target, sent time.Time) bool {
	at := s[target].lostAt
	return !at.IsZero() && sent.After(at)
}

// evictForNew removes the state of an arbitrary target if there is no room for a new one.
func (s targetStates) evictForNew(target steering.Target) {
	if _, known := s[target]; known || len(s) < maxTargetStates {
		return
	}
	for other := range s {
		delete(s, other)
		return
	}
}

// TargetResponded records that a target responded. Requests that are sent to it from now
// on can be the cause of its next loss.
func (l *List) TargetResponded(now time.Time, target steering.Target) {
	l.targetStates.responded(target, now)
}

// TargetRestarted records that a target restarted under the same name, so that its
// earlier loss no longer excuses the requests that are sent to it.
func (l *List) TargetRestarted(target steering.Target) { delete(l.targetStates, target) }

// TargetsWithLosses returns the targets whose losses count against requests now.
func (l *List) TargetsWithLosses(now time.Time) map[steering.Target]bool {
	all := make(map[steering.Target]bool)
	for _, r := range l.records {
		for _, n := range r.losses {
			if n.count > 0 && now.Before(n.expiry(l.cfg)) {
				all[n.target] = true
			}
		}
	}
	return all
}

// RetractLosses retracts the losses of a target up to a time, because the same start of
// the target kept running. The caller must be sure of that: a response alone does not
// prove it, since a target that restarted under the same name responds as well.
func (l *List) RetractLosses(now time.Time, target steering.Target, until time.Time) {
	l.retractWhere(now, target, func(n loss) bool { return !n.at.After(until) })
}

// markLost records that a target was lost at a time, as a peer reported, and
// retracts the losses of requests that were sent to the target later.
func (l *List) markLost(now time.Time, target steering.Target, at time.Time) {
	if l.targetStates.markLost(target, at) {
		l.retractWhere(now, target, func(n loss) bool { return n.sent.After(at) })
	}
}

// retractWhere retracts the losses of a target that match wrong, and queues the
// retractions for the peers.
func (l *List) retractWhere(now time.Time, target steering.Target, wrong func(loss) bool) {
	for id, r := range l.records {
		for _, n := range r.losses {
			if n.target == target && n.count > 0 && wrong(n) {
				l.retract(now, r, target, n.at)
				l.changed = append(l.changed, Fact{ID: id, Target: target, Age: now.Sub(n.at)})
			}
		}
	}
}

// retract sets the losses of a target up to a time to zero. The entries stay in the
// record, so that a message that arrives late cannot add the losses again.
func (l *List) retract(now time.Time, r *record, target steering.Target, until time.Time) {
	for i := range r.losses {
		n := &r.losses[i]
		if n.target == target && !n.at.After(until) {
			n.count, n.onTrial, n.retractedUntil = 0, false, until
		}
	}
	if r.signature != 0 && r.lossCount(now, l.cfg, false) < l.cfg.LossLimit {
		l.setSignature(r, 0)
	}
}
