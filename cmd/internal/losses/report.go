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

// Report is what logs tell of lost requests.
type Report struct {
	// Window is the length of each window in seconds.
	WindowS float64 `json:"window_s"`
	Lines   int     `json:"lines"`
	// DroppedLines were left out by entry VMs; some of them may have been sums.
	DroppedLines int    `json:"dropped_lines"`
	Total        Part   `json:"total"`
	Kinds        []Part `json:"kinds"`
	Zones        []Part `json:"zones"`
	Windows      []Part `json:"windows"`
	// Bytes are those that entry VMs exchanged, by what for; empty in logs without them.
	Bytes volume.Sums `json:"bytes,omitempty"`
}

// Part is the sums of a part of the requests.
type Part struct {
	Name string `json:"name"`
	// At is the start of a window; zero for other parts.
	At time.Time `json:"at,omitzero"`
	losses.Sum
	Causes []Cause `json:"causes"`
}

// Cause counts the requests lost by one cause, the most first.
type Cause struct {
	Outcome string       `json:"outcome"`
	Cause   losses.Cause `json:"cause"`
	Count   int          `json:"count"`
}

// Lost counts the requests that were not answered within their aim.
func (p Part) Lost() int { return p.Asked - p.InAim }

// report adds up what was read.
func (r *reading) report() Report {
	kinds, zones, windows := make(map[string]*Part), make(map[string]*Part), make(map[string]*Part)
	out := Report{WindowS: r.window.Seconds(), Lines: r.lines, DroppedLines: r.dropped, Total: Part{Name: "all"}, Bytes: r.bytes}
	for c, s := range r.cells {
		out.Total.Merge(*s)
		partOf(kinds, kindName(c.kind)).Merge(*s)
		partOf(zones, string(c.zone)).Merge(*s)
		w := partOf(windows, c.window.Format("15:04:05.0"))
		w.At = c.window
		w.Merge(*s)
	}
	out.Total.Causes = causesOf(out.Total.Sum)
	byName := func(a, b Part) int { return cmp.Compare(a.Name, b.Name) }
	out.Kinds, out.Zones = sorted(kinds, byName), sorted(zones, byName)
	out.Windows = sorted(windows, func(a, b Part) int { return a.At.Compare(b.At) })
	return out
}

func partOf(parts map[string]*Part, name string) *Part {
	if parts[name] == nil {
		parts[name] = &Part{Name: name}
	}
	return parts[name]
}

func sorted(parts map[string]*Part, compare func(a, b Part) int) []Part {
	all := make([]Part, 0, len(parts))
	for _, p := range parts {
		p.Causes = causesOf(p.Sum)
		all = append(all, *p)
	}
	slices.SortFunc(all, compare)
	return all
}

// kindName names a kind in tables.
func kindName(k losses.Kind) string {
	if k == (losses.Kind{}) {
		return "no route yet"
	}
	return fmt.Sprintf("%s %s, aim %d ms", k.Service, k.Repeats, k.AimMs)
}

func causesOf(s losses.Sum) []Cause {
	var all []Cause
	for outcome, by := range map[losses.Outcome]map[losses.Cause]int{losses.Late: s.Late, losses.Refused: s.Refused, losses.Failed: s.Failed} {
		for cause, n := range by {
			all = append(all, Cause{outcome.String(), cause, n})
		}
	}
	slices.SortFunc(all, func(a, b Cause) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Outcome, b.Outcome), cmp.Compare(a.Cause, b.Cause))
	})
	return all
}

// shownCauses bounds the causes named for a part; the rest are added up.
const shownCauses = 4

// write prints tables: kinds, zones, and the windows that lost most.
func (r Report) write(out io.Writer, worst int) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "CAUSE\tOUTCOME\tREQUESTS\tOF ALL LOST")
	for _, c := range r.Total.Causes {
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\n", c.Cause, c.Outcome, c.Count, share(c.Count, r.Total.Lost()))
	}
	writeParts(w, "KIND", append(slices.Clone(r.Kinds), r.Total))
	writeParts(w, "ZONE", r.Zones)
	windows := slices.Clone(r.Windows)
	slices.SortStableFunc(windows, func(a, b Part) int { return cmp.Compare(b.Lost(), a.Lost()) })
	windows = windows[:min(len(windows), worst)]
	slices.SortFunc(windows, func(a, b Part) int { return a.At.Compare(b.At) })
	writeParts(w, fmt.Sprintf("WORST WINDOWS OF %g S", r.WindowS), windows)
	r.writeBytes(w)
	if r.DroppedLines > 0 {
		fmt.Fprintf(w, "\nnote: %d lines were left out by the entry VMs to keep the log within its rate\n", r.DroppedLines)
	}
	if err := w.Flush(); err != nil {
		return errors.Wrap(err, "losses: write")
	}
	return nil
}

// writeBytes prints what the links carried, those between regions first.
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

func writeParts(w io.Writer, title string, parts []Part) {
	fmt.Fprintf(w, "\n%s\tASKED\tAGAIN\tIN AIM\tLATE\tREFUSED\tFAILED\tMOST LOST BY\n", title)
	for _, p := range parts {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\n", p.Name, p.Asked, p.Again, p.InAim, total(p.Late), total(p.Refused), total(p.Failed), mostLost(p))
	}
}

func mostLost(p Part) string {
	text, rest := "", 0
	for n, c := range p.Causes {
		if n >= shownCauses {
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

func total(by map[losses.Cause]int) int {
	sum := 0
	for _, n := range by {
		sum += n
	}
	return sum
}

func share(n, of int) string {
	if of == 0 {
		return "-"
	}
	return fmt.Sprintf("%.3f", float64(n)/float64(of))
}
