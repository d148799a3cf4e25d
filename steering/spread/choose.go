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
// else of its region, else any, and of these one that has the newest: that which keeps a
// place for the asker, since nobody else gets it meanwhile, or any. draw returns a number
// from 0 to n-1.
//
// What goes wrong when all ask the first that knows: its link, and those between regions,
// carry as many copies as there are VMs.
func Choose(a Asker, all []Source, draw func(n int) int) (Source, bool) {
	allowed := askersEach * (1 + int(a.Waited/widenEvery))
	for _, near := range []func(Source) bool{
		func(s Source) bool { return s.Zone == a.Zone },
		func(s Source) bool { return s.Region == a.Region && a.ZoneRank < allowed },
		func(Source) bool { return a.RegionRank < allowed },
	} {
		found := newestOf(all, near)
		if len(found) == 0 {
			continue
		}
		if kept := slices.IndexFunc(found, func(s Source) bool { return s.VM == a.Place }); kept >= 0 {
			return found[kept], true
		}
		return found[draw(len(found))], true
	}
	return Source{}, false
}

func newestOf(all []Source, wanted func(Source) bool) []Source {
	var found []Source
	for _, s := range all {
		switch {
		case !wanted(s) || len(found) > 0 && s.Version < found[0].Version:
			continue
		case len(found) > 0 && s.Version > found[0].Version:
			found = found[:0]
		}
		found = append(found, s)
	}
	return found
}
