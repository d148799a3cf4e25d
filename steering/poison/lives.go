package poison

import (
	"time"

	"heatherlock/steering"
)

// maxLives bounds the targets of which signs of life are remembered: more than a region
// has. What was sent to one that is forgotten counts as sent while it lived, which costs
// an innocent request a trial.
const maxLives = 4096

// life is what is known of whether a target lives.
type life struct {
	answered time.Time // last
	gone     time.Time // first found gone since; zero if it was not
}

// lives holds the signs of life of targets.
//
// What goes wrong without it: the address of a dead target may still take connections
// and break them, as a proxy in front of it does. Each request tried there then counts
// as one that took the target down, and one that met two such addresses in a row is
// refused for a quarter of an hour. One would notice refusals of reads that name two
// targets, each of which hundreds of requests are said to have taken down. A target dies
// once a start, so what it was given after its death did not cause it.
type lives map[steering.Target]life

func (s lives) answered(target steering.Target, at time.Time) {
	s.makeRoom(target)
	s[target] = life{answered: at}
}

// foundGone notes that a target was gone at a time. It reports whether that is news: not
// if the target answered later, or was known to be gone before.
func (s lives) foundGone(target steering.Target, at time.Time) bool {
	known := s[target]
	if !at.After(known.answered) || !known.gone.IsZero() && !at.Before(known.gone) {
		return false
	}
	s.makeRoom(target)
	known.gone = at
	s[target] = known
	return true
}

// goneBefore reports whether a target was gone before it was given a request at sent. A
// zero time is not known, and then it was not.
func (s lives) goneBefore(target steering.Target, sent time.Time) bool {
	at := s[target].gone
	return !at.IsZero() && sent.After(at)
}

// makeRoom forgets any target if there are too many for one more.
func (s lives) makeRoom(target steering.Target) {
	if _, known := s[target]; known || len(s) < maxLives {
		return
	}
	for other := range s {
		delete(s, other)
		return
	}
}

// Answered notes that a target lives: what it is given from now on it may die of.
func (l *List) Answered(now time.Time, target steering.Target) { l.lives.answered(target, now) }

// Restarted notes that a target has started again under its name.
func (l *List) Restarted(target steering.Target) { delete(l.lives, target) }

// Accused returns the targets for whose loss something is held against requests.
func (l *List) Accused(now time.Time) map[steering.Target]bool {
	all := make(map[steering.Target]bool)
	for _, r := range l.records {
		for _, n := range r.losses {
			if n.deaths > 0 && now.Before(n.until(l.cfg)) {
				all[n.target] = true
			}
		}
	}
	return all
}

// Survived withdraws what was held against requests for the loss of a target up to a
// time, since that start of the target has lived on. The caller must be sure of that: a
// target that has started again under its name answers as well.
func (l *List) Survived(now time.Time, target steering.Target, until time.Time) {
	l.withdraw(now, target, func(n loss) bool { return !n.at.After(until) })
}

// foundGone notes that a target was gone at a time, as a peer tells, and withdraws what
// is held against requests that it was given only later.
func (l *List) foundGone(now time.Time, target steering.Target, at time.Time) {
	if l.lives.foundGone(target, at) {
		l.withdraw(now, target, func(n loss) bool { return n.sent.After(at) })
	}
}

// withdraw takes back the losses of a target that are wrong ones, and tells peers.
func (l *List) withdraw(now time.Time, target steering.Target, wrong func(loss) bool) {
	for id, r := range l.records {
		for _, n := range r.losses {
			if n.target == target && n.deaths > 0 && wrong(n) {
				l.takeBack(now, r, target, n.at)
				l.changed = append(l.changed, Fact{ID: id, Target: target, Age: now.Sub(n.at)})
			}
		}
	}
}

// takeBack takes the losses of a target up to a time off a record. What is left of them
// keeps a late message from bringing them back.
func (l *List) takeBack(now time.Time, r *record, target steering.Target, until time.Time) {
	for i := range r.losses {
		n := &r.losses[i]
		if n.target == target && !n.at.After(until) {
			n.deaths, n.alone, n.takenBack = 0, false, until
		}
	}
	if r.signature != 0 && r.count(now, l.cfg, false) < l.cfg.Limit {
		l.sign(r, 0)
	}
}
