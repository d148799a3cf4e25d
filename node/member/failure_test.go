package member

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/node/seam"
	"heatherlock/objects"
	"heatherlock/steering"
)

// Guards against requests that are still sent to a replaced VM, and against treating the new
// process as the old one. A VM crashes and a new process starts under its name at a new address
// while the platform's list lags by 30 s, so neither the name nor the list identifies the
// process.
func TestVMReplaced(t *testing.T) {
	run(t, 4, threeZones, func(f *fleet, nodes []*node) {
		f.store.SetVMLag(30 * time.Second)
		old := nodes[1]
		rest := without(nodes, old)
		oldIncarnation := old.Self().Incarnation
		old.kill()
		zonePeers := []*node{nodes[0], nodes[2], nodes[3]}
		took := f.waitFor(3*time.Second, "the zone suspects the crashed member", zonePeers, seesState(old, seam.MemberSuspect))
		t.Logf("suspected in the zone after %s", took)
		took = f.waitFor(10*time.Second, "all members suspect the crashed member", rest, seesState(old, seam.MemberSuspect))
		t.Logf("suspected everywhere after %s", took)
		replacement := f.start(old.vm, old.zone, nodes[0].Self().PeerAddress)
		took = f.waitFor(10*time.Second, "all members see the new process", rest, seesState(replacement, seam.MemberLive))
		t.Logf("replacement known everywhere after %s", took)
		time.Sleep(time.Minute)
		for _, n := range rest {
			_, known := n.ByIncarnation(oldIncarnation)
			assert.Assert(t, !known, "%s still has the old process in its view", n.vm)
			assert.Assert(t, seesState(replacement, seam.MemberLive)(n))
		}
	})
}

// Guards against a process that continues after a pause of 30 s as if no time had passed, or that
// suspects all other members because it received no heartbeats during its own pause.
func TestPausedProcessDoesNotSuspectOthers(t *testing.T) {
	run(t, 4, threeZones, func(f *fleet, nodes []*node) {
		paused := nodes[0]
		rest := without(nodes, paused)
		assert.Assert(t, paused.ConfirmedSincePause())
		f.store.Down(true) // so that the reply of a peer settles it
		paused.pauseFor(30 * time.Second)
		for _, n := range rest {
			assert.Assert(t, seesState(paused, seam.MemberSuspect)(n), "%s does not suspect the paused member", n.vm)
		}
		assert.Assert(t, !paused.ConfirmedSincePause(), "the view is settled although no answer arrived since the pause")
		assert.Equal(t, len(paused.InZone(paused.zone)), 4)
		f.waitFor(2*time.Second, "the view is settled again", []*node{paused}, func(n *node) bool { return n.ConfirmedSincePause() })
		assert.Equal(t, len(paused.pauses), 1)
		for _, n := range rest {
			assert.Assert(t, seesState(n, seam.MemberLive)(paused), "the resumed member suspects %s", n.vm)
		}
		f.waitFor(10*time.Second, "all members see the resumed member as live", rest, seesState(paused, seam.MemberLive))
	})
}

// Guards against two holders of one seat. A process is paused, the platform lists its VM as gone,
// other members take over, and the process resumes. It must learn that it was replaced before it
// acts.
func TestPausedMemberLearnsItWasReplaced(t *testing.T) {
	run(t, 4, threeZones, func(f *fleet, nodes []*node) {
		paused := nodes[0]
		go func() {
			time.Sleep(20 * time.Second)
			f.store.SetVMState(string(paused.vm), objects.VMGone)
		}()
		paused.pauseFor(time.Minute)
		for range 100 {
			assert.Assert(t, !paused.ConfirmedSincePause())
			time.Sleep(100 * time.Millisecond)
		}
		assert.Equal(t, paused.Self().State, seam.MemberGone)
		for _, n := range without(nodes, paused) {
			assert.Assert(t, seesState(paused, seam.MemberGone)(n), "%s", n.vm)
		}
	})
}

// Guards against crashed members that appear live, or live ones that appear crashed, after a
// partition heals. A zone loses the other zones and the platform for two minutes, while one of
// its VMs is replaced and a VM elsewhere crashes and is listed as gone. Merging suspicion, which
// belongs to one observer, or letting late facts win would cause it.
func TestZonePartitionHeals(t *testing.T) {
	run(t, 4, threeZones, func(f *fleet, nodes []*node) {
		isolated, others := nodes[:4], nodes[4:]
		f.setPartitioned("norte-a", true)
		f.waitFor(15*time.Second, "the zone suspects the others", isolated, func(n *node) bool {
			return seesState(others[0], seam.MemberSuspect)(n) && seesState(isolated[3], seam.MemberLive)(n)
		})
		f.waitFor(15*time.Second, "the others suspect the zone", others, func(n *node) bool {
			return seesState(isolated[0], seam.MemberSuspect)(n) && seesState(others[3], seam.MemberLive)(n)
		})
		assert.Equal(t, len(others[0].InZone("norte-a")), 4, "if all members of a zone are suspect, all stay usable")
		replacedVM, crashed := isolated[1], others[1]
		replacedVM.kill()
		crashed.kill()
		f.store.SetVMState(string(crashed.vm), objects.VMGone)
		replacement := f.start(replacedVM.vm, replacedVM.zone, isolated[0].Self().PeerAddress)
		time.Sleep(2 * time.Minute)

		f.setPartitioned("norte-a", false)
		all := []*node{isolated[0], replacement, isolated[2], isolated[3], others[0], others[2], others[7]}
		took := f.waitFor(15*time.Second, "the views converge", all, func(n *node) bool {
			return seesState(replacement, seam.MemberLive)(n) && seesState(isolated[0], seam.MemberLive)(n) &&
				seesState(others[7], seam.MemberLive)(n) && seesState(crashed, seam.MemberGone)(n)
		})
		t.Logf("views converged after %s", took)
		for range 300 {
			time.Sleep(100 * time.Millisecond)
			for _, n := range all {
				assert.Assert(t, seesState(crashed, seam.MemberGone)(n), "%s no longer sees the crashed member as gone", n.vm)
				assert.Assert(t, seesState(replacement, seam.MemberLive)(n), "%s no longer sees the replacement as live", n.vm)
			}
		}
	})
}

// Guards against a member that all others drop because a single member cannot reach it. Messages
// from one member to another are lost while all other paths work. Spreading the outcome of own
// calls as a fact would cause it.
func TestOneWayPartition(t *testing.T) {
	run(t, 4, threeZones, func(f *fleet, nodes []*node) {
		from, to := nodes[0], nodes[1]
		f.mu.Lock()
		f.droppedVMPairs[[2]steering.VM{from.vm, to.vm}] = true
		f.mu.Unlock()
		f.waitFor(10*time.Second, "the member that cannot reach the other suspects it", []*node{from}, seesState(to, seam.MemberSuspect))
		wrongStates := 0
		for range 300 {
			time.Sleep(100 * time.Millisecond)
			assert.Assert(t, seesState(to, seam.MemberSuspect)(from))
			for _, n := range without(nodes, from) {
				if !seesState(to, seam.MemberLive)(n) {
					wrongStates++
				}
			}
		}
		assert.Equal(t, wrongStates, 0, "live members seen as suspect, in 3300 observations")
	})
}

// Guards against new requests to a leaving VM until the platform's list catches up. The VM
// announces that it is leaving while the list, two minutes behind, still shows it as live. The
// list must not override the member itself.
func TestLeavingOverridesLaggingList(t *testing.T) {
	run(t, 4, threeZones, func(f *fleet, nodes []*node) {
		f.store.SetVMLag(2 * time.Minute)
		nodes[0].Leave()
		took := f.waitFor(3*time.Second, "all members see that it is leaving", nodes, seesState(nodes[0], seam.MemberLeaving))
		t.Logf("leaving known everywhere after %s", took)
		for range 60 {
			time.Sleep(time.Second)
			for _, n := range nodes {
				assert.Assert(t, seesState(nodes[0], seam.MemberLeaving)(n))
				assert.Equal(t, len(n.InZone("norte-a")), 3)
			}
		}
	})
}

// Guards against replacements that stay undiscovered while the platform is down, and against a
// burst of list reads when it recovers. The platform is down for ten minutes while two VMs are
// replaced. The list must not be the only way to discover members, and reads must not be
// synchronized.
func TestPlatformDown(t *testing.T) {
	run(t, 4, threeZones, func(f *fleet, nodes []*node) {
		f.store.Down(true)
		nodes[1].kill()
		nodes[5].kill()
		a := f.start(nodes[1].vm, nodes[1].zone, nodes[0].Self().PeerAddress)
		b := f.start(nodes[5].vm, nodes[5].zone, nodes[4].Self().PeerAddress)
		rest := append(without(without(nodes, nodes[1]), nodes[5]), a, b)
		took := f.waitFor(15*time.Second, "all members see the replacements", rest, func(n *node) bool {
			return seesState(a, seam.MemberLive)(n) && seesState(b, seam.MemberLive)(n)
		})
		t.Logf("replacements known everywhere after %s", took)
		time.Sleep(10 * time.Minute)
		f.store.Down(false)
		before := f.store.Counts().Total
		time.Sleep(time.Minute)
		// A zone's list reader waits 5 to 15 s between reads, 10 s on average. Each of the two
		// replacements adds one read.
		calls := f.store.Counts().Total - before
		assert.Assert(t, calls <= 3*(12+1)+2, "%d reads of the list in the first minute by three zones", calls)
		time.Sleep(9 * time.Minute)
		calls = f.store.Counts().Total - before
		assert.Assert(t, calls <= 10*(3*6+2), "%d reads of the list in ten minutes by three zones", calls)
		for _, n := range rest {
			assert.Assert(t, seesState(a, seam.MemberLive)(n) && seesState(b, seam.MemberLive)(n))
		}
	})
}

// Guards against live members that are intermittently suspected in a zone of the designed size,
// so that their pools change owners without need. It would happen in an idle zone if a member
// were suspected before a heartbeat had time to be relayed to all members.
func TestIdleZoneStaysLive(t *testing.T) {
	run(t, 22, threeZones[:1], func(_ *fleet, nodes []*node) {
		var oldest time.Duration
		wrongStates := 0
		for range 120 {
			time.Sleep(500 * time.Millisecond)
			for _, n := range nodes {
				for _, m := range n.All() {
					oldest = max(oldest, time.Since(m.LastReceived))
					if m.State != seam.MemberLive {
						wrongStates++
					}
				}
			}
		}
		t.Logf("age of the oldest heartbeat: %s", oldest)
		assert.Equal(t, wrongStates, 0, "live members seen as suspect, in %d observations", 120*22*22)
	})
}
