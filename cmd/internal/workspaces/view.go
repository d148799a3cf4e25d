package workspaces

import (
	"cmp"
	"slices"

	"heatherlock/node/gateway/status"
	"heatherlock/steering"
)

// View holds the outcomes of the requests of workspaces across a fleet, counted since each VM
// started.
type View struct {
	Workspaces []WorkspaceTotals `json:"workspaces"`
	// Asked lists the VMs that answered. Silent lists the control addresses of those that
	// did not.
	Asked  []steering.VM `json:"asked"`
	Silent []string      `json:"silent,omitempty"`
	// Configurations lists the configurations of API keys and limits in force, the newest
	// first.
	Configurations []Configuration `json:"configurations"`
}

// WorkspaceTotals holds the sums of one workspace over all VMs that answered.
type WorkspaceTotals struct {
	Name steering.Workspace `json:"name"`
	// Asked counts all requests. The allowance let Admitted of them run and refused Beyond.
	Asked    int64 `json:"asked"`
	Admitted int64 `json:"admitted"`
	Beyond   int64 `json:"beyond"`
	// NotRun counts admitted requests that were refused later without having run, by reason.
	NotRun map[steering.Reason]int64 `json:"not_run,omitempty"`
	// Shares holds what the workspace asks of each service, by service and rank.
	Shares []ShareTotals `json:"shares,omitempty"`
	// Owner is the VM that owns the allowance. It is empty, and Allowance nil, if none of
	// the VMs that answered owns it.
	Owner     steering.VM       `json:"owner,omitempty"`
	Allowance *status.Allowance `json:"allowance,omitempty"`
}

// ShareTotals sums what a workspace asks of a service over all VMs that answered.
type ShareTotals struct {
	status.Share
	// ShortOn counts the VMs on which the service is short, of all VMs that the workspace uses.
	ShortOn int `json:"short_on"`
	VMs     int `json:"vms"`
}

// Utilization returns the ratio of the current demand to the declared rate, or 0 if it is not
// known.
func (r WorkspaceTotals) Utilization() float64 {
	if r.Allowance == nil || r.Allowance.Rate <= 0 {
		return 0
	}
	return r.Allowance.Demand / r.Allowance.Rate
}

// Configuration identifies a configuration by version and content hash, and lists the VMs on
// which it is in force.
type Configuration struct {
	Version uint64        `json:"version"`
	Content string        `json:"content"`
	VMs     []steering.VM `json:"vms"`
	// InForceMs is the time for which it has been in force on all of these VMs.
	InForceMs int64 `json:"in_force_ms"`
}

// SameConfiguration reports whether all VMs that answered use the same API keys and limits.
func (v View) SameConfiguration() bool { return len(v.Configurations) <= 1 }

// Aggregate sums the statuses of VMs. A non-empty name restricts the sums to that workspace.
func Aggregate(all []*status.Status, name steering.Workspace) View {
	var v View
	totals := make(map[steering.Workspace]*WorkspaceTotals)
	for _, s := range all {
		v.Asked = append(v.Asked, s.VM)
		v.addConfiguration(s)
		for _, w := range s.Workspaces {
			if name != "" && w.Name != name {
				continue
			}
			if totals[w.Name] == nil {
				totals[w.Name] = &WorkspaceTotals{Name: w.Name}
			}
			totals[w.Name].add(s.VM, w)
		}
	}
	for _, r := range totals {
		v.Workspaces = append(v.Workspaces, *r)
	}
	slices.SortFunc(v.Workspaces, func(a, b WorkspaceTotals) int {
		return cmp.Or(cmp.Compare(b.Beyond, a.Beyond), cmp.Compare(b.Asked, a.Asked), cmp.Compare(a.Name, b.Name))
	})
	slices.SortFunc(v.Configurations, func(a, b Configuration) int {
		return cmp.Or(cmp.Compare(b.Version, a.Version), cmp.Compare(a.Content, b.Content))
	})
	return v
}

func (r *WorkspaceTotals) add(vm steering.VM, w status.Workspace) {
	r.Asked += w.Admitted + w.Beyond
	r.Admitted += w.Admitted
	r.Beyond += w.Beyond
	for reason, n := range w.NotRun {
		if r.NotRun == nil {
			r.NotRun = make(map[steering.Reason]int64)
		}
		r.NotRun[reason] += n
	}
	for _, s := range w.Shares {
		r.addShare(s)
	}
	// While the VMs' membership views differ, two of them may act as owner. The one with the
	// higher demand counts, since more callers reach it.
	if w.Owned != nil && (r.Allowance == nil || w.Owned.Demand > r.Allowance.Demand) {
		r.Owner, r.Allowance = vm, w.Owned
	}
}

func (r *WorkspaceTotals) addShare(s status.Share) {
	order := func(t ShareTotals, s status.Share) int {
		return cmp.Or(cmp.Compare(t.Service, s.Service), cmp.Compare(t.Rank, s.Rank))
	}
	at, found := slices.BinarySearchFunc(r.Shares, s, order)
	if !found {
		r.Shares = slices.Insert(r.Shares, at, ShareTotals{Share: status.Share{Service: s.Service, Rank: s.Rank}})
	}
	t := &r.Shares[at]
	t.Demand += s.Demand
	t.Share.Share += s.Share
	t.Refused += s.Refused
	t.VMs++
	if s.Short {
		t.Short = true
		t.ShortOn++
	}
}

func (v *View) addConfiguration(s *status.Status) {
	for n := range v.Configurations {
		c := &v.Configurations[n]
		if c.Version == s.ConfigVersion && c.Content == s.Config.Content {
			c.VMs = append(c.VMs, s.VM)
			c.InForceMs = min(c.InForceMs, s.Config.InForceMs)
			return
		}
	}
	v.Configurations = append(v.Configurations, Configuration{Version: s.ConfigVersion, Content: s.Config.Content, VMs: []steering.VM{s.VM}, InForceMs: s.Config.InForceMs})
}
