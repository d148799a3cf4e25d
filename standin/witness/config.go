package witness

import (
	"slices"
	"time"
)

// Stop is a planned stop of a target, as its operator saw it.
type Stop struct {
	Target string
	// Accepted is when the operators' API confirmed the object.
	Accepted time.Time
}

// Stopped records a planned stop.
func (w *Witness) Stopped(s Stop) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stops = append(w.stops, s)
}

// configRecord follows the configuration versions that entry VMs report.
type configRecord struct {
	accepted []acceptedConfig
	seen     map[string]int64 // highest version seen per incarnation of an entry VM
	reverts  int
}

type acceptedConfig struct {
	version int64
	at      time.Time
	inForce map[string]time.Time
	expect  []string
}

func newConfigRecord() configRecord {
	return configRecord{seen: map[string]int64{}}
}

// ConfigAccepted records that a change was accepted and has to come into force
// on the entry VMs named.
func (w *Witness) ConfigAccepted(version int64, at time.Time, entryVMs []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	a := acceptedConfig{version: version, at: at, inForce: map[string]time.Time{}, expect: entryVMs}
	w.configs.accepted = append(w.configs.accepted, a)
}

// ConfigSeen records the version an entry VM says is in force.
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

// ConfigGone drops an entry VM whose process ended: nothing can be in force
// there any more.
func (w *Witness) ConfigGone(entryVM string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range w.configs.accepted {
		a := &w.configs.accepted[i]
		a.expect = slices.DeleteFunc(slices.Clone(a.expect), func(vm string) bool { return vm == entryVM })
	}
}

// ConfigPending reports whether an accepted change is not yet seen everywhere.
func (w *Witness) ConfigPending() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.configs.accepted {
		for _, vm := range a.expect {
			if _, ok := a.inForce[vm]; !ok {
				return true
			}
		}
	}
	return false
}
