package lookup

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"heatherlock/steering"
	"heatherlock/steering/ownership"
	"heatherlock/steering/routing"
)

const service = steering.Service("tickets")

// testInput returns an input with three regions of two zones each, and two places and three entry
// VMs in each zone. Every place serves the service. Block 10.N.0.0/16 belongs to the N-th place.
func testInput() PlanInput {
	snapshot := &routing.Snapshot{
		Version:  1,
		Services: map[steering.Service]*routing.Service{service: {Name: service}},
		Places:   map[steering.Place]*routing.Place{},
		Shifts:   map[string]*routing.Shift{},
		Stops:    map[string]*routing.Stop{},
	}
	in := PlanInput{Snapshot: snapshot, Zone: "r0-z0", Region: "r0", Now: time.Unix(1000, 0)}
	var blocks []routing.Block
	for r := range 3 {
		region := steering.Region(fmt.Sprintf("r%d", r))
		for z := range 2 {
			zone := steering.Zone(fmt.Sprintf("%s-z%d", region, z))
			for n := range 2 {
				name := steering.Place(fmt.Sprintf("%s-p%d", zone, n))
				prefix := netip.PrefixFrom(netip.AddrFrom4([4]byte{10, byte(len(blocks)), 0, 0}), 16)
				blocks = append(blocks, routing.Block{Prefix: prefix, Place: name})
				snapshot.Places[name] = &routing.Place{Name: name, Zone: zone, Region: region,
					Targets: []routing.Target{{Name: steering.Target(name), Service: service}}}
			}
			for n := range 3 {
				vm := steering.VM(fmt.Sprintf("%s-vm%d", zone, n))
				in.Members = append(in.Members, Member{VM: vm, Zone: zone, Region: region, Address: string(vm) + ":1"})
			}
		}
	}
	snapshot.Blocks, _ = NewTable(slices.Values(blocks))
	return in
}

func client(block, host int) netip.Addr {
	return netip.AddrFrom4([4]byte{10, byte(block), byte(host >> 8), byte(host)})
}

func choose(t assert.TestingT, p *Plan, addr netip.Addr) Answer {
	index, err := p.Choose(addr, service)
	assert.NilError(t, err)
	return p.Answers()[index]
}

func TestAnswerListsPoolOwnerFirst(t *testing.T) {
	in := testInput()
	answer := choose(t, NewPlan(in), client(2, 7))
	assert.Equal(t, answer.Place, steering.Place("r0-z1-p0"))
	vms := []steering.VM{"r0-z1-vm0", "r0-z1-vm1", "r0-z1-vm2"}
	for i, vm := range ownership.Order(answer.Place, service, vms) {
		assert.Equal(t, answer.Entries[i].VM, vm)
	}
	assert.Equal(t, len(answer.Entries), sameZoneEntries+fallbackZones)
	assert.Equal(t, string(answer.Entries[sameZoneEntries].VM[:5]), "r0-z0", "the nearest zone is next")
}

// Guards against clients that switch back and forth between places while a shift grows step by step
// and entry VMs briefly use different percentages. This happens if the moved clients are selected
// anew at each step or on each entry VM.
func TestRaisingPercentKeepsMovedClients(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lower := rapid.IntRange(0, 100).Draw(t, "lower")
		higher := rapid.IntRange(lower, 100).Draw(t, "higher")
		at := func(moved int) *Plan {
			in := testInput()
			in.Snapshot.Shifts["s"] = &routing.Shift{Name: "s", From: []steering.Place{"r0-z0-p0"},
				To: []steering.Place{"r1-z0-p0", "r1-z0-p1", "r1-z1-p0"}, Moved: moved}
			return NewPlan(in)
		}
		before, after := at(lower), at(higher)
		moved := 0
		const clients = 2000
		for host := range clients {
			a, b := choose(t, before, client(0, host)), choose(t, after, client(0, host))
			if a.Place != "r0-z0-p0" {
				assert.Equal(t, a.Place, b.Place)
			}
			if b.Place != "r0-z0-p0" {
				moved++
			}
		}
		share := float64(moved) / clients * 100
		assert.Assert(t, share > float64(higher)-5 && share < float64(higher)+5, "moved %.1f %%, want %d %%", share, higher)
	})
}

// Guards against answers that list a stopped or departed entry VM or place, and against a refusal
// while some place can still serve. This happens if a planned stop is applied to places but not to
// entry VMs, or if exclusions together leave an empty answer.
func TestAnswersExcludeStoppedAndDepartedMembers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := testInput()
		gone := map[steering.VM]bool{}
		doubtful := map[steering.VM]bool{}
		var members []Member
		for _, m := range in.Members {
			switch rapid.SampledFrom([]string{"usable", "doubtful", "gone"}).Draw(t, "state") {
			case "gone":
				gone[m.VM] = true
				continue
			case "doubtful":
				m.State = Suspect
				doubtful[m.VM] = true
			}
			members = append(members, m)
		}
		in.Members = members
		stoppedZone := steering.Zone(rapid.SampledFrom([]string{"none", "r0-z0", "r1-z1"}).Draw(t, "zone"))
		stoppedPlace := steering.Place(rapid.SampledFrom([]string{"none", "r0-z1-p0", "r2-z0-p1"}).Draw(t, "place"))
		later := in.Now.Add(time.Minute)
		in.Snapshot.Stops = map[string]*routing.Stop{
			"z": {Kind: routing.StopZone, Subject: string(stoppedZone)},
			"p": {Kind: routing.StopPlace, Subject: string(stoppedPlace), At: in.Now},
			"l": {Kind: routing.StopZone, Subject: "r2-z1", At: later},
		}
		plan := NewPlan(in)
		assert.Equal(t, plan.NextStopStart(), later)
		left := slices.ContainsFunc(members, func(m Member) bool { return m.Zone != stoppedZone })
		usable := slices.ContainsFunc(members, func(m Member) bool { return m.Zone != stoppedZone && m.State == Live })
		for block := range 12 {
			index, err := plan.Choose(client(block, block), service)
			if err != nil {
				assert.Assert(t, !left, "refused although an entry VM is available: %v", err)
				continue
			}
			answer := plan.Answers()[index]
			place := in.Snapshot.Places[answer.Place]
			assert.Assert(t, place.Zone != stoppedZone && place.Name != stoppedPlace)
			assert.Assert(t, len(answer.Entries) > 0)
			for _, e := range answer.Entries {
				assert.Assert(t, !gone[e.VM])
				assert.Assert(t, e.VM[:5] != steering.VM(stoppedZone))
				assert.Assert(t, !doubtful[e.VM] || !usable || string(e.VM[:5]) == string(place.Zone))
			}
		}
	})
}

func TestChooseAllocatesNothing(t *testing.T) {
	in := testInput()
	in.Snapshot.Shifts["s"] = &routing.Shift{Name: "s", From: []steering.Place{"r0-z0-p0"}, To: []steering.Place{"r1-z0-p0"}, Moved: 50}
	plan := NewPlan(in)
	host := 0
	allocs := testing.AllocsPerRun(1000, func() {
		host++
		_, _ = plan.Choose(client(0, host), service)
	})
	assert.Equal(t, allocs, 0.0)
}

// Guards against clients that are sent to the home of a removed or changed block. This happens if a
// table changed block by block differs from a newly built one, or if a change is visible in a table
// that is already in use.
func TestChangedTableEqualsRebuilt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		blocks := map[netip.Prefix]steering.Place{}
		table, _ := NewTable(func(func(routing.Block) bool) {})
		for range rapid.IntRange(1, 30).Draw(t, "changes") {
			addr := netip.AddrFrom4([4]byte{10, rapid.Byte().Draw(t, "b") & 3, rapid.Byte().Draw(t, "c") & 3, 0})
			prefix, _ := addr.Prefix(rapid.IntRange(8, 24).Draw(t, "bits"))
			place := steering.Place(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "place"))
			var removed, added []routing.Block
			if old, ok := blocks[prefix]; ok {
				removed = append(removed, routing.Block{Prefix: prefix, Place: old})
				delete(blocks, prefix)
			}
			if rapid.Bool().Draw(t, "add") {
				added = append(added, routing.Block{Prefix: prefix, Place: place})
				blocks[prefix] = place
			}
			before, beforeOK := table.Lookup(addr)
			next := table.With(removed, added)
			again, againOK := table.Lookup(addr)
			assert.Equal(t, before, again)
			assert.Equal(t, beforeOK, againOK)
			table = next
		}
		assert.Equal(t, table.Len(), len(blocks))
		for b := range 4 {
			for c := range 4 {
				addr := netip.AddrFrom4([4]byte{10, byte(b), byte(c), 1})
				want, longest := steering.Place(""), -1
				for prefix, place := range blocks {
					if prefix.Contains(addr) && prefix.Bits() > longest {
						want, longest = place, prefix.Bits()
					}
				}
				got, ok := table.Lookup(netip.AddrFrom16(addr.As16()))
				assert.Equal(t, ok, longest >= 0)
				assert.Equal(t, got, want)
			}
		}
	})
}
