package spread

import (
	"slices"
	"time"

	"heatherlock/steering"
)

const (
	// askersEach is how many VMs of a zone ask another zone, and of a region another
	// region, at first. The others get it from those, over shorter ways.
	askersEach = 2
	// widenEvery is how long the first may take until as many more may ask as well.
	widenEvery = 200 * time.Millisecond
)

// Source is an entry VM that has a newer configuration.
type Source struct {
	VM      steering.VM
	Zone    steering.Zone
	Region  steering.Region
	Version uint64
}

// Asker is the VM that wants it.
type Asker struct {
	Zone   steering.Zone
	Region steering.Region
	// ZoneRank and RegionRank say how many live VMs of its zone and region ask before it.
	ZoneRank, RegionRank int
	// Waited is how long it has known that there is a newer one.
	Waited time.Duration
	// Place names the VM that keeps a place for it, if any does.
	Place steering.VM
}

// Choose returns the VM to ask, or false if none is to be asked yet: one of its own zone,
// else of its region, else any, and of these that which keeps a place for the asker, since
// nobody else gets it meanwhile, or any. draw returns a number from 0 to n-1. All sources
// have a newer configuration than the asker.
//
// If all asked the first that knows, its link and those between regions would carry as many
// copies as there are VMs. Those that have the newest are few while versions come one after
// the other, so that any newer one will do.
func Choose(a Asker, all []Source, draw func(n int) int) (Source, bool) {
	allowed := askersEach * (1 + int(a.Waited/widenEvery))
	for _, near := range []func(Source) bool{
		func(s Source) bool { return s.Zone == a.Zone },
		func(s Source) bool { return s.Region == a.Region && a.ZoneRank < allowed },
		func(Source) bool { return a.RegionRank < allowed },
	} {
		kept := slices.IndexFunc(all, func(s Source) bool { return s.VM == a.Place && near(s) })
		if kept >= 0 {
			return all[kept], true
		}
		if found := those(all, near); len(found) > 0 {
			return found[draw(len(found))], true
		}
	}
	return Source{}, false
}

// those returns the sources that are wanted.
func those(all []Source, wanted func(Source) bool) []Source {
	var found []Source
	for _, s := range all {
		if wanted(s) {
			found = append(found, s)
		}
	}
	return found
}
