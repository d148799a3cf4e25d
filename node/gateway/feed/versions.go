package feed

import (
	"time"

	"heatherlock/steering/routes"
)

// Configured takes in a configuration that was read from the store, which may be nil if
// none is newer than at the revision asked about. It reports whether it is newer.
//
// A read that began after this VM had heard of a newer version, and found none, shows that
// there is none: the store was restored, or the version was never accepted.
func (s *State) Configured(now, began time.Time, t *routes.Table, revision int64) bool {
	s.configured = max(s.configured, revision)
	changed := s.TakeTable(now, t)
	if !s.behindSince.IsZero() && began.After(s.behindSince) {
		s.newest, s.behindSince = s.version(), time.Time{}
	}
	return changed
}

// TakeTable takes in a configuration from peers, which may be nil, and reports whether it
// is newer.
func (s *State) TakeTable(now time.Time, t *routes.Table) bool {
	if t == nil || !t.Newer(s.table) {
		return false
	}
	s.table, s.tableSince = t, now
	s.behindSince = time.Time{}
	s.heardOf(now, t.Version)
	return true
}

// heardOf notes that a version exists.
func (s *State) heardOf(now time.Time, version uint64) {
	s.newest = max(s.newest, version)
	if s.newest > s.version() && s.behindSince.IsZero() {
		s.behindSince = now
	}
}

// Behind returns the newest version known to exist, and for how long this VM has known
// of one newer than that in force; behind is false if it knows of none.
func (s *State) Behind(now time.Time) (newest uint64, late time.Duration, behind bool) {
	if s.behindSince.IsZero() {
		return s.newest, 0, false
	}
	return s.newest, now.Sub(s.behindSince), true
}
