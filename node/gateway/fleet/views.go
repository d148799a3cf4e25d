package fleet

import (
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"heatherlock/node/gateway/catchup"
	"heatherlock/node/gateway/volume"
	"heatherlock/steering"
	"heatherlock/steering/placement"
)

// Live returns the live members that are not leaving, this VM included unless
// it leaves, by name.
func (r *Roster) Live(now time.Time, selfLeaves bool) []Member {
	all := make([]Member, 0, len(r.members)+1)
	if !selfLeaves {
		all = append(all, r.self)
	}
	for _, h := range r.members {
		if r.live(now, h) && !h.leaving {
			all = append(all, h.Member)
		}
	}
	slices.SortFunc(all, func(a, b Member) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return all
}

// Mates returns the other live members of this VM's zone.
func (r *Roster) Mates(now time.Time) []Member {
	var mates []Member
	for _, h := range r.members {
		if h.Zone == r.self.Zone && r.live(now, h) && !h.leaving {
			mates = append(mates, h.Member)
		}
	}
	return mates
}

// Serving returns the live members that take requests.
func (r *Roster) Serving(now time.Time, selfServes bool) []Member {
	all := r.Live(now, !selfServes)
	kept := all[:0]
	for _, m := range all {
		if h := r.members[m.Name]; h == nil || h.beat.Serving {
			kept = append(kept, m)
		}
	}
	return kept
}

// MatesDemand returns what the callers of the other live VMs of this zone ask.
func (r *Roster) MatesDemand(now time.Time) placement.DemandOf {
	sum := make(placement.DemandOf)
	for _, h := range r.members {
		if h.Zone == r.self.Zone && r.live(now, h) && !h.leaving {
			sum.AddAll(h.beat.Demand)
		}
	}
	return sum
}

// Demand returns what the callers of other VMs ask, by region. Of another zone only
// what was told last counts, since each of its VMs tells the demand of all.
func (r *Roster) Demand(now time.Time) map[steering.Region]placement.DemandOf {
	demand := map[steering.Region]placement.DemandOf{r.self.Region: r.MatesDemand(now)}
	last := make(map[steering.Zone]*heard)
	for _, h := range r.members {
		if h.Zone == r.self.Zone || !r.live(now, h) || h.beat.Demand == nil {
			continue
		}
		if old := last[h.Zone]; old == nil || h.toldAt.After(old.toldAt) {
			last[h.Zone] = h
		}
	}
	for _, h := range last {
		if demand[h.Region] == nil {
			demand[h.Region] = make(placement.DemandOf)
		}
		demand[h.Region].AddAll(h.beat.Demand)
	}
	return demand
}

// ZoneDemand returns what the callers of a zone ask, this VM's own left out.
func (r *Roster) ZoneDemand(now time.Time, zone steering.Zone) placement.DemandOf {
	if zone == r.self.Zone {
		return r.MatesDemand(now)
	}
	var last *heard
	for _, h := range r.zones[zone] {
		if r.live(now, h) && h.beat.Demand != nil && (last == nil || h.toldAt.After(last.toldAt)) {
			last = h
		}
	}
	sum := make(placement.DemandOf)
	if last != nil {
		sum.AddAll(last.beat.Demand)
	}
	return sum
}

// Following is which configuration another entry VM follows, as far as it is known here.
type Following struct {
	Member
	// Live is whether it lives, and Leaving whether it is about to end.
	Live    bool
	Leaving bool
	Serving bool
	// Version is in force there, 0 for none, and Newest the newest that it knows of.
	Version uint64
	Newest  uint64
	// Content is a hash of the content in force; 0 if it is not known.
	Content uint32
	Wait    catchup.Wait
	// Since is when its first heartbeat with this version came, ToldAt when its last
	// came; zero if none ever did. VMs of other zones seldom write.
	Since  time.Time
	ToldAt time.Time
}

// Following returns which configuration each other VM on record follows, by zone and name.
func (r *Roster) Following(now time.Time) []Following {
	all := make([]Following, 0, len(r.members))
	for _, h := range r.members {
		k := h.beat.Known
		all = append(all, Following{Member: h.Member, Live: r.live(now, h), Leaving: h.leaving, Serving: h.beat.Serving, Version: k.Config,
			Newest: max(k.Newest, k.Config), Content: h.beat.ConfigContent, Wait: h.beat.ConfigWait, Since: h.configAt, ToldAt: h.beatAt})
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].Zone != all[j].Zone {
			return all[i].Zone < all[j].Zone
		}
		return all[i].Name < all[j].Name
	})
	return all
}

// Holder is a live VM and the version of the configuration that it has in force.
type Holder struct {
	Member
	Version uint64
}

// Holders returns the live VMs that have a newer configuration than a version.
func (r *Roster) Holders(now time.Time, above uint64) []Holder {
	var all []Holder
	for _, h := range r.members {
		if version := h.beat.Known.Config; version > above && r.live(now, h) && !h.leaving {
			all = append(all, Holder{Member: h.Member, Version: version})
		}
	}
	return all
}

// AskRank returns how many live VMs of this VM's zone, and of its region, ask others
// before it.
func (r *Roster) AskRank(now time.Time) (zone, region int) {
	for _, h := range r.members {
		if h.Region != r.self.Region || !r.live(now, h) || h.leaving || !h.before(r.self) {
			continue
		}
		region++
		if h.Zone == r.self.Zone {
			zone++
		}
	}
	return zone, region
}

// ReadRank returns how many live VMs are to read the store before this one.
func (r *Roster) ReadRank(now time.Time, fails bool) int {
	rank := 0
	for _, h := range r.members {
		if !r.live(now, h) || h.leaving || h.beat.StoreFails && !fails {
			continue
		}
		if fails && !h.beat.StoreFails || h.before(r.self) {
			rank++
		}
	}
	return rank
}

// ReadBegun returns when a live VM that reads before this one first told of its last read
// of the store.
func (r *Roster) ReadBegun(now time.Time) time.Time {
	var last time.Time
	for _, h := range r.members {
		if r.live(now, h) && !h.leaving && h.before(r.self) {
			last = maxTime(last, h.reads)
		}
	}
	return last
}

// before reports whether a VM reads the store before another, or fetches before it:
// the more able first, and of those that bear the same any, the same for all.
//
// All others wait until the first has read and told what changed, so it must not be one
// with a thin link.
func (m Member) before(o Member) bool {
	if m.Capacity != o.Capacity {
		return m.Capacity > o.Capacity
	}
	return readOrder(m.Name) < readOrder(o.Name)
}

// readOrder spreads the reading over VMs whatever their names.
func readOrder(name steering.VM) uint64 { return xxhash.Sum64String("read\x00" + string(name)) }

// PlaceOf returns where a VM is, empty if it is not known.
func (r *Roster) PlaceOf(name steering.VM) volume.Place {
	if name == r.self.Name {
		return volume.Place{Zone: r.self.Zone, Region: r.self.Region}
	}
	if h := r.members[name]; h != nil {
		return volume.Place{Zone: h.Zone, Region: h.Region}
	}
	return volume.Place{}
}

// Standing returns how many VMs there are, this one included: those on record that have
// not told that they leave.
func (r *Roster) Standing(now time.Time) int {
	standing := 1
	for _, h := range r.members {
		if !h.leaving || r.live(now, h) {
			standing++
		}
	}
	return standing
}

// Known returns the number of members on record, this VM included.
func (r *Roster) Known() int { return 1 + len(r.members) }

// DarkZones returns the zones whose entry VMs were all heard before and are
// silent now. Targets there are most likely cut off as well.
func (r *Roster) DarkZones(now time.Time) map[steering.Zone]bool {
	dark, lit := make(map[steering.Zone]bool), map[steering.Zone]bool{r.self.Zone: true}
	for _, h := range r.members {
		switch {
		case !h.at.IsZero() && now.Sub(h.at) < darkSilences*r.farBeat():
			lit[h.Zone] = true
		case !h.at.IsZero() && !h.leaving:
			dark[h.Zone] = true
		}
	}
	for zone := range lit {
		delete(dark, zone)
	}
	return dark
}
