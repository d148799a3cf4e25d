package member

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/node/seam"
	"heatherlock/objects"
	"heatherlock/steering"
)

// Symptom: work goes to a VM that was replaced minutes ago, or a key of its old
// process is passed to its successor. Sequence: a VM dies, a new process starts
// under its name at a new address, and the platform's list lags by 30 s. Cause:
// taking the name for the process, or waiting for the list.
func TestVMReplaced(t *testing.T) {
	run(t, 4, threeZones, func(f *fleet, nodes []*node) {
		f.store.SetVMLag(30 * time.Second)
		old := nodes[1]
		rest := without(nodes, old)
		lost := old.Self().Incarnation
		old.kill()
		near := []*node{nodes[0], nodes[2], nodes[3]}
		took := f.within(3*time.Second, "the zone suspects the dead member", near, sees(old, seam.MemberSuspect))
		t.Logf("suspected in the zone after %s", took)
		took = f.within(10*time.Second, "all suspect the dead member", rest, sees(old, seam.MemberSuspect))
		t.Logf("suspected everywhere after %s", took)
		fresh := f.start(old.vm, old.zone, nodes[0].Self().PeerAddress)
		took = f.within(10*time.Second, "all know the new process", rest, sees(fresh, seam.MemberLive))
		t.Logf("replacement known everywhere after %s", took)
		time.Sleep(time.Minute)
		for _, n := range rest {
			_, known := n.ByIncarnation(lost)
			assert.Assert(t, !known, "%s still knows the old process", n.vm)
			assert.Assert(t, sees(fresh, seam.MemberLive)(n))
		}
	})
}

// Symptom: a process that was paused goes on as if no time had passed, and
// suspects everybody because nobody was heard meanwhile. Sequence: the process
// stands still for 30 s, then wakes. Cause: not looking at its own clock first.
func TestPausedProcessWakes(t *testing.T) {
	run(t, 4, threeZones, func(f *fleet, nodes []*node) {
		paused := nodes[0]
		rest := without(nodes, paused)
		assert.Assert(t, paused.ConfirmedSincePause())
		f.store.Down(true) // so that it is a peer whose answer settles it
		paused.freeze(30 * time.Second)
		for _, n := range rest {
			assert.Assert(t, sees(paused, seam.MemberSuspect)(n), "%s did not miss it", n.vm)
		}
		assert.Assert(t, !paused.ConfirmedSincePause(), "it believes what it knew before the pause")
		assert.Equal(t, len(paused.InZone(paused.zone)), 4)
		f.within(2*time.Second, "it has asked again", []*node{paused}, func(n *node) bool { return n.ConfirmedSincePause() })
		assert.Equal(t, len(paused.pauses), 1)
		for _, n := range rest {
			assert.Assert(t, sees(n, seam.MemberLive)(paused), "it suspects %s", n.vm)
		}
		f.within(10*time.Second, "all see it again", rest, sees(paused, seam.MemberLive))
	})
}

// Symptom: two holders of one seat. Sequence: a process is paused; the platform
// shows its VM as gone and others take over; the process wakes. Cause: a holder
// that does not learn that it was replaced before it acts.
func TestPausedPastItsReplacement(t *testing.T) {
	run(t, 4, threeZones, func(f *fleet, nodes []*node) {
		paused := nodes[0]
		go func() {
			time.Sleep(20 * time.Second)
			f.store.SetVMState(string(paused.vm), objects.VMGone)
		}()
		paused.freeze(time.Minute)
		for range 100 {
			assert.Assert(t, !paused.ConfirmedSincePause())
			time.Sleep(100 * time.Millisecond)
		}
		assert.Equal(t, paused.Self().State, seam.MemberGone)
		for _, n := range without(nodes, paused) {
			assert.Assert(t, sees(paused, seam.MemberGone)(n), "%s", n.vm)
		}
	})
}

// Symptom: after a cut heals, dead processes look alive, or live ones look dead
// everywhere. Sequence: a zone loses the other zones and the platform for two
// minutes; meanwhile one of its VMs is replaced and one elsewhere dies and is
// shown as gone; then the cut heals. Cause: merging suspicion, which belongs to
// the observer, or letting late facts win.
func TestZoneCutOffAndHealed(t *testing.T) {
	run(t, 4, threeZones, func(f *fleet, nodes []*node) {
		inside, outside := nodes[:4], nodes[4:]
		f.isolate("norte-a", true)
		f.within(15*time.Second, "the zone suspects the others", inside, func(n *node) bool {
			return sees(outside[0], seam.MemberSuspect)(n) && sees(inside[3], seam.MemberLive)(n)
		})
		f.within(15*time.Second, "the others suspect the zone", outside, func(n *node) bool {
			return sees(inside[0], seam.MemberSuspect)(n) && sees(outside[3], seam.MemberLive)(n)
		})
		assert.Equal(t, len(outside[0].InZone("norte-a")), 4, "where all look dead, all stay usable")
		replaced, dead := inside[1], outside[1]
		replaced.kill()
		dead.kill()
		f.store.SetVMState(string(dead.vm), objects.VMGone)
		fresh := f.start(replaced.vm, replaced.zone, inside[0].Self().PeerAddress)
		time.Sleep(2 * time.Minute)

		f.isolate("norte-a", false)
		all := []*node{inside[0], fresh, inside[2], inside[3], outside[0], outside[2], outside[7]}
		took := f.within(15*time.Second, "the views meet", all, func(n *node) bool {
			return sees(fresh, seam.MemberLive)(n) && sees(inside[0], seam.MemberLive)(n) &&
				sees(outside[7], seam.MemberLive)(n) && sees(dead, seam.MemberGone)(n)
		})
		t.Logf("views met after %s", took)
		for range 300 {
			time.Sleep(100 * time.Millisecond)
			for _, n := range all {
				assert.Assert(t, sees(dead, seam.MemberGone)(n), "%s resurrected a dead member", n.vm)
				assert.Assert(t, sees(fresh, seam.MemberLive)(n), "%s lost the replacement", n.vm)
			}
		}
	})
}

// Symptom: a member that one other cannot reach is dropped by all. Sequence:
// messages from one member to another get lost, all other ways work. Cause:
// spreading one's own evidence as fact.
func TestAsymmetricCut(t *testing.T) {
	run(t, 4, threeZones, func(f *fleet, nodes []*node) {
		from, to := nodes[0], nodes[1]
		f.mu.Lock()
		f.cutVM[[2]steering.VM{from.vm, to.vm}] = true
		f.mu.Unlock()
		f.within(10*time.Second, "the one suspects the other", []*node{from}, sees(to, seam.MemberSuspect))
		wrong := 0
		for range 300 {
			time.Sleep(100 * time.Millisecond)
			assert.Assert(t, sees(to, seam.MemberSuspect)(from))
			for _, n := range without(nodes, from) {
				if !sees(to, seam.MemberLive)(n) {
					wrong++
				}
			}
		}
		assert.Equal(t, wrong, 0, "observations of a live member as suspect, of 3300")
	})
}

// Symptom: a leaving VM gets new work until the platform's list catches up.
// Sequence: the VM announces that it leaves; the list, two minutes behind,
// says live. Cause: letting the list overrule the member itself.
func TestLeavingOutrunsTheList(t *testing.T) {
	run(t, 4, threeZones, func(f *fleet, nodes []*node) {
		f.store.SetVMLag(2 * time.Minute)
		nodes[0].Leave()
		took := f.within(3*time.Second, "all know that it leaves", nodes, sees(nodes[0], seam.MemberLeaving))
		t.Logf("leaving known everywhere after %s", took)
		for range 60 {
			time.Sleep(time.Second)
			for _, n := range nodes {
				assert.Assert(t, sees(nodes[0], seam.MemberLeaving)(n))
				assert.Equal(t, len(n.InZone("norte-a")), 3)
			}
		}
	})
}

// Symptom: while the platform is down nobody new is found and everybody reads
// its list when it is back. Sequence: the platform is down for ten minutes
// while two VMs are replaced, then comes back. Cause: a list as the only way to
// be found, and reads in step.
func TestPlatformDown(t *testing.T) {
	run(t, 4, threeZones, func(f *fleet, nodes []*node) {
		f.store.Down(true)
		nodes[1].kill()
		nodes[5].kill()
		a := f.start(nodes[1].vm, nodes[1].zone, nodes[0].Self().PeerAddress)
		b := f.start(nodes[5].vm, nodes[5].zone, nodes[4].Self().PeerAddress)
		rest := append(without(without(nodes, nodes[1]), nodes[5]), a, b)
		took := f.within(15*time.Second, "replacements are known", rest, func(n *node) bool {
			return sees(a, seam.MemberLive)(n) && sees(b, seam.MemberLive)(n)
		})
		t.Logf("replacements known everywhere after %s", took)
		time.Sleep(10 * time.Minute)
		f.store.Down(false)
		before := f.store.Counts().Total
		time.Sleep(time.Minute)
		// A zone's reader waits 5 to 15 s between reads, 10 s on average, and
		// each of the two replacements reads once besides.
		calls := f.store.Counts().Total - before
		assert.Assert(t, calls <= 3*(12+1)+2, "%d reads of the list in the first minute by three zones", calls)
		time.Sleep(9 * time.Minute)
		calls = f.store.Counts().Total - before
		assert.Assert(t, calls <= 10*(3*6+2), "%d reads of the list in ten minutes by three zones", calls)
		for _, n := range rest {
			assert.Assert(t, sees(a, seam.MemberLive)(n) && sees(b, seam.MemberLive)(n))
		}
	})
}

// Symptom: in a zone of the size designed for, live members are suspect now
// and then, and their pools move for nothing. Sequence: nothing happens for a
// minute. Cause: a silence that counts before a beat has had time to be
// relayed to everybody.
func TestQuietZoneStaysLive(t *testing.T) {
	run(t, 22, threeZones[:1], func(_ *fleet, nodes []*node) {
		var oldest time.Duration
		wrong := 0
		for range 120 {
			time.Sleep(500 * time.Millisecond)
			for _, n := range nodes {
				for _, m := range n.All() {
					oldest = max(oldest, time.Since(m.LastReceived))
					if m.State != seam.MemberLive {
						wrong++
					}
				}
			}
		}
		t.Logf("oldest beat seen: %s", oldest)
		assert.Equal(t, wrong, 0, "observations of a live member as suspect, of %d", 120*22*22)
	})
}
