package status

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"heatherlock/steering"
)

// longUnheard is how old a VM's last word may be before it says nothing of what the VM
// follows now: within it a live VM of the same zone writes several times, and a change
// is in force everywhere.
const longUnheard = 5 * time.Second

// Row is which configuration one VM follows, as it says itself or as one that hears it
// says.
type Row struct {
	Peer
	// From is the VM that says so.
	From steering.VM `json:"from"`
	// Own tells more; it is set if the VM said so itself.
	Own *Config `json:"own,omitempty"`
}

// Rows returns what a VM says of itself and of all others on record.
func (s *Status) Rows() []Row {
	own := s.Config
	rows := []Row{{From: s.VM, Own: &own, Peer: Peer{VM: s.VM, Zone: s.Zone, Region: s.Region, Live: true, Ready: s.Ready, Leaving: s.Leaving,
		ConfigVersion: s.ConfigVersion, Newest: own.Newest, Content: own.Content, Wait: own.Wait, InForceMs: own.InForceMs}}}
	for _, p := range s.Fleet {
		rows = append(rows, Row{Peer: p, From: s.VM})
	}
	return rows
}

// Outlier is a VM that does not follow what most follow, and why.
type Outlier struct {
	Row
	Why string `json:"why"`
}

// ZoneVersion counts the VMs of a zone that follow a version with a content.
type ZoneVersion struct {
	Zone    steering.Zone `json:"zone"`
	Version uint64        `json:"version"`
	Content string        `json:"content"`
	VMs     int           `json:"vms"`
	// InForceMs is how long it has been in force on all of these.
	InForceMs int64 `json:"in_force_ms"`
}

// Overview is which configuration a fleet follows.
type Overview struct {
	// Newest is the newest version that any VM knows to exist.
	Newest uint64 `json:"newest"`
	// Live VMs are heard; Gone ones are on record and not heard.
	Live     int           `json:"live"`
	Gone     int           `json:"gone"`
	Zones    []ZoneVersion `json:"zones"`
	Outliers []Outlier     `json:"outliers"`
	Rejected []Rejected    `json:"rejected"`
}

// Agree reports whether all live VMs follow the newest version, with the same content.
func (o Overview) Agree() bool { return o.Live > 0 && len(o.Outliers) == 0 }

// Summarize sums up rows, of which a VM may have several: what it says itself counts
// before what others say, and of those the one that heard it last.
func Summarize(rows []Row) Overview {
	best := make(map[steering.VM]Row)
	for _, r := range rows {
		if known, ok := best[r.VM]; !ok || r.betterThan(known) {
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
	usual := usualContent(all, o.Newest)
	counts := make(map[ZoneVersion]*ZoneVersion)
	for _, r := range all {
		if !r.Live || r.Leaving {
			o.Gone++
			continue
		}
		o.Live++
		o.count(counts, r)
		if why := r.why(o.Newest, usual); why != "" {
			o.Outliers = append(o.Outliers, Outlier{r, why})
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

func (r Row) betterThan(o Row) bool {
	if (r.Own != nil) != (o.Own != nil) {
		return r.Own != nil
	}
	if (r.ToldMs < 0) != (o.ToldMs < 0) {
		return o.ToldMs < 0
	}
	return r.ToldMs < o.ToldMs
}

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

// usualContent returns the content that most VMs with a version have; empty if none
// says it.
func usualContent(all []Row, version uint64) string {
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

// why says what sets a VM apart; empty if it follows the newest version.
func (r Row) why(newest uint64, usual string) string {
	unheard := time.Duration(r.ToldMs) * time.Millisecond
	switch {
	case r.ToldMs < 0 && r.Own == nil:
		return "on record, and never heard by " + string(r.From)
	case r.Own == nil && unheard > longUnheard:
		return fmt.Sprintf("last heard %d ms ago by %s", r.ToldMs, r.From)
	case r.ConfigVersion == newest && r.Content != "" && r.Content != usual:
		return "same version, other content"
	case r.ConfigVersion == newest:
		return ""
	case r.ConfigVersion == 0:
		return "no configuration yet" + because(r.Wait)
	case r.Own != nil && r.Own.BehindMs > 0:
		return fmt.Sprintf("behind for %d ms%s%s", r.Own.BehindMs, because(r.Wait), missing(r.Own))
	case r.Newest > r.ConfigVersion:
		return "behind" + because(r.Wait)
	}
	return "does not know of the newest"
}

func because(wait string) string {
	if wait == "" {
		return ""
	}
	return ": " + wait
}

func missing(c *Config) string {
	if c.Parts == 0 {
		return ""
	}
	return fmt.Sprintf(", %d of %d parts missing", c.PartsMissing, c.Parts)
}
