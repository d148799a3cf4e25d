package losses

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"

	"heatherlock/node/gateway/volume"
	"heatherlock/steering/losses"
)

// Report holds the outcomes of requests, and the causes of those that missed their latency
// objective, as summed from logs.
type Report struct {
	// WindowS is the length of each window in seconds.
	WindowS float64 `json:"window_s"`
	// Lines counts the log lines with sums of requests.
	Lines int `json:"lines"`
	// DroppedLines counts the lines that entry VMs omitted to stay within their log rate.
	// Some of them may have held sums.
	DroppedLines int     `json:"dropped_lines"`
	Total        Group   `json:"total"`
	Kinds        []Group `json:"kinds"`
	Zones        []Group `json:"zones"`
	Windows      []Group `json:"windows"`
	// Bytes holds the bytes that entry VMs exchanged, by purpose. It is empty if the logs
	// do not record them.
	Bytes volume.Sums `json:"bytes,omitempty"`
}

// Group holds the counts of a group of requests, and the causes of those that were lost.
type Group struct {
	Name string `json:"name"`
	// At is the start of a window. It is zero for other groups.
	At time.Time `json:"at,omitzero"`
	losses.Sum
	// Causes are sorted by count, the highest first.
	Causes []Cause `json:"causes"`
}

// Cause counts the requests lost for one cause.
type Cause struct {
	Outcome string       `json:"outcome"`
	Cause   losses.Cause `json:"cause"`
	Count   int          `json:"count"`
}

// Lost returns the number of requests that were not answered within their latency objective.
func (p Group) Lost() int { return p.Asked - p.InAim }

// report groups the sums by kind, zone and window.
func (r *logTotals) report() Report {
	kinds, zones, windows := make(map[string]*Group), make(map[string]*Group), make(map[string]*Group)
	out := Report{WindowS: r.window.Seconds(), Lines: r.sumLines, DroppedLines: r.droppedLines, Total: Group{Name: "all"}, Bytes: r.exchanged}
	for c, s := range r.sums {
		out.Total.Merge(*s)
		groupNamed(kinds, kindLabel(c.kind)).Merge(*s)
		groupNamed(zones, string(c.zone)).Merge(*s)
		w := groupNamed(windows, c.window.Format("15:04:05.0"))
		w.At = c.window
		w.Merge(*s)
	}
	out.Total.Causes = sortedCauses(out.Total.Sum)
	byName := func(a, b Group) int { return cmp.Compare(a.Name, b.Name) }
	out.Kinds, out.Zones = sortedGroups(kinds, byName), sortedGroups(zones, byName)
	out.Windows = sortedGroups(windows, func(a, b Group) int { return a.At.Compare(b.At) })
	return out
}

func groupNamed(groups map[string]*Group, name string) *Group {
	if groups[name] == nil {
		groups[name] = &Group{Name: name}
	}
	return groups[name]
}

func sortedGroups(groups map[string]*Group, compare func(a, b Group) int) []Group {
	all := make([]Group, 0, len(groups))
	for _, p := range groups {
		p.Causes = sortedCauses(p.Sum)
		all = append(all, *p)
	}
	slices.SortFunc(all, compare)
	return all
}

// kindLabel returns the label of a kind in tables. The zero kind stands for requests that
// ended before their route was known, and for kinds beyond the number that an entry VM
// counts separately.
func kindLabel(k losses.Kind) string {
	if k == (losses.Kind{}) {
		return "no route yet"
	}
	return fmt.Sprintf("%s %s, aim %d ms", k.Service, k.Repeats, k.AimMs)
}

// sortedCauses returns the causes of s, the most frequent first.
func sortedCauses(s losses.Sum) []Cause {
	var all []Cause
	for outcome, counts := range map[losses.Outcome]map[losses.Cause]int{losses.Late: s.Late, losses.Refused: s.Refused, losses.Failed: s.Failed} {
		for cause, n := range counts {
			all = append(all, Cause{outcome.String(), cause, n})
		}
	}
	slices.SortFunc(all, func(a, b Cause) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Outcome, b.Outcome), cmp.Compare(a.Cause, b.Cause))
	})
	return all
}

// maxShownCauses limits the causes listed per group; the others are summed.
const maxShownCauses = 4

// write prints tables of causes, kinds, zones, the worst windows (those with the most lost
// requests) and exchanged bytes.
func (r Report) write(out io.Writer, worst int) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "CAUSE\tOUTCOME\tREQUESTS\tOF ALL LOST")
	for _, c := range r.Total.Causes {
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\n", c.Cause, c.Outcome, c.Count, formatShare(c.Count, r.Total.Lost()))
	}
	writeGroups(w, "KIND", append(slices.Clone(r.Kinds), r.Total))
	writeGroups(w, "ZONE", r.Zones)
	windows := slices.Clone(r.Windows)
	slices.SortStableFunc(windows, func(a, b Group) int { return cmp.Compare(b.Lost(), a.Lost()) })
	windows = windows[:min(len(windows), worst)]
	slices.SortFunc(windows, func(a, b Group) int { return a.At.Compare(b.At) })
	writeGroups(w, fmt.Sprintf("WORST WINDOWS OF %g S", r.WindowS), windows)
	r.writeBytes(w)
	if r.DroppedLines > 0 {
		fmt.Fprintf(w, "\nnote: %d lines were left out by the entry VMs to keep the log within its rate\n", r.DroppedLines)
	}
	if err := w.Flush(); err != nil {
		return errors.Wrap(err, "losses: write")
	}
	return nil
}

// writeBytes prints the exchanged bytes by purpose, sorted by the bytes sent to other
// regions in descending order.
func (r Report) writeBytes(w io.Writer) {
	if len(r.Bytes) == 0 {
		return
	}
	purposes := slices.Collect(maps.Keys(r.Bytes))
	slices.SortFunc(purposes, func(a, b volume.Purpose) int {
		return cmp.Or(cmp.Compare(r.Bytes[b].Across, r.Bytes[a].Across), cmp.Compare(a, b))
	})
	fmt.Fprintln(w, "\nBYTES FOR\tTO OTHER REGIONS\tTO OTHER ZONES\tIN THE ZONE\tNOT KNOWN WHERE")
	for _, p := range purposes {
		s := r.Bytes[p]
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\n", p, s.Across, s.Region, s.Zone, s.Unknown)
	}
}

func writeGroups(w io.Writer, title string, groups []Group) {
	fmt.Fprintf(w, "\n%s\tASKED\tAGAIN\tIN AIM\tLATE\tREFUSED\tFAILED\tMOST LOST BY\n", title)
	for _, p := range groups {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\n", p.Name, p.Asked, p.Again, p.InAim, sumCounts(p.Late), sumCounts(p.Refused), sumCounts(p.Failed), mainCauses(p))
	}
}

func mainCauses(p Group) string {
	text, rest := "", 0
	for n, c := range p.Causes {
		if n >= maxShownCauses {
			rest += c.Count
			continue
		}
		text += fmt.Sprintf("%s %s %d; ", c.Outcome, c.Cause, c.Count)
	}
	if rest > 0 {
		return text + fmt.Sprintf("others %d", rest)
	}
	return text
}

func sumCounts(counts map[losses.Cause]int) int {
	sum := 0
	for _, n := range counts {
		sum += n
	}
	return sum
}

func formatShare(n, total int) string {
	if total == 0 {
		return "-"
	}
	return fmt.Sprintf("%.3f", float64(n)/float64(total))
}
