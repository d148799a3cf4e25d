package feed

import (
	"sort"
	"time"

	"heatherlock/steering"
)

// Digest returns a digest of the state to send to peers.
func (s *State) Digest(now time.Time) Digest {
	m := Digest{Revision: s.revision, Content: s.contentHash, ColdRevision: s.coldRevision, ConfigRevision: s.configRevision, EvacuationRevision: s.evacuationRevision,
		Config: s.version(), Newest: s.newest, AgeMs: now.Sub(s.readAt).Milliseconds()}
	if s.readAt.IsZero() || s.inconsistent {
		return Digest{Config: m.Config, Newest: m.Newest} // peers cannot rely on the other fields
	}
	for zone := range s.evacuated {
		m.Evacuated = append(m.Evacuated, zone)
	}
	sort.Slice(m.Evacuated, func(i, j int) bool { return m.Evacuated[i] < m.Evacuated[j] })
	return m
}

// version returns the version of the configuration in force, or 0 if there is none.
func (s *State) version() uint64 {
	if s.table == nil {
		return 0
	}
	return s.table.Version
}

// Merge applies as much of a peer's digest as it can without further data. pull reports whether the
// peer has newer targets, which should be requested from it; changed reports whether the evacuated
// zones changed. Behind reports whether the peer's digest named a newer configuration: targets and
// configuration are fetched separately because a large configuration can take long to transfer, and
// the notice that a target is leaving must not wait for it.
func (s *State) Merge(now time.Time, m Digest) (pull, changed bool) {
	s.noteVersion(now, max(m.Config, m.Newest))
	if m.Revision == 0 {
		return false, false
	}
	if m.EvacuationRevision > s.evacuationRevision {
		changed = s.SetEvacuations(now, m.Evacuated, m.EvacuationRevision)
	}
	if m.Config == s.version() {
		s.configRevision = max(s.configRevision, m.ConfigRevision)
	}
	if m.Revision < s.revision {
		return false, changed
	}
	newer := m.Revision > s.revision
	if s.revision == 0 {
		s.historyStart = m.Revision
	}
	if newer && m.ColdRevision > s.revision && s.revision > 0 {
		return true, changed
	}
	if m.Content != s.contentHash {
		// At the same revision two VMs can differ only in whether they still keep a target whose
		// heartbeats are missing. Each VM resolves that by itself.
		return newer, changed
	}
	s.revision = m.Revision
	if s.inconsistent {
		s.inconsistent, s.historyStart = false, m.Revision // equal hashes show that the targets are correct after all
	}
	if max(m.Config, m.Newest) == s.newest {
		s.adoptAge(now, m, newer)
	}
	return false, changed
}

// minAgeDifference is how much younger than the local read a peer's read at the same revision must
// be to count as a different read. It has to exceed the total transit time of the digests that
// carried one read (spec/digest.pml): the VM that reads sends to all others itself, so a read
// passes through one or two VMs, and the longest one-way transit between regions takes 70 ms.
const minAgeDifference = 400 * time.Millisecond

// adoptAge adopts the age of a peer's read if that is a later read than the local one.
//
// A digest does not age in transit. If every younger age were adopted, two VMs that exchange the
// same read would make it younger with each exchange, and none of them would notice that no VM
// reads the store any more. So a read counts as later only if it saw a newer revision, or is
// younger by more than the transit time.
func (s *State) adoptAge(now time.Time, m Digest, newer bool) {
	age := time.Duration(m.AgeMs) * time.Millisecond
	if own, ok := s.Age(now); newer || !ok || age+minAgeDifference < own {
		s.MarkRead(now.Add(-age))
	}
}

// Update is what one entry VM sends another on request: the changes after a revision that the other
// VM has, or all targets.
type Update struct {
	Digest Digest `json:"digest"`
	// Since is the revision after which Entries and Gone hold all changes. 0 means that Entries
	// holds all targets.
	Since   int64             `json:"since,omitempty"`
	Entries []Entry           `json:"entries,omitempty"`
	Gone    []steering.Target `json:"gone,omitempty"`
}

// KnownRevision returns the revision to send to a peer to request the changes after it; 0 requests
// all targets.
func (s *State) KnownRevision() (since int64) {
	if s.inconsistent {
		return 0
	}
	return s.revision
}

// UpdateSince returns the update for a peer whose targets are those of revision since. It holds all
// targets if since is 0 or older than the recorded history of changes.
func (s *State) UpdateSince(now time.Time, since int64) Update {
	k := Update{Digest: s.Digest(now)}
	if since >= s.historyStart && since > 0 {
		k.Since = since
	}
	if names, known := s.history.since(since); known && k.Since > 0 && !s.inconsistent {
		s.addChanges(now, &k, names)
		return k
	}
	for name, t := range s.targets {
		if t.changed > k.Since || k.Since == 0 {
			k.Entries = append(k.Entries, s.entryFor(now, name))
		}
	}
	for name, e := range s.removed {
		if k.Since > 0 && e.revision > k.Since {
			k.Gone = append(k.Gone, name)
		}
	}
	return k
}

// addChanges adds to an update those of the named targets that changed after its revision.
func (s *State) addChanges(now time.Time, k *Update, names []steering.Target) {
	for _, name := range names {
		if t := s.targets[name]; t != nil {
			if t.changed > k.Since {
				k.Entries = append(k.Entries, s.entryFor(now, name))
			}
		} else if e, found := s.removed[name]; found && e.revision > k.Since {
			k.Gone = append(k.Gone, name)
		}
	}
}

// entryFor returns the entry of a target with its remaining cold time as of now.
func (s *State) entryFor(now time.Time, name steering.Target) Entry {
	e := *s.targets[name]
	e.ColdFor = max(e.coldUntil.Sub(now), 0)
	return e
}

// Apply applies a peer's update and reports whether anything changed.
func (s *State) Apply(now time.Time, k Update) bool {
	changed := false
	s.noteVersion(now, max(k.Digest.Config, k.Digest.Newest))
	if k.Digest.EvacuationRevision > s.evacuationRevision {
		changed = s.SetEvacuations(now, k.Digest.Evacuated, k.Digest.EvacuationRevision)
	}
	if k.Digest.Revision <= s.revision || k.Since > s.revision {
		return changed // another read or update was faster
	}
	if s.revision == 0 {
		s.historyStart = k.Digest.Revision
	}
	known := s.revision
	names := s.applyEntries(now, k)
	s.revision = k.Digest.Revision
	changed = s.recordChanges(names) || changed
	s.coldRevision = max(s.coldRevision, k.Digest.ColdRevision)
	s.inconsistent = k.Since != 0 && s.contentHash != k.Digest.Content
	if s.inconsistent {
		// The targets now match no revision of the store, so the next update must hold all targets.
		// This happens if the sender adopted a later revision because the hashes were equal, and so
		// never saw a target that was added and removed in between.
		s.revision = known
		s.history.reset(k.Digest.Revision)
		return changed
	}
	s.adoptAge(now, k.Digest, true)
	return changed
}

// minColdExtension is how much later than known a target's cold time must end for the target to
// count as changed. A smaller difference can come from the transit time of the update.
const minColdExtension = 500 * time.Millisecond

// applyEntries replaces the local entries with those of a peer's update and returns the names of
// the targets that changed.
func (s *State) applyEntries(now time.Time, k Update) []steering.Target {
	var names []steering.Target
	received := make(map[steering.Target]bool, len(k.Entries))
	for _, e := range k.Entries {
		e.coldUntil = coldUntil(now, e.ColdFor)
		e.ColdFor = 0
		s.shareStrings(&e.Target)
		if e.Missing {
			s.holdRemovalsUntil = maxTime(s.holdRemovalsUntil, now.Add(reappearWindow))
		}
		old := s.targets[e.Name]
		if old != nil && e.Generation < old.Generation || old == nil && e.Generation < s.removed[e.Name].generation {
			received[e.Name] = true
			continue // the entry of an earlier process, which has ended
		}
		if old == nil || old.hash() != e.hash() || old.Zone != e.Zone || e.coldUntil.After(old.coldUntil.Add(minColdExtension)) {
			names = append(names, e.Name)
		} else {
			e.changed = old.changed
		}
		s.targets[e.Name] = &e
		received[e.Name] = true
	}
	for _, name := range k.Gone {
		if s.drop(name) {
			names = append(names, name)
		}
	}
	if k.Since != 0 {
		return names
	}
	for name := range s.targets {
		if !received[name] && s.drop(name) {
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
