package spread

import (
	"slices"
	"time"

	"heatherlock/steering"
)

const (
	// initialAskers is how many VMs of a zone at first may ask other zones, and how many of a
	// region other regions. The remaining VMs get the configuration from these, over shorter links.
	initialAskers = 2
	// wideningInterval is the time after which as many more VMs may ask, in case the first are
	// slow.
	wideningInterval = 200 * time.Millisecond
)

// Source is an entry VM that has a newer configuration.
type Source struct {
	VM      steering.VM
	Zone    steering.Zone
	Region  steering.Region
	Version uint64
}

// Requester is the entry VM that requests the newer configuration.
type Requester struct {
	Zone   steering.Zone
	Region steering.Region
	// ZoneRank and RegionRank are the numbers of live VMs in its zone and region that ask first.
	ZoneRank, RegionRank int
	// Waited is how long the VM has known that a newer configuration exists.
	Waited time.Duration
	// SlotHolder is the VM that has reserved a slot for it; empty if none has.
	SlotHolder steering.VM
}

// ChooseSource returns the VM to ask, or false if the requester should not ask any yet. It prefers
// VMs in the requester's zone, then in its region, then any. Among equally near ones it returns the
// VM that has reserved a slot for the requester, since no other VM can use that slot meanwhile, or
// a random one. draw returns a random number from 0 to n-1. All sources must have a newer
// configuration than the requester.
//
// If all VMs asked the first one that has the configuration, its link and the links between regions
// would carry as many copies as there are VMs. While versions follow each other quickly, only few
// VMs have the newest one, so that any newer version is accepted.
func ChooseSource(a Requester, all []Source, draw func(n int) int) (Source, bool) {
	allowed := initialAskers * (1 + int(a.Waited/wideningInterval))
	for _, inScope := range []func(Source) bool{
		func(s Source) bool { return s.Zone == a.Zone },
		func(s Source) bool { return s.Region == a.Region && a.ZoneRank < allowed },
		func(Source) bool { return a.RegionRank < allowed },
	} {
		reserved := slices.IndexFunc(all, func(s Source) bool { return s.VM == a.SlotHolder && inScope(s) })
		if reserved >= 0 {
			return all[reserved], true
		}
		if found := filter(all, inScope); len(found) > 0 {
			return found[draw(len(found))], true
		}
	}
	return Source{}, false
}

// filter returns the sources for which wanted returns true.
func filter(all []Source, wanted func(Source) bool) []Source {
	var found []Source
	for _, s := range all {
		if wanted(s) {
			found = append(found, s)
		}
	}
	return found
}
