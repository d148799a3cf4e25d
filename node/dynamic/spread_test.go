package dynamic

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/node/runtime"
	"heatherlock/objects"
	"heatherlock/peer/peerpb"
	"heatherlock/steering"
)

// propagationLimit is the time within which an accepted change must be in force
// everywhere.
const propagationLimit = 4 * time.Second

func TestChangeIsInForceEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startedFleet(t, 4, 5)
		defer f.killAll()
		for timeout := 2000; timeout < 5000; timeout += 1000 {
			version := f.put(KindService, "tickets", serviceValue(timeout))
			time.Sleep(propagationLimit)
			f.requireVersion(version)
			f.requireSameSet()
			for _, m := range f.nodes {
				assert.Equal(t, m.spread.Snapshot().Services["tickets"].Timeout, milliseconds(int64(timeout)))
			}
		}
	})
}

// Guards against a configuration that is held only by the platform or by one process.
// One node of each zone restarts twice while the platform is down for 10 min; without
// copies on peers, a restarted node would have no configuration or an old one, or nodes
// would stop. The number of platform calls after the outage is checked as well.
func TestPlatformDownForTenMinutesWithRestarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startedFleet(t, 3, 4)
		defer f.killAll()
		version := f.put(KindService, "tickets", serviceValue(2000))
		time.Sleep(propagationLimit)
		f.store.Down(true)
		for range 2 {
			for z := range 3 {
				m := f.nodes[fmt.Sprintf("vm-%d-%d:1", z, z)]
				m.kill()
				m.start()
				time.Sleep(100 * time.Second)
			}
		}
		f.requireVersion(version)
		assert.Equal(t, len(f.readers()), 0)
		before := f.store.Counts().Total
		f.store.Down(false)
		time.Sleep(settleTime)
		calls := f.store.Counts().Total - before
		assert.Assert(t, calls < int64(settleTime/time.Second)*10, "%d calls in %s after the outage", calls, settleTime)
		version = f.put(KindService, "tickets", serviceValue(3000))
		time.Sleep(propagationLimit)
		f.requireVersion(version)
		f.requireSameSet()
	})
}

// Guards against leases that expire during slow calls, and reads that time out and
// start again: with platform calls that take 800 ms for minutes, a change would take
// longer than propagationLimit.
func TestSlowPlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startedFleet(t, 3, 3)
		defer f.killAll()
		f.store.Slow(800 * time.Millisecond)
		time.Sleep(2 * time.Minute)
		assert.Equal(t, len(f.readers()), 3)
		version := f.put(KindService, "tickets", serviceValue(2000))
		time.Sleep(propagationLimit)
		f.requireVersion(version)
	})
}

// Guards against treating a lost reply to a lease write as a refusal: the write may
// have taken effect, and the zone would have no reader, or two.
func TestLostRepliesToLeaseWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startedFleet(t, 3, 3)
		defer f.killAll()
		f.store.LoseReplies(10)
		for range 60 {
			time.Sleep(time.Second)
			assert.Assert(t, len(f.readers()) <= 3)
		}
		assert.Equal(t, len(f.readers()), 3)
		version := f.put(KindService, "tickets", serviceValue(2000))
		time.Sleep(propagationLimit)
		f.requireVersion(version)
	})
}

// Guards against a reader that is paused until after its lease has expired, with a
// watch reply not yet handled, while another takes over and the configuration changes.
// If it resumed without checking the time of its lease or the version of the reply, it
// would take nodes back to an old version or overwrite what its successor wrote.
func TestLeaseLapsedWhilePaused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startedFleet(t, 2, 3)
		defer f.killAll()
		paused := f.readerOf("zone-0")
		oldEpoch, _ := paused.spread.Leader()
		paused.gate.close()
		f.put(KindService, "tickets", serviceValue(2000))
		time.Sleep(settleTime)
		successor := f.readerOf("zone-0")
		assert.Assert(t, successor != paused)
		version := f.put(KindService, "tickets", serviceValue(3000))
		time.Sleep(propagationLimit)
		paused.gate.open()
		assert.Equal(t, len(f.readers()), 2, "the paused reader still holds its lease")
		time.Sleep(time.Minute)
		f.requireVersion(version)
		f.requireSameSet()
		statuses, err := ZoneStatuses(t.Context(), f.operator())
		assert.NilError(t, err)
		assert.Assert(t, statuses[0].Epoch > oldEpoch)
		assert.Equal(t, statuses[0].Writer, successor.self.VM)
	})
}

// Guards against a fetch that waits for the only peer known to have a version: a
// zone's reader adopts and announces a change, and hangs before it serves it, so that
// the change would reach the zone later than propagationLimit.
func TestReaderHangsAfterAnnouncing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startedFleet(t, 3, 4)
		defer f.killAll()
		reader := f.readerOf("zone-0")
		var once sync.Once
		f.onAnnounce = func(from *fleetNode) {
			if from == reader {
				once.Do(reader.gate.close)
			}
		}
		// Sometimes another entry VM of the zone gets the change from another zone first,
		// and the reader announces nothing. So the reader hangs at one of several changes.
		const changes = 10
		for n := 0; n < changes && reader.gate.isOpen(); n++ {
			version := f.put(KindService, "tickets", serviceValue(2000+n))
			time.Sleep(propagationLimit)
			f.requireVersion(version)
		}
		assert.Assert(t, !reader.gate.isOpen(), "the reader announced none of the changes")
	})
}

// Guards against a zone that gets changes through its own reader only: while it cannot
// reach the platform, and only one other zone, it would stay at an old configuration
// although that zone has the new one.
func TestZoneCutOffFromPlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startedFleet(t, 3, 3)
		defer f.killAll()
		f.store.CutOff("zone-0", true)
		f.cutZones("zone-0", "zone-1", true)
		time.Sleep(settleTime)
		assert.Equal(t, len(f.readers()), 2)
		version := f.put(KindService, "tickets", serviceValue(2000))
		time.Sleep(propagationLimit)
		f.requireVersion(version)
		f.store.CutOff("zone-0", false)
		f.cutZones("zone-0", "zone-1", false)
		time.Sleep(settleTime)
		assert.Equal(t, len(f.readers()), 3)
		f.requireSameSet()
	})
}

// Guards against adopting the configuration received last instead of the highest
// version. A zone loses the platform and every other zone while a node of it restarts
// and operators change objects; when the connections are restored, other nodes would go
// back to the zone's old version, or the zone would stay behind.
func TestZoneCutOffFromEverything(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startedFleet(t, 3, 3)
		defer f.killAll()
		before := f.nodes["vm-0-0:1"].spread.Version()
		f.isolate("zone-0", true)
		version := f.put(KindService, "tickets", serviceValue(2000))
		time.Sleep(time.Minute)
		restarted := f.nodes["vm-0-1:1"]
		restarted.kill()
		restarted.start()
		time.Sleep(settleTime)
		assert.Equal(t, restarted.spread.Version(), before, "the restarted node takes the configuration of its zone")
		statuses, err := ZoneStatuses(t.Context(), f.operator())
		assert.NilError(t, err)
		for _, s := range statuses {
			_, cut := s.CutOffSince(time.Now())
			assert.Equal(t, cut, s.Zone == "zone-0")
		}
		f.isolate("zone-0", false)
		time.Sleep(settleTime)
		f.requireVersion(version)
		f.requireSameSet()
	})
}

// isolate cuts a zone off from the platform and every other zone, or reconnects it.
func (f *fleet) isolate(zone steering.Zone, on bool) {
	f.store.CutOff(string(zone), on)
	for _, m := range f.nodes {
		if m.self.Zone != zone {
			f.cutZones(zone, m.self.Zone, on)
		}
	}
}

// Guards against treating a list as the newest state. Reads come from a replica that
// lags by many revisions, the platform has compacted the changes since, so that a reader
// must list, and every reader is replaced; a new reader would take its zone back to an
// old configuration.
func TestStaleReadsWhileReadersAreReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startedFleet(t, 2, 3)
		defer f.killAll()
		for timeout := 2000; timeout < 2010; timeout++ {
			f.put(KindService, "tickets", serviceValue(timeout))
		}
		time.Sleep(propagationLimit)
		version := f.nodes["vm-0-0:1"].spread.Version()
		f.store.StaleReads(8)
		f.store.Compact(version)
		for range 3 {
			for _, m := range f.readers() {
				m.kill()
				m.start()
			}
			time.Sleep(settleTime)
			f.requireVersion(version)
		}
		f.store.StaleReads(0)
		time.Sleep(settleTime)
		version = f.put(KindService, "tickets", serviceValue(3000))
		time.Sleep(propagationLimit)
		f.requireVersion(version)
	})
}

// Guards against adopting a delta by its version alone: if an object were missing from
// the delta, a node would be at the current version without that object.
func TestIncompleteDeltas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startedFleet(t, 2, 4)
		defer f.killAll()
		f.editReply = func(reply *peerpb.FetchConfigReply) {
			if n := len(reply.GetObjects()); n > 0 && !reply.GetWhole() {
				reply.Objects = reply.GetObjects()[:n-1]
			}
		}
		version := f.put(KindService, "tickets", serviceValue(2000))
		f.put(KindService, "passes", serviceValue(2000))
		time.Sleep(propagationLimit)
		f.requireVersion(version)
		f.requireSameSet()
	})
}

// Guards against steps that are correct only as long as no other part fails. Outages,
// slow calls, lost replies, stale reads, cut connections, pauses, kills and racing
// operators occur in any mix and then end; nodes must not differ for ever, go back to an
// older version, or all call the platform at once.
func TestAnyFaultsTogether(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startedFleet(t, 3, 3)
				defer f.killAll()
				c := newChaos(f, seed)
				for range 60 {
					c.step()
					time.Sleep(time.Duration(c.random.IntN(8000)) * time.Millisecond)
				}
				c.heal()
				time.Sleep(2 * settleTime)
				version := f.put(KindService, "tickets", serviceValue(9000))
				time.Sleep(propagationLimit)
				f.requireVersion(version)
				f.requireSameSet()
				assert.Equal(t, len(f.readers()), 3)
			})
		})
	}
}

func TestBadObjectsAreLeftOutAndReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 2)
		f.put(KindService, "tickets", serviceValue(1000))
		f.put(KindService, "broken", `{"kind":"Service","metadata":{"name":"broken"},"spec":{"timeoutMs":-5}}`)
		f.put(KindPlace, "nonsense", `[1,2,3]`)
		f.put(KindShift, "nowhere", `{"kind":"Shift","metadata":{"name":"nowhere"},"spec":{"from":"a","to":"b","percent":5}}`)
		f.put(KindShiftProgress, "nowhere", `{"moved":500}`)
		f.put(KindClientBlocks, "blocks", `{"kind":"ClientBlocks","metadata":{"name":"blocks"},"spec":{"blocks":[{"prefix":"10.0.0.0/8","place":"p"},{"prefix":"10.0.0.0/99","place":"p"}]}}`)
		f.startAll()
		defer f.killAll()
		time.Sleep(settleTime)
		spread := f.nodes["vm-0-0:1"].spread
		snapshot := spread.Snapshot()
		assert.Equal(t, len(snapshot.Services), 1)
		assert.Equal(t, snapshot.Blocks.Len(), 1)
		assert.Equal(t, len(spread.Problems()), 5, "%v", spread.Problems())
		for _, p := range spread.Problems() {
			assert.Assert(t, p.Remedy != "" && p.Detail != "" && p.Version > 0)
		}
	})
}

// Guards against a status that is written on every change: the contents of a zone's
// status change all the time, and the platform would get a write per request.
func TestZoneStatusIsWrittenAtABoundedRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 1)
		inFlight := 0
		f.facts = func() runtime.ZoneFacts {
			inFlight++
			return runtime.ZoneFacts{Members: []runtime.MemberStatus{{VM: "vm-0-0", State: "live", InFlight: inFlight, ConfigVersion: 1}}}
		}
		f.put(KindService, "tickets", serviceValue(1000))
		f.startAll()
		defer f.killAll()
		time.Sleep(settleTime)
		before := f.store.Counts().ByOp[objects.OpUpdate]
		time.Sleep(time.Minute)
		writes := f.store.Counts().ByOp[objects.OpUpdate] - before
		bound := int64(time.Minute/minStatusInterval) + int64(time.Minute/(3*time.Second)) + 2
		assert.Assert(t, writes <= bound, "%d writes in a minute, bound %d", writes, bound)
		object, err := f.operator().Get(context.Background(), runtime.KindZoneStatus, "zone-0")
		assert.NilError(t, err)
		var status runtime.ZoneStatus
		assert.NilError(t, json.Unmarshal(object.Value, &status))
		assert.Equal(t, status.ConfigVersion, int64(1), "the lowest version in the zone")
	})
}
