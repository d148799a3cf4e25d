package feed

import (
	"sort"
	"time"

	"heatherlock/steering"
	"heatherlock/steering/routes"
)

// Mark returns what is known, in short.
func (s *State) Mark(now time.Time) Mark {
	m := Mark{Revision: s.revision, Content: s.content, ConfigRevision: s.configured, EvacuationRevision: s.evacuation,
		AgeMs: now.Sub(s.readAt).Milliseconds()}
	if s.readAt.IsZero() {
		return Mark{}
	}
	if s.table != nil {
		m.Config = s.table.Version
	}
	for zone := range s.evacuated {
		m.Evacuated = append(m.Evacuated, zone)
	}
	sort.Slice(m.Evacuated, func(i, j int) bool { return m.Evacuated[i] < m.Evacuated[j] })
	return m
}

// version returns the version of the configuration, 0 without one.
func (s *State) version() uint64 {
	if s.table == nil {
		return 0
	}
	return s.table.Version
}

// Adopt takes in a peer's mark as far as that needs nothing further. pull tells
// that the peer knows more; changed that something changed here.
func (s *State) Adopt(now time.Time, m Mark) (pull, changed bool) {
	if m.Revision == 0 {
		return false, false
	}
	if m.EvacuationRevision > s.evacuation {
		changed = s.Evacuating(now, m.Evacuated, m.EvacuationRevision)
	}
	if m.Config > s.version() {
		return true, changed
	}
	if m.Config == s.version() {
		s.configured = max(s.configured, m.ConfigRevision)
	}
	if m.Revision < s.revision {
		return false, changed
	}
	if m.Content != s.content {
		return true, changed
	}
	newer := m.Revision > s.revision
	s.revision = m.Revision
	if m.Config == s.version() {
		s.freshBy(now, m, newer)
	}
	return false, changed
}

// ageMargin is how much younger a peer's read at the same revision has to be to
// count as another read: above what a mark spends on its way.
const ageMargin = 400 * time.Millisecond

// freshBy takes over the age of a peer's read.
//
// What goes wrong when any younger age is taken: a mark does not age on its way,
// so that two VMs which tell each other the same read make it younger each time.
// One would notice that nobody reads the store any more. A read counts as
// another only if it saw a newer revision, or is younger by more than the way.
func (s *State) freshBy(now time.Time, m Mark, newer bool) {
	age := time.Duration(m.AgeMs) * time.Millisecond
	if own, ok := s.Age(now); newer || !ok || age+ageMargin < own {
		s.Fresh(now.Add(-age))
	}
}

// Known is what one entry VM tells another: differences where the other's state
// is in the history, else everything.
type Known struct {
	Mark Mark `json:"mark"`
	// Since is the content that Entries and Gone are differences to; 0 means that
	// Entries are all.
	Since   uint64            `json:"since,omitempty"`
	Entries []Entry           `json:"entries,omitempty"`
	Gone    []steering.Target `json:"gone,omitempty"`
	Table   *routes.Table     `json:"table,omitempty"`
}

// Tell returns what a peer needs that has the targets of a content and the
// configuration of a version.
func (s *State) Tell(now time.Time, content, version uint64) Known {
	k := Known{Mark: s.Mark(now)}
	if s.version() > version {
		k.Table = s.table
	}
	if content == s.content {
		k.Since = content
		return k
	}
	names, found := s.since(content)
	if !found {
		for name := range s.targets {
			k.Entries = append(k.Entries, s.tell(now, name))
		}
		return k
	}
	k.Since = content
	for name := range names {
		if s.targets[name] == nil {
			k.Gone = append(k.Gone, name)
			continue
		}
		k.Entries = append(k.Entries, s.tell(now, name))
	}
	return k
}

// since returns the names that changed after a content; found is false if it is
// not in the history.
func (s *State) since(content uint64) (names map[steering.Target]bool, found bool) {
	for i := len(s.history) - 1; i >= 0; i-- {
		if s.history[i].after != content || content == 0 {
			continue
		}
		names = make(map[steering.Target]bool)
		for _, c := range s.history[i+1:] {
			for _, name := range c.names {
				names[name] = true
			}
		}
		return names, true
	}
	return nil, false
}

func (s *State) tell(now time.Time, name steering.Target) Entry {
	e := *s.targets[name]
	e.ColdFor = max(e.coldUntil.Sub(now), 0)
	return e
}

// Told takes in what a peer told. It reports whether anything changed.
func (s *State) Told(now time.Time, k Known) bool {
	changed := k.Table != nil && s.Configured(routes.Rebuild(k.Table), k.Mark.ConfigRevision)
	if k.Mark.EvacuationRevision > s.evacuation {
		changed = s.Evacuating(now, k.Mark.Evacuated, k.Mark.EvacuationRevision) || changed
	}
	if k.Mark.Revision < s.revision || k.Since != 0 && k.Since != s.content {
		return changed // overtaken by another read meanwhile
	}
	names := s.apply(now, k)
	newer := k.Mark.Revision > s.revision
	s.revision = k.Mark.Revision
	if k.Mark.Config <= s.version() {
		s.freshBy(now, k.Mark, newer)
	}
	return s.recorded(names) || changed
}

// apply puts a peer's entries in place of the own ones.
func (s *State) apply(now time.Time, k Known) []steering.Target {
	var names []steering.Target
	told := make(map[steering.Target]bool, len(k.Entries))
	for _, e := range k.Entries {
		e.coldUntil = coldUntil(now, e.ColdFor)
		e.ColdFor = 0
		if e.Missing {
			s.doubtUntil = maxTime(s.doubtUntil, now.Add(returnTime))
		}
		s.targets[e.Name] = &e
		told[e.Name] = true
		names = append(names, e.Name)
	}
	for _, name := range k.Gone {
		delete(s.targets, name)
		names = append(names, name)
	}
	if k.Since != 0 {
		return names
	}
	for name := range s.targets {
		if !told[name] {
			delete(s.targets, name)
			names = append(names, name)
		}
	}
	return names
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
