package workspaces

import (
	"cmp"
	"slices"

	"heatherlock/node/gateway/status"
	"heatherlock/steering"
)

// View is what a fleet did with the requests of workspaces since its VMs started.
type View struct {
	Workspaces []Row `json:"workspaces"`
	// Asked are the VMs that answered; Silent did not, by control address.
	Asked  []steering.VM `json:"asked"`
	Silent []string      `json:"silent,omitempty"`
	// Configurations tells which versions of keys and limits are in force, the newest first.
	Configurations []Configuration `json:"configurations"`
}

// Row is one workspace over all VMs that answered.
type Row struct {
	Name     steering.Workspace        `json:"name"`
	Asked    int64                     `json:"asked"`
	Admitted int64                     `json:"admitted"`
	Beyond   int64                     `json:"beyond"`
	NotRun   map[steering.Reason]int64 `json:"not_run,omitempty"`
	// Owner is the VM that owns the allowance, empty if no VM that answered does.
	Owner     steering.VM       `json:"owner,omitempty"`
	Allowance *status.Allowance `json:"allowance,omitempty"`
}

// InUse is the part of the declared rate that callers ask for now; 0 if it is not known.
func (r Row) InUse() float64 {
	if r.Allowance == nil || r.Allowance.Rate <= 0 {
		return 0
	}
	return r.Allowance.Demand / r.Allowance.Rate
}

// Configuration is a version with a content, and the VMs on which it is in force.
type Configuration struct {
	Version uint64        `json:"version"`
	Content string        `json:"content"`
	VMs     []steering.VM `json:"vms"`
	// InForceMs is how long it has been in force on all of these.
	InForceMs int64 `json:"in_force_ms"`
}

// Agree reports whether all VMs that answered go by the same keys and limits.
func (v View) Agree() bool { return len(v.Configurations) <= 1 }

// Sum adds up what VMs say. A name that is not empty selects one workspace.
func Sum(all []*status.Status, name steering.Workspace) View {
	var v View
	rows := make(map[steering.Workspace]*Row)
	for _, s := range all {
		v.Asked = append(v.Asked, s.VM)
		v.noteConfiguration(s)
		for _, w := range s.Workspaces {
			if name != "" && w.Name != name {
				continue
			}
			if rows[w.Name] == nil {
				rows[w.Name] = &Row{Name: w.Name}
			}
			rows[w.Name].add(s.VM, w)
		}
	}
	for _, r := range rows {
		v.Workspaces = append(v.Workspaces, *r)
	}
	slices.SortFunc(v.Workspaces, func(a, b Row) int {
		return cmp.Or(cmp.Compare(b.Beyond, a.Beyond), cmp.Compare(b.Asked, a.Asked), cmp.Compare(a.Name, b.Name))
	})
	slices.SortFunc(v.Configurations, func(a, b Configuration) int {
		return cmp.Or(cmp.Compare(b.Version, a.Version), cmp.Compare(a.Content, b.Content))
	})
	return v
}

func (r *Row) add(vm steering.VM, w status.Workspace) {
	r.Asked += w.Admitted + w.Beyond
	r.Admitted += w.Admitted
	r.Beyond += w.Beyond
	for reason, n := range w.NotRun {
		if r.NotRun == nil {
			r.NotRun = make(map[steering.Reason]int64)
		}
		r.NotRun[reason] += n
	}
	// While views differ two VMs may own it; that which more callers reach counts.
	if w.Owned != nil && (r.Allowance == nil || w.Owned.Demand > r.Allowance.Demand) {
		r.Owner, r.Allowance = vm, w.Owned
	}
}

func (v *View) noteConfiguration(s *status.Status) {
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
