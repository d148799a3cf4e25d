package feed

import (
	"sort"
	"time"

	"heatherlock/steering"
	"heatherlock/steering/departure"
	"heatherlock/steering/storepos"
)

// Digest returns a digest of the state to send to peers.
func (s *State) Digest(now time.Time) Digest {
	m := Digest{Epoch: s.at.Epoch, Revision: s.at.Revision, Content: s.contentHash, ColdRevision: s.revisionOf(s.coldAt), ConfigRevision: s.revisionOf(s.configAt),
		EvacuationRevision: s.revisionOf(s.evacuationsAt), Config: s.version(), Newest: s.newest, AgeMs: now.Sub(s.readAt).Milliseconds()}
	if s.readAt.IsZero() || s.inconsistent {
		return Digest{Config: m.Config, Newest: m.Newest} // peers cannot rely on the other fields
	}
	if s.configRejected {
		m.ConfigRevision = 0
	}
	for zone := range s.evacuated {
		m.Evacuated = append(m.Evacuated, zone)
	}
	sort.Slice(m.Evacuated, func(i, j int) bool { return m.Evacuated[i] < m.Evacuated[j] })
	return m
}

// revisionOf returns the revision of a position, or 0 if its epoch is not that of the targets.
func (s *State) revisionOf(p storepos.Position) int64 {
	if p.Epoch != s.at.Epoch {
		return 0
	}
	return p.Revision
}

// position returns the position of one of the digest's revisions, and the zero position for 0.
func (m Digest) position(revision int64) storepos.Position {
	if revision == 0 {
		return storepos.Position{}
	}
	return storepos.Position{Epoch: m.Epoch, Revision: revision}
}

// readAt returns when the read of the store began that the digest is based on.
func (m Digest) readAt(now time.Time) time.Time {
	return now.Add(-time.Duration(m.AgeMs) * time.Millisecond)
}

// inOwnEpoch returns an epoch that a peer names, or that of the state if the peer is of a build that
// names none.
func (s *State) inOwnEpoch(epoch uint64) uint64 {
	if epoch == 0 {
		return s.at.Epoch
	}
	return epoch
}

// version returns the version of the configuration in force, or 0 if there is none.
func (s *State) version() uint64 {
	if s.table == nil {
		return 0
	}
	return s.table.Version
}

// Merge applies as much of a peer's digest as it can without further data. pull reports whether the
// peer has newer targets, which should be requested from it; changed reports whether targets or the
// evacuated zones changed. Behind reports whether the peer's digest named a newer configuration: targets and
// configuration are fetched separately because a large configuration can take long to transfer, and
// the notice that a target is leaving must not wait for it.
func (s *State) Merge(now time.Time, m Digest) (pull, changed bool) {
	s.noteVersion(now, max(m.Config, m.Newest))
	changed = s.EndHolds(now)
	if m.Revision == 0 {
		return false, changed
	}
	m.Epoch = s.inOwnEpoch(m.Epoch)
	at := m.position(m.Revision)
	if evacuationsAt := m.position(m.EvacuationRevision); evacuationsAt.After(s.evacuationsAt) {
		changed = s.SetEvacuations(now, m.Evacuated, evacuationsAt) || changed
	}
	if m.Config == s.version() {
		s.configAt = storepos.Later(s.configAt, m.position(m.ConfigRevision))
	}
	if at.Before(s.at) {
		return false, changed
	}
	newer := at.After(s.at)
	if s.at.IsZero() {
		s.historyStart = at
	}
	if newer && m.position(m.ColdRevision).After(s.at) && !s.at.IsZero() {
		return true, changed
	}
	if m.Content != s.contentHash {
		// At the same position two VMs can differ only in whether they still keep a target whose
		// heartbeats are missing. Each VM resolves that by itself.
		return newer, changed
	}
	s.noteGap(now, m.readAt(now))
	s.advance(now, at)
	if s.inconsistent {
		s.inconsistent, s.historyStart = false, at // equal hashes show that the targets are correct after all
	}
	if max(m.Config, m.Newest) == s.newest {
		s.adoptAge(now, m, newer)
	}
	return false, changed
}

// minAgeDifference is how much younger than the local read a peer's read at the same position must
// be to count as a different read. It has to exceed the total transit time of the digests that
// carried one read (spec/digest.pml): the VM that reads sends to all others itself, so a read
// passes through one or two VMs, and the longest one-way transit between regions takes 70 ms.
const minAgeDifference = 400 * time.Millisecond

// adoptAge adopts the age of a peer's read if that is a later read than the local one.
//
// A digest does not age in transit. If every younger age were adopted, two VMs that exchange the
// same read would make it younger with each exchange, and none of them would notice that no VM
// reads the store any more. So a read counts as later only if it saw a later position, or is
// younger by more than the transit time.
func (s *State) adoptAge(now time.Time, m Digest, newer bool) {
	age := time.Duration(m.AgeMs) * time.Millisecond
	if own, ok := s.Age(now); newer || !ok || age+minAgeDifference < own {
		s.MarkRead(now.Add(-age))
	}
}

// Update is what one entry VM sends another on request: the changes after a position that the other
// VM has, or all targets.
type Update struct {
	Digest Digest `json:"digest"`
	// Since is the revision after which Entries and Gone hold all changes, and SinceEpoch its epoch. 0
	// means that Entries holds all targets.
	Since      int64             `json:"since,omitempty"`
	SinceEpoch uint64            `json:"sinceEpoch,omitempty"`
	Entries    []Entry           `json:"entries,omitempty"`
	Gone       []steering.Target `json:"gone,omitempty"`
	// Departures are those of Gone, and of the Entries that get no requests although they allow them. Builds before
	// this field send none.
	Departures []departure.Departure `json:"departures,omitempty"`
}

// since returns the position after which the update holds all changes; zero if it holds all targets.
func (k Update) since() storepos.Position {
	return storepos.Position{Epoch: k.SinceEpoch, Revision: k.Since}
}

// KnownPosition returns the position to send to a peer to request the changes after it; the zero
// position requests all targets.
func (s *State) KnownPosition() (since storepos.Position) {
	if s.inconsistent {
		return storepos.Position{}
	}
	return s.at
}

// UpdateSince returns the update for a peer whose targets are those of position since. It holds all
// targets if since is zero or older than the recorded history of changes.
func (s *State) UpdateSince(now time.Time, since storepos.Position) Update {
	k := Update{Digest: s.Digest(now)}
	if since.Revision == 0 {
		s.addAll(now, &k)
		return k
	}
	since.Epoch = s.inOwnEpoch(since.Epoch)
	if since.Before(s.historyStart) {
		s.addAll(now, &k)
		return k
	}
	k.Since, k.SinceEpoch = since.Revision, since.Epoch
	names, known := s.history.since(since)
	if !known || s.inconsistent {
		names = s.allNames()
	}
	s.addChanges(now, &k, names)
	return k
}

// addAll adds all targets to an update.
func (s *State) addAll(now time.Time, k *Update) {
	for name := range s.targets {
		k.Entries = append(k.Entries, s.entryFor(now, name))
		s.addDeparture(k, name)
	}
}

// addDeparture adds the departure of a target to an update, if the update does not show it.
func (s *State) addDeparture(k *Update, name steering.Target) {
	t := s.targets[name]
	if d, known := s.lasting.departures.Of(name); known && (t == nil || !t.Leaving && s.lasting.closes(t)) {
		k.Departures = append(k.Departures, d)
	}
}

// allNames returns the names of all targets, known and removed.
func (s *State) allNames() []steering.Target {
	names := make([]steering.Target, 0, len(s.targets)+len(s.removed))
	for name := range s.targets {
		names = append(names, name)
	}
	for name := range s.removed {
		if s.targets[name] == nil {
			names = append(names, name)
		}
	}
	return names
}

// addChanges adds to an update those of the named targets that changed after its position.
func (s *State) addChanges(now time.Time, k *Update, names []steering.Target) {
	since := k.since()
	for _, name := range names {
		if t := s.targets[name]; t != nil {
			if t.changed.After(since) {
				k.Entries = append(k.Entries, s.entryFor(now, name))
				s.addDeparture(k, name)
			}
		} else if e, found := s.removed[name]; found && e.at.After(since) {
			k.Gone = append(k.Gone, name)
			s.addDeparture(k, name)
		}
	}
}

// entryFor returns the entry of a target with times that count from now, since clocks of VMs differ.
func (s *State) entryFor(now time.Time, name steering.Target) Entry {
	e := *s.targets[name]
	e.ColdFor = max(e.coldUntil.Sub(now), 0)
	if e.Missing {
		e.MissingFor = max(s.missing[name].Sub(now), time.Millisecond)
	}
	return e
}

// Apply applies a peer's update and reports whether anything changed.
func (s *State) Apply(now time.Time, k Update) bool {
	changed := false
	s.noteVersion(now, max(k.Digest.Config, k.Digest.Newest))
	k.Digest.Epoch, k.SinceEpoch = s.inOwnEpoch(k.Digest.Epoch), s.inOwnEpoch(k.SinceEpoch)
	if evacuationsAt := k.Digest.position(k.Digest.EvacuationRevision); evacuationsAt.After(s.evacuationsAt) {
		changed = s.SetEvacuations(now, k.Digest.Evacuated, evacuationsAt)
	}
	at := k.Digest.position(k.Digest.Revision)
	if !at.After(s.at) || k.Since != 0 && k.since().After(s.at) {
		return changed // another read or update was faster
	}
	if s.at.IsZero() {
		s.historyStart = at
	}
	s.noteGap(now, k.Digest.readAt(now))
	known := s.at
	s.noteDepartures(now, k.Departures)
	gone := s.goneAmong(now, k.Entries, at)
	names := s.applyEntries(now, k)
	s.advance(now, at)
	changed = s.recordChanges(now, names) || changed
	s.noteDepartures(now, gone)
	changed = changed || len(gone) > 0
	s.coldAt = storepos.Later(s.coldAt, k.Digest.position(k.Digest.ColdRevision))
	s.inconsistent = k.Since != 0 && s.contentHash != k.Digest.Content
	if s.inconsistent {
		// The targets now match no position of the store, so the next update must hold all targets.
		// This happens if the sender adopted a later position because the hashes were equal, and so
		// never saw a target that was added and removed in between, or if this VM had read changes that
		// were lost when the store was restored.
		s.at = known
		s.history.reset(at)
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
		missingFor := e.MissingFor
		e.ColdFor, e.MissingFor = 0, 0
		s.shareStrings(&e.Target)
		old := s.targets[e.Name]
		if old != nil && e.Generation < old.Generation || old == nil && e.Generation < s.removed[e.Name].generation {
			received[e.Name] = true
			continue // the entry of an earlier process, which has ended
		}
		if old != nil && !e.Word().After(old.Word()) && old.coldUntil.After(e.coldUntil) {
			e.coldUntil = old.coldUntil // only a later write says that the target is warm
		}
		s.keepMissing(now, e, missingFor)
		if old == nil || old.hash() != e.hash() || old.Zone != e.Zone || e.coldUntil.After(old.coldUntil.Add(minColdExtension)) || s.lasting.closes(old) {
			names = append(names, e.Name)
		} else {
			e.changed = old.changed
		}
		s.targets[e.Name] = &e
		received[e.Name] = true
	}
	for _, name := range k.Gone {
		if s.remove(now, name) {
			names = append(names, name)
		}
	}
	if k.Since != 0 {
		return names
	}
	for name := range s.targets {
		if !received[name] && s.remove(now, name) {
			names = append(names, name)
		}
	}
	return names
}
