package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"heatherlock/steering"
)

// Report is what one member says of its whole zone.
type Report struct {
	Reporter      ID
	Beat          uint32
	ConfigVersion int64 // lowest in force in the zone
	Doubted       []ID
}

type report struct {
	Report
	heard time.Time
}

// HearReport takes in a report of another member. One report per zone is kept,
// the last that arrived. A report that its reporter has since renewed is
// ignored, so that relays do not make old news look fresh; so is one of a
// reporter whose fact has not come yet. It tells whether the zone's
// configuration changed.
func (v *View) HearReport(r Report, now time.Time) (advanced bool) {
	e, ok := v.ids[r.Reporter]
	if !ok || e.VM == v.self || r.Beat <= e.reportBeat {
		return false
	}
	e.reportBeat = r.Beat
	old := v.reports[e.Place.Zone]
	advanced = old == nil || old.ConfigVersion != r.ConfigVersion
	v.reports[e.Place.Zone] = &report{Report: r, heard: now}
	return advanced
}

// OwnReport is what this observer says of its zone.
func (v *View) OwnReport(beat uint32, now time.Time) Report {
	r := Report{Reporter: v.entries[v.self].id, Beat: beat, ConfigVersion: v.entries[v.self].ConfigVersion}
	for _, e := range v.inZone(v.zone) {
		m := v.member(e, now)
		switch {
		case e.Known() && e.Status != Gone && e.lost(m.State, now):
			r.Doubted = append(r.Doubted, e.id)
		case m.State == StateLive:
			r.ConfigVersion = min(r.ConfigVersion, e.ConfigVersion)
		}
	}
	return r
}

const (
	// lostAfter is the silence from which one failed call makes a member suspect.
	lostAfter = time.Second
	// reportAfter is the silence from which a member that the reporter cannot
	// reach is doubted in its report; a relayed beat may take most of it.
	reportAfter = 3 * time.Second
)

// lost tells whether the zone, not only this observer, has lost a member: one
// that this observer cannot reach but that beats on is not doubted.
func (e *entry) lost(state State, now time.Time) bool {
	if state != StateSuspect && state != StateGone {
		return false
	}
	return now.Sub(latest(e.heard, e.learned)) >= reportAfter
}

// Reports returns up to limit fresh reports of other zones. The offset rotates
// through them, so that each gets its turn.
func (v *View) Reports(limit, offset int, now time.Time) []Report {
	var fresh []Report
	for _, zone := range slices.Sorted(maps.Keys(v.reports)) {
		r := v.reports[zone]
		if zone != v.zone && now.Sub(r.heard) <= v.params.ZoneSilentAfter {
			fresh = append(fresh, r.Report)
		}
	}
	if len(fresh) <= limit {
		return fresh
	}
	start := offset % len(fresh)
	return append(slices.Clone(fresh[start:]), fresh[:start]...)[:limit]
}

// ZoneStatus is what this observer knows of a zone.
type ZoneStatus struct {
	Zone steering.Zone
	// Heard is when the zone's newest report arrived; now for the own zone,
	// zero when none has.
	Heard time.Time
	// ConfigVersion is the lowest version in force in the zone.
	ConfigVersion int64
	// Silent says that no report has arrived for Params.ZoneSilentAfter.
	Silent bool
}

// Zones returns the status of every zone with a member, in order of name.
func (v *View) Zones(now time.Time) []ZoneStatus {
	zones := map[steering.Zone]ZoneStatus{}
	for _, e := range v.entries {
		z := ZoneStatus{Zone: e.Place.Zone, Silent: true}
		if r := v.reports[z.Zone]; r != nil {
			z.Heard, z.ConfigVersion = r.heard, r.ConfigVersion
			z.Silent = now.Sub(r.heard) > v.params.ZoneSilentAfter
		}
		zones[z.Zone] = z
	}
	own := v.OwnReport(0, now)
	zones[v.zone] = ZoneStatus{Zone: v.zone, Heard: now, ConfigVersion: own.ConfigVersion}
	return slices.SortedFunc(maps.Values(zones), func(a, b ZoneStatus) int { return cmp.Compare(a.Zone, b.Zone) })
}
