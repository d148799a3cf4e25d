package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"heatherlock/steering"
)

// Report is the state of a whole zone as reported by one of its members.
type Report struct {
	Reporter      ID
	Beat          uint32 // heartbeat number of the reporter
	ConfigVersion int64  // lowest in force in the zone
	Doubted       []ID   // members that the reporter considers lost
}

type report struct {
	Report
	receivedAt time.Time
}

// RecordReport records a report of another member and reports whether the configuration
// version of the zone changed. Only the report that arrived last is kept for each
// zone. RecordReport ignores a report that is not newer than the last one of the same
// reporter, so that relayed copies do not make an old report look recent, and a report
// of a reporter whose Fact has not been merged yet.
func (v *View) RecordReport(r Report, now time.Time) (advanced bool) {
	e, ok := v.ids[r.Reporter]
	if !ok || e.VM == v.self || r.Beat <= e.reportHeartbeat {
		return false
	}
	e.reportHeartbeat = r.Beat
	old := v.reports[e.Location.Zone]
	advanced = old == nil || old.ConfigVersion != r.ConfigVersion
	v.reports[e.Location.Zone] = &report{Report: r, receivedAt: now}
	return advanced
}

// OwnReport returns this observer's report of its own zone.
func (v *View) OwnReport(beat uint32, now time.Time) Report {
	r := Report{Reporter: v.entries[v.self].id, Beat: beat, ConfigVersion: v.entries[v.self].ConfigVersion}
	for _, e := range v.inZone(v.zone) {
		m := v.member(e, now)
		switch {
		case e.Known() && e.Status != Gone && e.silentInZone(m.State, now):
			r.Doubted = append(r.Doubted, e.id)
		case m.State == StateLive:
			r.ConfigVersion = min(r.ConfigVersion, e.ConfigVersion)
		}
	}
	return r
}

const (
	// failedCallMinSilence is the time without heartbeats from which a single failed
	// call makes a member suspect.
	failedCallMinSilence = time.Second
	// reportMinSilence is the time without heartbeats from which the report of the
	// zone lists a suspect member as lost. Relaying a heartbeat through the zone may
	// take most of this time.
	reportMinSilence = 3 * time.Second
)

// silentInZone reports whether the whole zone, and not only this observer, has lost
// contact with a member. It is false for a member that this observer cannot reach but
// whose heartbeats keep arriving.
func (e *entry) silentInZone(state State, now time.Time) bool {
	if state != StateSuspect && state != StateGone {
		return false
	}
	return now.Sub(latest(e.receivedAt, e.learnedAt)) >= reportMinSilence
}

// Reports returns up to limit reports of other zones that have not expired. It starts
// at offset modulo their number; callers increase offset to rotate through the reports.
func (v *View) Reports(limit, offset int, now time.Time) []Report {
	var fresh []Report
	for _, zone := range slices.Sorted(maps.Keys(v.reports)) {
		r := v.reports[zone]
		if zone != v.zone && now.Sub(r.receivedAt) <= v.params.ZoneSilentAfter {
			fresh = append(fresh, r.Report)
		}
	}
	if len(fresh) <= limit {
		return fresh
	}
	start := offset % len(fresh)
	return append(slices.Clone(fresh[start:]), fresh[:start]...)[:limit]
}

// ZoneStatus is the state of a zone as this observer sees it.
type ZoneStatus struct {
	Zone steering.Zone
	// LastReport is when the last report of the zone arrived, or zero if none has. For
	// the observer's zone it is the current time.
	LastReport time.Time
	// ConfigVersion is the lowest configuration version in force in the zone.
	ConfigVersion int64
	// Silent reports that no report has arrived for Params.ZoneSilentAfter.
	Silent bool
}

// Zones returns the status of every zone that has a member, sorted by name.
func (v *View) Zones(now time.Time) []ZoneStatus {
	zones := map[steering.Zone]ZoneStatus{}
	for _, e := range v.entries {
		z := ZoneStatus{Zone: e.Location.Zone, Silent: true}
		if r := v.reports[z.Zone]; r != nil {
			z.LastReport, z.ConfigVersion = r.receivedAt, r.ConfigVersion
			z.Silent = now.Sub(r.receivedAt) > v.params.ZoneSilentAfter
		}
		zones[z.Zone] = z
	}
	own := v.OwnReport(0, now)
	zones[v.zone] = ZoneStatus{Zone: v.zone, LastReport: now, ConfigVersion: own.ConfigVersion}
	return slices.SortedFunc(maps.Values(zones), func(a, b ZoneStatus) int { return cmp.Compare(a.Zone, b.Zone) })
}
