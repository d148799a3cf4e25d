package routes

import (
	"slices"
	"strings"
)

// Difference holds the names of the routes in which two configurations differ, sorted.
type Difference struct {
	Added, Removed, Changed []string
}

// Compare returns what t has that old has not, the other way round, and what differs under the same name. A name that
// several routes of a configuration have counts by the last of them.
func (t *Table) Compare(old *Table) Difference {
	before := make(map[string]*Route, len(old.Routes))
	for _, r := range old.Routes {
		before[r.Name] = r
	}
	var d Difference
	now := make(map[string]*Route, len(t.Routes))
	for _, r := range t.Routes {
		now[r.Name] = r
	}
	for name, r := range now {
		switch was := before[name]; {
		case was == nil:
			d.Added = append(d.Added, name)
		case !was.equal(r):
			d.Changed = append(d.Changed, name)
		}
	}
	for name := range before {
		if now[name] == nil {
			d.Removed = append(d.Removed, name)
		}
	}
	for _, names := range [][]string{d.Added, d.Removed, d.Changed} {
		slices.SortFunc(names, strings.Compare)
	}
	return d
}

// equal reports whether two routes say the same.
func (r *Route) equal(o *Route) bool {
	if r == o {
		return true
	}
	return r.Name == o.Name && r.Host == o.Host && r.Prefix == o.Prefix && r.Kind == o.Kind && r.Timeout == o.Timeout && r.Aim == o.Aim &&
		r.Rank == o.Rank && r.MaxAttempts == o.MaxAttempts && r.KeyAffinity == o.KeyAffinity && r.Public == o.Public &&
		slices.Equal(r.Parts, o.Parts) && slices.Equal(r.Homes, o.Homes)
}
