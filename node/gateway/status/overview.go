package status

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"heatherlock/steering"
)

// staleAfter is the age at which a VM's last heartbeat no longer says which configuration the VM
// uses now. Within that time a live VM of the same zone sends several heartbeats, and a change
// comes into force everywhere.
const staleAfter = 5 * time.Second

// Row says which configuration one VM uses, as reported by the VM itself or by another one that
// receives its heartbeats.
type Row struct {
	Peer
	// From is the VM that reported it.
	From steering.VM `json:"from"`
	// Own has further details. It is set if the VM reported them itself.
	Own *Config `json:"own,omitempty"`
}

// Rows returns what the VM reports about itself and about all others on record.
func (s *Status) Rows() []Row {
	own := s.Config
	rows := []Row{{From: s.VM, Own: &own, Peer: Peer{VM: s.VM, Zone: s.Zone, Region: s.Region, Live: true, Ready: s.Ready, Leaving: s.Leaving,
		ConfigVersion: s.ConfigVersion, Newest: own.Newest, Content: own.Content, Wait: own.Wait, InForceMs: own.InForceMs}}}
	for _, p := range s.Fleet {
		rows = append(rows, Row{Peer: p, From: s.VM})
	}
	return rows
}

// Outlier is a VM that does not use the newest configuration with the content that most VMs have,
// and the reason.
type Outlier struct {
	Row
	Why string `json:"why"`
}

// ZoneVersion counts the VMs of a zone that use a version with the same content.
type ZoneVersion struct {
	Zone    steering.Zone `json:"zone"`
	Version uint64        `json:"version"`
	Content string        `json:"content"`
	VMs     int           `json:"vms"`
	// InForceMs is how long the version has been in force on all of these VMs.
	InForceMs int64 `json:"in_force_ms"`
}

// Overview says which configuration the VMs of a fleet use.
type Overview struct {
	// Newest is the newest version that any VM knows to exist.
	Newest uint64 `json:"newest"`
	// Live counts the VMs that send heartbeats, Gone those on record that do not or that are
	// leaving.
	Live     int           `json:"live"`
	Gone     int           `json:"gone"`
	Zones    []ZoneVersion `json:"zones"`
	Outliers []Outlier     `json:"outliers"`
	Rejected []Rejected    `json:"rejected"`
}

// Agree reports whether there is a live VM and all live VMs use the newest version with the same
// content.
func (o Overview) Agree() bool { return o.Live > 0 && len(o.Outliers) == 0 }

// Summarize derives an overview from rows, which may hold several rows about a VM. What a VM
// reports about itself takes precedence over what others report, and of the others the one with the
// latest heartbeat counts.
func Summarize(rows []Row) Overview {
	best := make(map[steering.VM]Row)
	for _, r := range rows {
		if known, ok := best[r.VM]; !ok || r.preferredTo(known) {
			best[r.VM] = r
		}
	}
	var o Overview
	all := make([]Row, 0, len(best))
	for _, r := range best {
		all = append(all, r)
		o.Newest = max(o.Newest, r.ConfigVersion, r.Newest)
	}
	slices.SortFunc(all, func(a, b Row) int { return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.VM, b.VM)) })
	usual := majorityContent(all, o.Newest)
	counts := make(map[ZoneVersion]*ZoneVersion)
	for _, r := range all {
		if !r.Live || r.Leaving {
			o.Gone++
			continue
		}
		o.Live++
		o.count(counts, r)
		if reason := r.reason(o.Newest, usual); reason != "" {
			o.Outliers = append(o.Outliers, Outlier{r, reason})
		}
		if r.Own != nil && r.Own.Rejected != nil && !slices.Contains(o.Rejected, *r.Own.Rejected) {
			o.Rejected = append(o.Rejected, *r.Own.Rejected)
		}
	}
	for _, c := range counts {
		o.Zones = append(o.Zones, *c)
	}
	slices.SortFunc(o.Zones, func(a, b ZoneVersion) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(b.Version, a.Version), cmp.Compare(a.Content, b.Content))
	})
	return o
}

// preferredTo reports whether a row about a VM is more reliable than another one.
func (r Row) preferredTo(o Row) bool {
	if (r.Own != nil) != (o.Own != nil) {
		return r.Own != nil
	}
	if (r.ToldMs < 0) != (o.ToldMs < 0) {
		return o.ToldMs < 0
	}
	return r.ToldMs < o.ToldMs
}

// count adds a row to the count of its zone, version and content.
func (o *Overview) count(counts map[ZoneVersion]*ZoneVersion, r Row) {
	key := ZoneVersion{Zone: r.Zone, Version: r.ConfigVersion, Content: r.Content}
	c := counts[key]
	if c == nil {
		c = &ZoneVersion{Zone: r.Zone, Version: r.ConfigVersion, Content: r.Content, InForceMs: r.InForceMs}
		counts[key] = c
	}
	c.VMs++
	c.InForceMs = min(c.InForceMs, r.InForceMs)
}

// majorityContent returns the content that most VMs with a version have, or the empty string if no
// VM reports one.
func majorityContent(all []Row, version uint64) string {
	counts := make(map[string]int)
	usual := ""
	for _, r := range all {
		if r.ConfigVersion != version || r.Content == "" {
			continue
		}
		if counts[r.Content]++; usual == "" || counts[r.Content] > counts[usual] {
			usual = r.Content
		}
	}
	return usual
}

// reason returns why a VM is an outlier, or the empty string if it uses the newest version with the
// usual content.
func (r Row) reason(newest uint64, usual string) string {
	age := time.Duration(r.ToldMs) * time.Millisecond
	switch {
	case r.ToldMs < 0 && r.Own == nil:
		return "on record, and never heard by " + string(r.From)
	case r.Own == nil && age > staleAfter:
		return fmt.Sprintf("last heard %d ms ago by %s", r.ToldMs, r.From)
	case r.ConfigVersion == newest && r.Content != "" && r.Content != usual:
		return "same version, other content"
	case r.ConfigVersion == newest:
		return ""
	case r.ConfigVersion == 0:
		return "no configuration yet" + waitSuffix(r.Wait)
	case r.Own != nil && r.Own.BehindMs > 0:
		return fmt.Sprintf("behind for %d ms%s%s", r.Own.BehindMs, waitSuffix(r.Wait), missingParts(r.Own))
	case r.Newest > r.ConfigVersion:
		return "behind" + waitSuffix(r.Wait)
	}
	return "does not know of the newest"
}

// waitSuffix returns what a VM is waiting for as the end of a reason.
func waitSuffix(wait string) string {
	if wait == "" {
		return ""
	}
	return ": " + wait
}

// missingParts returns how many parts of a configuration have not been received as the end of a
// reason.
func missingParts(c *Config) string {
	if c.Parts == 0 {
		return ""
	}
	return fmt.Sprintf(", %d of %d parts missing", c.PartsMissing, c.Parts)
}
