package status

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"heatherlock/steering"
)

// fleetOf195 returns the statuses of one VM of each of nine zones in a fleet of 195 VMs that all
// use version 17.
func fleetOf195() []*Status {
	var all []*Status
	for zone := range 9 {
		s := &Status{VM: steering.VM(fmt.Sprintf("vm-%d-0", zone)), Zone: steering.Zone(fmt.Sprint("zone-", zone)), Ready: true, ConfigVersion: 17,
			Config: Config{Newest: 17, Content: "0badcafe", InForceMs: 9000}}
		for n := range 195 {
			if n == zone {
				continue
			}
			p := Peer{VM: steering.VM(fmt.Sprintf("vm-%d-%d", n%9, n/9)), Zone: steering.Zone(fmt.Sprint("zone-", n%9)), Live: true, Ready: true,
				ConfigVersion: 17, Newest: 17, Content: "0badcafe", InForceMs: 8000, ToldMs: 300}
			if n%9 != zone {
				p.ConfigVersion, p.Newest, p.ToldMs = 0, 0, -1 // most VMs of other zones never send heartbeats to it
			}
			s.Fleet = append(s.Fleet, p)
		}
		all = append(all, s)
	}
	return all
}

func summarizeAll(all []*Status) Overview {
	var rows []Row
	for _, s := range all {
		rows = append(rows, s.Rows()...)
	}
	return Summarize(rows)
}

// Checks that asking one VM per zone is enough to know the configuration of all 195.
func TestOneStatusPerZoneCoversTheFleet(t *testing.T) {
	o := summarizeAll(fleetOf195())
	assert.Assert(t, o.Agree())
	assert.Equal(t, o.Live, 195)
	assert.Equal(t, o.Newest, uint64(17))
	assert.Equal(t, len(o.Zones), 9)
	vms := 0
	for _, z := range o.Zones {
		assert.Equal(t, z.Version, uint64(17))
		assert.Equal(t, z.InForceMs, int64(8000))
		vms += z.VMs
	}
	assert.Equal(t, vms, 195)
}

// Checks that each way of not using the newest configuration is reported with its reason, including
// what the VM is waiting for.
func TestOutliersHaveReasons(t *testing.T) {
	for name, c := range map[string]struct {
		change func(p *Peer)
		why    string
	}{
		"behind":        {func(p *Peer) { p.ConfigVersion, p.Newest, p.Wait = 15, 17, "no VM that has it has room" }, "behind: no VM that has it has room"},
		"does not know": {func(p *Peer) { p.ConfigVersion, p.Newest = 15, 15 }, "does not know of the newest"},
		"starting":      {func(p *Peer) { p.ConfigVersion, p.Newest, p.Content = 0, 0, "" }, "no configuration yet"},
		"other content": {func(p *Peer) { p.Content = "deadbeef" }, "same version, other content"},
		"unheard":       {func(p *Peer) { p.ToldMs = 60000 }, "last heard 60000 ms ago by vm-3-0"},
	} {
		t.Run(name, func(t *testing.T) {
			all := fleetOf195()
			for n := range all[3].Fleet {
				if p := &all[3].Fleet[n]; p.VM == "vm-3-7" {
					c.change(p)
				}
			}
			o := summarizeAll(all)
			assert.Assert(t, !o.Agree())
			assert.Equal(t, len(o.Outliers), 1)
			assert.Equal(t, o.Outliers[0].VM, steering.VM("vm-3-7"))
			assert.Equal(t, o.Outliers[0].Why, c.why)
		})
	}
}

func TestOwnStatusReportsMissingParts(t *testing.T) {
	all := fleetOf195()
	all[0].ConfigVersion = 15
	all[0].Config = Config{Newest: 17, NewestFrom: "vm-1-0", BehindMs: 2100, PartsMissing: 3, Parts: 8, Wait: "parts under way"}
	o := summarizeAll(all)
	assert.Equal(t, o.Outliers[0].Why, "behind for 2100 ms: parts under way, 3 of 8 parts missing")
}

// Checks that a VM that is gone or leaving is counted as gone and is not reported as an outlier.
func TestGoneAndLeavingVMsAreNotOutliers(t *testing.T) {
	all := fleetOf195()
	for n := range all[2].Fleet {
		switch p := &all[2].Fleet[n]; p.VM {
		case "vm-2-3":
			p.Live, p.ConfigVersion = false, 3
		case "vm-2-4":
			p.Leaving, p.ConfigVersion = true, 3
		}
	}
	o := summarizeAll(all)
	assert.Assert(t, o.Agree())
	assert.Equal(t, o.Live, 193)
	assert.Equal(t, o.Gone, 2)
}

func TestRejectedConfigurationIsReportedOnce(t *testing.T) {
	all := fleetOf195()
	all[0].Config.Rejected = &Rejected{Version: "r18", Reason: "route x names no service"}
	all[1].Config.Rejected = &Rejected{Version: "r18", Reason: "route x names no service"}
	assert.DeepEqual(t, summarizeAll(all).Rejected, []Rejected{{"r18", "route x names no service"}})
}

func TestEmptyFleetDoesNotAgree(t *testing.T) { assert.Assert(t, !Summarize(nil).Agree()) }
