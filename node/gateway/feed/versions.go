package feed

import (
	"time"

	"heatherlock/steering/routes"
	"heatherlock/steering/storepos"
)

// ApplyConfigRead applies a read of the configuration from the store that saw the store at a position.
// t is nil if the store has no configuration newer than the position asked for. It reports whether t
// was put in force.
//
// A read that finds no newer version says nothing about those that peers know: the store may have been
// restored from a copy that lacks them, and the operator writes them again.
func (s *State) ApplyConfigRead(now time.Time, t *routes.Table, at storepos.Position) bool {
	s.configAt = storepos.Later(s.configAt, at)
	if t != nil {
		s.configRejected = false
	}
	return s.SetTable(now, t)
}

// NewestUnusable records that a read of the store that started at began found that this VM cannot use
// the newest configuration. If it had learned of a newer version before, it waits for it no longer. Peers are not told
// up to where this VM has read: one of another build may be able to use what this one cannot, and has to read it itself.
func (s *State) NewestUnusable(began time.Time) {
	s.configRejected = true
	if !s.behindSince.IsZero() && began.After(s.behindSince) {
		s.newest, s.behindSince = s.version(), time.Time{}
	}
}

// SetTable puts t in force if it is not nil and newer than the current configuration, and reports
// whether it did.
func (s *State) SetTable(now time.Time, t *routes.Table) bool {
	if t == nil || !t.Newer(s.table) {
		return false
	}
	s.allUnplaced = s.allUnplaced || !sameColdRates(s.table, t)
	s.table, s.tableSince = t, now
	s.behindSince = time.Time{}
	s.noteVersion(now, t.Version)
	return true
}

// noteVersion records that a version exists.
func (s *State) noteVersion(now time.Time, version uint64) {
	s.newest = max(s.newest, version)
	if s.newest > s.version() && s.behindSince.IsZero() {
		s.behindSince = now
	}
}

// Behind returns the newest configuration version known to exist and how long this VM has known of
// a version newer than the one in force. behind is false if it knows of none.
func (s *State) Behind(now time.Time) (newest uint64, late time.Duration, behind bool) {
	if s.behindSince.IsZero() {
		return s.newest, 0, false
	}
	return s.newest, now.Sub(s.behindSince), true
}

// sameColdRates reports whether the cold targets of all services may be sent as much with one
// configuration as with another.
func sameColdRates(a, b *routes.Table) bool {
	if a == nil || len(a.Services) != len(b.Services) {
		return false
	}
	for name, service := range b.Services {
		other := a.Services[name]
		if other == nil || service == nil || other.ColdRate != service.ColdRate {
			return false
		}
	}
	return true
}
