package feed

import (
	"time"

	"heatherlock/steering"
	"heatherlock/steering/departure"
	"heatherlock/steering/storepos"
)

// recentRemoval is how long removals are told to every VM that asks for departures, whatever it knows. The store may
// complete a write seconds late and so list a target again that has removed its entry.
const recentRemoval = 10 * time.Second

// touch says for how long this VM has known all that happened in the store. Others rely on that when they ask it.
type touch struct {
	// since is the time from which on it has missed nothing; zero if it knows nothing yet.
	since time.Time
	// gap is set from the end of a gap until TakeGap is called. gapLength is how long it lasted, and before the
	// position known at its beginning.
	gap       bool
	gapLength time.Duration
	before    storepos.Position
	// lost is when the latest gap began. It is zero if that is the time before the first data, which another VM
	// can always make up for.
	lost time.Time
	// settled is set once a VM that was settled has told this one of departures since the gap.
	settled bool
}

// Gap is a time in which a VM learned nothing of the store. Departures in it may be unknown to the VM.
type Gap struct {
	Length time.Duration
	// Since is the position known at its beginning.
	Since storepos.Position
}

// OutOfTouchAfter returns how old what a VM knows may become before entries may have expired and departures been
// missed since; heartbeat is how often targets write theirs.
func OutOfTouchAfter(heartbeat time.Duration) time.Duration { return maxMissedHeartbeats * heartbeat }

func (s *State) outOfTouch(now time.Time) bool {
	return !s.readAt.IsZero() && now.Sub(s.readAt) > OutOfTouchAfter(s.heartbeatInterval)
}

// settled reports whether what the store does not list is gone. It may not be while targets have time to write their entries
// again after an outage or a restore of the store, and a VM that was out of touch itself cannot tell an outage from its
// own cut.
func (s *State) settled(now time.Time) bool {
	inTouch := !s.touch.since.IsZero() && !s.outOfTouch(now)
	return inTouch && (s.touch.settled || now.Sub(s.touch.since) >= reappearWindow) && !now.Before(s.restoredUntil)
}

// noteGap is called before data of targets is applied that reflects the store at a time, and records that this VM was out
// of touch until now. What another VM tells that is out of touch itself ends no gap, and neither does a read that is hardly
// later than the last one: VMs that are cut off together tell each other the same read.
func (s *State) noteGap(now, reflects time.Time) {
	switch {
	case now.Sub(reflects) > OutOfTouchAfter(s.heartbeatInterval):
	case s.touch.since.IsZero():
		s.touch = touch{since: now, gap: true, before: s.at}
	case s.touch.lost.Equal(s.readAt): // noted already
	case reflects.Sub(s.readAt) > OutOfTouchAfter(s.heartbeatInterval):
		s.touch = touch{since: now, gap: true, gapLength: now.Sub(s.readAt), before: s.at, lost: s.readAt}
	}
}

// TakeGap returns the gap that has ended since the last call; ended is false if there was none. The first data that a
// VM learns ends a gap as well.
func (s *State) TakeGap() (g Gap, ended bool) {
	g, ended = Gap{s.touch.gapLength, s.touch.before}, s.touch.gap
	s.touch.gap = false
	return g, ended
}

// Departures are the departures that a VM tells another.
type Departures struct {
	All []departure.Departure `json:"all,omitempty"`
	// Said are the targets that have said in a response that they leave, which the store may not know.
	Said []departure.Departure `json:"said,omitempty"`
	// KnownForMs is for how long the VM has known all that happened in the store, in milliseconds.
	KnownForMs int64 `json:"knownFor,omitempty"`
	// Settled is set if targets that the store does not list are gone. Builds before this field send none.
	Settled bool `json:"settled,omitempty"`
}

// DeparturesSince returns the departures that a VM may lack which has learned nothing since a position.
func (s *State) DeparturesSince(now time.Time, since storepos.Position) Departures {
	var told Departures
	if !s.touch.since.IsZero() && !s.outOfTouch(now) {
		told.KnownForMs = now.Sub(s.touch.since).Milliseconds()
	}
	told.Settled = s.settled(now)
	since.Epoch = s.inOwnEpoch(since.Epoch)
	s.lasting.departures.All(func(d departure.Departure) {
		gone, removed := s.removed[d.Target]
		if s.targets[d.Target] != nil || removed && (gone.at.After(since) || now.Sub(gone.noted) < recentRemoval) {
			told.All = append(told.All, d)
		}
	})
	return told
}

// NoteDepartures records departures that another VM knows, and reports whether any changes what gets requests.
// If that VM has known all since before the latest gap of this one, so does this one from now on.
func (s *State) NoteDepartures(now time.Time, told Departures) bool {
	before := len(s.unplaced)
	s.noteDepartures(now, told.All)
	if told.Settled && !now.Before(s.restoredUntil) {
		s.settle(now)
	}
	if since := now.Add(-time.Duration(told.KnownForMs) * time.Millisecond); since.Before(s.touch.since) && (s.touch.lost.IsZero() || !since.After(s.touch.lost)) {
		s.touch.since = since
	}
	return len(s.unplaced) > before
}

// settle closes the targets that are kept although the store does not list them, and ends the time for which further ones are.
func (s *State) settle(now time.Time) {
	s.touch.settled, s.holdRemovalsUntil = true, now
	var gone []departure.Departure
	for name := range s.missing {
		gone = append(gone, s.targets[name].departure(true))
	}
	s.noteDepartures(now, gone)
}

func (s *State) noteDepartures(now time.Time, all []departure.Departure) {
	for _, d := range all {
		t := s.targets[d.Target]
		if t != nil && t.Missing && d.Gone && d.Generation == t.Generation {
			// The store does not list the target, so that a word of it which the other VM lacks is from before.
			d.Beat = max(d.Beat, t.Beat)
		}
		if t != nil && t.Word().After(d.Word()) {
			continue
		}
		noted := s.lasting.departures.Note(d)
		if t == nil {
			if _, removed := s.removed[d.Target]; !removed {
				s.removed[d.Target] = removal{generation: d.Generation, noted: now}
			}
			continue
		}
		if d.Gone && s.lasting.relist(d.Target, s.silentUntil(now)) {
			s.decided.heldClosed = append(s.decided.heldClosed, d.Target)
			noted = true
		}
		if noted {
			s.unplaced[d.Target] = true
		}
	}
	s.trimRemoved()
}

// TakeGap returns the gap in what this VM knows that has ended since the last call; ended is false if there was none.
func (r *Reader) TakeGap() (g Gap, ended bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.TakeGap()
}

// DeparturesSince returns the departures that a VM may lack which has learned nothing since a position.
func (r *Reader) DeparturesSince(since storepos.Position) Departures {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.DeparturesSince(time.Now(), since)
}

// NoteDepartures records departures that the peer from knows.
func (r *Reader) NoteDepartures(from steering.VM, told Departures) {
	r.update(string(from), func() bool { return r.state.NoteDepartures(time.Now(), told) })
}
