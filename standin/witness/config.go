package witness

import (
	"slices"
	"time"
)

// Stop is a planned stop of a target.
type Stop struct {
	Target string
	// Accepted is the time at which the operators' API accepted the planned stop.
	Accepted time.Time
}

// Stopped records a planned stop.
func (w *Witness) Stopped(s Stop) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stops = append(w.stops, s)
}

// configRecord holds the configuration versions that entry VMs report as in force.
type configRecord struct {
	accepted []acceptedConfig
	seen     map[string]int64 // highest reported version, by incarnation of an entry VM
	reverts  int
}

type acceptedConfig struct {
	version  int64
	at       time.Time
	inForce  map[string]time.Time
	expected []string
}

func newConfigRecord() configRecord {
	return configRecord{seen: map[string]int64{}}
}

// ConfigAccepted records that a configuration change was accepted and must come into
// force on entryVMs.
func (w *Witness) ConfigAccepted(version int64, at time.Time, entryVMs []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	a := acceptedConfig{version: version, at: at, inForce: map[string]time.Time{}, expected: entryVMs}
	w.configs.accepted = append(w.configs.accepted, a)
}

// ConfigSeen records the version that an entry VM reports as in force.
func (w *Witness) ConfigSeen(entryVM string, version int64, at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := &w.configs
	if version < c.seen[entryVM] {
		c.reverts++
	}
	c.seen[entryVM] = max(c.seen[entryVM], version)
	for _, a := range c.accepted {
		if _, known := a.inForce[entryVM]; !known && version >= a.version {
			a.inForce[entryVM] = at
		}
	}
}

// ConfigGone removes an entry VM whose process has ended from those on which accepted
// changes must come into force.
func (w *Witness) ConfigGone(entryVM string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range w.configs.accepted {
		a := &w.configs.accepted[i]
		a.expected = slices.DeleteFunc(slices.Clone(a.expected), func(vm string) bool { return vm == entryVM })
	}
}

// ConfigPending reports whether an expected entry VM has not yet reported an accepted
// change as in force.
func (w *Witness) ConfigPending() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.configs.accepted {
		for _, vm := range a.expected {
			if _, ok := a.inForce[vm]; !ok {
				return true
			}
		}
	}
	return false
}
