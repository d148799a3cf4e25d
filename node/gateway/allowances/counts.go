package allowances

import (
	"cmp"
	"slices"
	"time"

	"heatherlock/steering"
	"heatherlock/steering/allowance"
)

const (
	// mostCounted bounds the workspaces with counts of their own; the rest is summed up.
	mostCounted = 4096
	// mostShown is how many workspaces have metrics of their own, and are named in logs.
	mostShown = 10
	// rest names all others.
	rest = "(rest)"
)

// Count is what became of a workspace's requests on one VM.
type Count struct {
	Admitted int64 `json:"admitted"`
	Beyond   int64 `json:"beyond"`
}

// counts holds the counts of workspaces with an allowance, since the VM started.
type counts struct {
	all   map[steering.Workspace]*Count
	shown map[steering.Workspace]Count // as of the last Take
}

func newCounts() *counts {
	return &counts{all: make(map[steering.Workspace]*Count), shown: make(map[steering.Workspace]Count)}
}

func (c *counts) add(name steering.Workspace, admitted bool) {
	n := c.all[name]
	if n == nil {
		if len(c.all) >= mostCounted {
			name = rest
		}
		if n = c.all[name]; n == nil {
			n = &Count{}
			c.all[name] = n
		}
	}
	if admitted {
		n.Admitted++
		return
	}
	n.Beyond++
}

// Row is a workspace as one VM sees it.
type Row struct {
	Workspace steering.Workspace `json:"workspace"`
	Count
	// Owned is set on the VM that owns the workspace.
	Owned *Owned `json:"owned,omitempty"`
}

// Owned is what the owner of a workspace knows.
type Owned struct {
	Rate   float64 `json:"rate"`
	Burst  float64 `json:"burst"`
	Left   float64 `json:"left"`
	Lent   float64 `json:"lent"`
	Demand float64 `json:"demand"`
	VMs    int     `json:"vms"`
	Tight  bool    `json:"tight"`
}

// Rows returns the workspaces with an allowance that this VM knows of, by name.
func (s *Service) Rows() []Row {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := make(map[steering.Workspace]*Row)
	row := func(name steering.Workspace) *Row {
		if rows[name] == nil {
			rows[name] = &Row{Workspace: name}
		}
		return rows[name]
	}
	for name, n := range s.counts.all {
		row(name).Count = *n
	}
	for _, u := range s.ledger.Usage(now) {
		w := s.byID[u.Workspace]
		if owner, _ := allowance.OwnerOf(u.Workspace, s.live); w == nil || owner != s.cfg.Self {
			continue
		}
		row(w.Name).Owned = &Owned{Rate: u.Limit.Rate, Burst: u.Limit.Burst, Left: u.Left, Lent: u.Lent, Demand: u.Demand, VMs: u.VMs, Tight: u.Tight}
	}
	all := make([]Row, 0, len(rows))
	for _, r := range rows {
		all = append(all, *r)
	}
	slices.SortFunc(all, func(a, b Row) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return all
}

// busiest returns the names of the workspaces, those with most requests first.
func (c *counts) busiest() []steering.Workspace {
	names := make([]steering.Workspace, 0, len(c.all))
	for name := range c.all {
		names = append(names, name)
	}
	asked := func(name steering.Workspace) int64 { n := c.all[name]; return n.Admitted + n.Beyond }
	slices.SortFunc(names, func(a, b steering.Workspace) int { return cmp.Or(cmp.Compare(asked(b), asked(a)), cmp.Compare(a, b)) })
	return names
}

// Take returns what became of requests since the last call: of the busiest workspaces each
// for itself, of all others in sum.
func (s *Service) Take() map[steering.Workspace]Count {
	s.mu.Lock()
	defer s.mu.Unlock()
	taken := make(map[steering.Workspace]Count)
	for rank, name := range s.counts.busiest() {
		n, before := *s.counts.all[name], s.counts.shown[name]
		s.counts.shown[name] = n
		if n == before {
			continue
		}
		if rank >= mostShown {
			name = rest
		}
		sum := taken[name]
		taken[name] = Count{Admitted: sum.Admitted + n.Admitted - before.Admitted, Beyond: sum.Beyond + n.Beyond - before.Beyond}
	}
	return taken
}
