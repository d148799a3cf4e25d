package allowances

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"heatherlock/node/gateway/status"
	"heatherlock/steering"
	"heatherlock/steering/allowance"
)

const (
	// maxCounted bounds the workspaces that are counted individually; the others are counted
	// together.
	maxCounted = 4096
	// maxReported is how many workspaces have metrics of their own and are named in logs.
	maxReported = 10
	// otherWorkspaces is the name under which all others are counted.
	otherWorkspaces = "(rest)"
)

// Count counts a workspace's requests on one VM by what became of them. Beyond counts those that
// exceeded the allowance, and NotRun the admitted ones that were refused later without running.
type Count struct {
	Admitted int64 `json:"admitted"`
	Beyond   int64 `json:"beyond"`
	NotRun   int64 `json:"not_run,omitempty"`
}

// counts holds the counts of workspaces with an allowance since the VM started.
type counts struct {
	all       map[steering.Workspace]*Count
	reasons   map[steering.Workspace]map[steering.Reason]int64
	lastTaken map[steering.Workspace]Count // the counts at the last TakeCounts
}

func newCounts() *counts {
	return &counts{all: make(map[steering.Workspace]*Count), reasons: make(map[steering.Workspace]map[steering.Reason]int64), lastTaken: make(map[steering.Workspace]Count)}
}

// lookUp returns the count of a workspace and the name under which it is kept.
func (c *counts) lookUp(name steering.Workspace) (steering.Workspace, *Count) {
	if c.all[name] == nil && len(c.all) >= maxCounted {
		name = otherWorkspaces
	}
	if c.all[name] == nil {
		c.all[name] = &Count{}
	}
	return name, c.all[name]
}

func (c *counts) add(name steering.Workspace, admitted bool) {
	_, n := c.lookUp(name)
	if admitted {
		n.Admitted++
		return
	}
	n.Beyond++
}

// addNotRun counts an admitted request that was refused without running.
func (c *counts) addNotRun(name steering.Workspace, reason steering.Reason) {
	name, n := c.lookUp(name)
	n.NotRun++
	if c.reasons[name] == nil {
		c.reasons[name] = make(map[steering.Reason]int64)
	}
	c.reasons[name][reason]++
}

// WorkspaceStatus returns the status of the workspaces with an allowance that this VM has counted
// or owns, sorted by name.
func (s *Service) WorkspaceStatus() []status.Workspace {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := make(map[steering.Workspace]*status.Workspace)
	for name, n := range s.counts.all {
		rows[name] = &status.Workspace{Name: name, Admitted: n.Admitted, Beyond: n.Beyond, NotRun: maps.Clone(s.counts.reasons[name])}
	}
	for _, u := range s.ledger.Usage(now) {
		w := s.byID[u.Workspace]
		if owner, _ := allowance.OwnerOf(u.Workspace, s.live); w == nil || owner != s.cfg.Self {
			continue
		}
		if rows[w.Name] == nil {
			rows[w.Name] = &status.Workspace{Name: w.Name}
		}
		rows[w.Name].Owned = &status.Allowance{Rate: w.Rate, Burst: w.Burst, Limit: u.Limit.Rate, Left: u.Left, Lent: u.Lent, Demand: u.Demand, VMs: u.VMs, Low: u.Tight}
	}
	all := make([]status.Workspace, 0, len(rows))
	for _, r := range rows {
		all = append(all, *r)
	}
	slices.SortFunc(all, func(a, b status.Workspace) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// busiest returns the names of the workspaces, sorted by their number of requests, highest first.
func (c *counts) busiest() []steering.Workspace {
	names := make([]steering.Workspace, 0, len(c.all))
	for name := range c.all {
		names = append(names, name)
	}
	total := func(name steering.Workspace) int64 { n := c.all[name]; return n.Admitted + n.Beyond }
	slices.SortFunc(names, func(a, b steering.Workspace) int { return cmp.Or(cmp.Compare(total(b), total(a)), cmp.Compare(a, b)) })
	return names
}

// TakeCounts returns the counts since the last call: one for each of the busiest workspaces, and
// the sum of all others.
func (s *Service) TakeCounts() map[steering.Workspace]Count {
	s.mu.Lock()
	defer s.mu.Unlock()
	taken := make(map[steering.Workspace]Count)
	for rank, name := range s.counts.busiest() {
		n, before := *s.counts.all[name], s.counts.lastTaken[name]
		s.counts.lastTaken[name] = n
		if n == before {
			continue
		}
		if rank >= maxReported {
			name = otherWorkspaces
		}
		sum := taken[name]
		taken[name] = Count{Admitted: sum.Admitted + n.Admitted - before.Admitted, Beyond: sum.Beyond + n.Beyond - before.Beyond,
			NotRun: sum.NotRun + n.NotRun - before.NotRun}
	}
	return taken
}
