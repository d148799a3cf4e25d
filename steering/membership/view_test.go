package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"heatherlock/steering"
)

var start = time.Unix(1_700_000_000, 0)

var zones = []steering.Zone{"norte-a", "norte-b", "sur-a"}

// drawFact draws a Fact from few distinct values, so that drawn facts often conflict.
func drawFact(t *rapid.T) Fact {
	vm := rapid.SampledFrom([]steering.VM{"a", "b", "c", "d"}).Draw(t, "vm")
	f := Fact{VM: vm, Status: Status(rapid.IntRange(0, 2).Draw(t, "status"))}
	if n := rapid.Int64Range(0, 3).Draw(t, "life"); n > 0 {
		f.IncarnationKey = IncarnationKey{Started: n / 2, Incarnation: steering.Incarnation(fmt.Sprint("i", n))}
	}
	f.Location = Location{Zone: rapid.SampledFrom(zones).Draw(t, "zone"), PeerAddress: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "address")}
	f.ConfigVersion = rapid.Int64Range(0, 3).Draw(t, "config")
	f.Load = Load{Beat: rapid.Uint64Range(0, 2).Draw(t, "beat"), InFlight: rapid.Int32Range(0, 2).Draw(t, "inFlight")}
	return f
}

func TestJoinLaws(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawFact(t), drawFact(t), drawFact(t)
		b.VM, c.VM = a.VM, a.VM
		assert.Equal(t, Join(a, b), Join(b, a))
		assert.Equal(t, Join(a, Join(b, c)), Join(Join(a, b), c))
		assert.Equal(t, Join(a, a), a)
		joined := Join(a, b)
		assert.Assert(t, joined.IncarnationKey.Compare(a.IncarnationKey) >= 0, "an old incarnation came back")
		if joined.IncarnationKey == a.IncarnationKey {
			assert.Assert(t, joined.Status >= a.Status, "a leaving member came back")
		}
	})
}

func self() Fact {
	return Fact{VM: "self", IncarnationKey: IncarnationKey{Started: 1, Incarnation: "s"}, Location: Location{Zone: "norte-a"}}
}

func facts(v *View) []Fact {
	var facts []Fact
	for _, e := range v.sorted() {
		facts = append(facts, e.Fact)
	}
	return facts
}

// TestMergeIsOrderIndependent checks that views which merged the same facts in any order,
// with any duplicates, are equal and have equal digests.
func TestMergeIsOrderIndependent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		live := []Fact{} // the tombstone of an unknown VM is not stored, so start with live facts
		for _, vm := range []steering.VM{"a", "b", "c", "d"} {
			live = append(live, Fact{VM: vm})
		}
		drawn := rapid.SliceOfN(rapid.Custom(drawFact), 0, 20).Draw(t, "facts")
		repeated := append(slices.Clone(drawn), drawn...)
		shuffled := rapid.Permutation(repeated).Draw(t, "shuffled")
		a, b := NewView(self(), Params{}, start), NewView(self(), Params{}, start)
		for _, f := range append(slices.Clone(live), drawn...) {
			a.Merge(f, start)
		}
		for _, f := range append(slices.Clone(live), shuffled...) {
			b.Merge(f, start)
		}
		assert.DeepEqual(t, facts(a), facts(b))
		assert.Equal(t, a.Digest(), b.Digest())
		assert.Equal(t, a.Buckets(), b.Buckets())
	})
}

// TestBucketsSynchronize checks that a single exchange of the facts in differing buckets
// makes two views equal.
func TestBucketsSynchronize(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := NewView(self(), Params{}, start), NewView(self(), Params{}, start)
		for _, f := range rapid.SliceOfN(rapid.Custom(drawFact), 0, 20).Draw(t, "a") {
			a.Merge(f, start)
		}
		for _, f := range rapid.SliceOfN(rapid.Custom(drawFact), 0, 20).Draw(t, "b") {
			b.Merge(f, start)
		}
		theirs := a.Buckets()
		for _, f := range a.Differing(b.Buckets(), 100) {
			b.Merge(f, start)
		}
		for _, f := range b.Differing(theirs, 100) {
			a.Merge(f, start)
		}
		assert.Equal(t, a.Digest(), b.Digest())
	})
}

func stateOf(v *View, vm steering.VM, now time.Time) State {
	for _, m := range v.Members(now) {
		if m.VM == vm {
			return m.State
		}
	}
	return StateGone
}

func ownZoneFact(vm steering.VM) Fact {
	return Fact{VM: vm, IncarnationKey: IncarnationKey{Started: 1, Incarnation: steering.Incarnation(vm)}, Location: Location{Zone: "norte-a"}}
}

func otherZoneFact(vm steering.VM) Fact {
	f := ownZoneFact(vm)
	f.Location.Zone = "sur-a"
	return f
}

// Guards against treating the message that arrives last as the newest: a VM is replaced
// under the same name, and then a message about its old process and a platform list that
// is older than the replacement arrive. The old process must not receive work again.
func TestReplacedVMStaysReplaced(t *testing.T) {
	v := NewView(self(), Params{}, start)
	older, newer := ownZoneFact("a"), ownZoneFact("a")
	newer.IncarnationKey = IncarnationKey{Started: start.UnixNano(), Incarnation: "a2"}
	v.Merge(older, start)
	v.Merge(newer, start)
	v.Merge(older, start)
	v.Platform([]ListedVM{{VM: "a", Status: Gone, Since: start.Add(-time.Second)}}, start)
	assert.Equal(t, facts(v)[0].Incarnation, steering.Incarnation("a2"))
	assert.Equal(t, stateOf(v, "a", start), StateLive)
	v.Platform([]ListedVM{{VM: "a", Status: Gone, Since: start.Add(time.Second)}}, start)
	assert.Equal(t, stateOf(v, "a", start), StateGone)
	v.RecordHeartbeat(Beat{ID: newer.ID(), Beat: 99}, start)
	v.Merge(newer, start)
	assert.Equal(t, stateOf(v, "a", start), StateGone)
}

// Guards against a member that loses its work in the whole zone because one other member
// cannot reach it: the link from self to a breaks and a peer relays its own suspicion,
// while heartbeats of a keep arriving.
func TestHeartbeatsOverrideRelayedSuspicion(t *testing.T) {
	v := NewView(self(), Params{}, start)
	a := ownZoneFact("a")
	v.Merge(a, start)
	now := start.Add(time.Second)
	v.RecordHeartbeat(Beat{ID: a.ID(), Beat: 5}, now)
	v.RecordHeartbeat(Beat{ID: a.ID(), Beat: 5, Doubted: true}, now.Add(100*time.Millisecond))
	assert.Equal(t, len(v.DueForRetry(now)), 0)
	now = now.Add(2 * time.Second)
	v.RecordHeartbeat(Beat{ID: a.ID(), Beat: 5, Doubted: true}, now)
	assert.Equal(t, stateOf(v, "a", now), StateLive)
	assert.Equal(t, v.DueForRetry(now)[0].VM, steering.VM("a"))
	v.RecordHeartbeat(Beat{ID: a.ID(), Beat: 6}, now)
	assert.Equal(t, len(v.DueForRetry(now)), 0)
	v.RecordCall("a", false, now)
	assert.Equal(t, stateOf(v, "a", now), StateLive)
	assert.Equal(t, stateOf(v, "a", now.Add(failedCallMinSilence+1)), StateSuspect)
	assert.Equal(t, len(v.DueForRetry(now)), 1)
	v.RecordCall("a", false, now)
	assert.Equal(t, stateOf(v, "a", now), StateSuspect)
	assert.Equal(t, v.Heartbeats(10, now)[0].Doubted, true)
	assert.Equal(t, len(v.DueForRetry(now.Add(retryMin-1))), 0)
	assert.Equal(t, len(v.DueForRetry(now.Add(retryMin))), 1)
	v.RecordCall("a", true, now.Add(1))
	assert.Equal(t, stateOf(v, "a", now), StateLive)
}

func TestSilenceAndReports(t *testing.T) {
	v := NewView(self(), Params{}, start)
	a, b, c := ownZoneFact("a"), otherZoneFact("b"), otherZoneFact("c")
	v.Merge(a, start)
	v.Merge(b, start)
	v.Merge(c, start)
	now := start.Add(DefaultSuspectAfter + 1)
	assert.Equal(t, stateOf(v, "a", now), StateSuspect)
	now = start.Add(DefaultZoneSilentAfter + 1)
	assert.Equal(t, stateOf(v, "b", now), StateSuspect)
	v.RecordReport(Report{Reporter: b.ID(), Beat: 3, Doubted: []ID{c.ID()}, ConfigVersion: 7}, now)
	assert.Equal(t, stateOf(v, "b", now), StateLive)
	assert.Equal(t, stateOf(v, "c", now), StateSuspect)
	status := v.Zones(now)
	assert.Equal(t, status[1], ZoneStatus{Zone: "sur-a", LastReport: now, ConfigVersion: 7})

	// A relayed copy of a report that was already received does not extend its validity.
	later := now.Add(DefaultZoneSilentAfter + 1)
	v.RecordReport(Report{Reporter: b.ID(), Beat: 3}, later)
	assert.Equal(t, stateOf(v, "b", later), StateSuspect)

	// The time of a pause of this process does not count as missing reports.
	v.CompensatePause(DefaultZoneSilentAfter, later)
	assert.Equal(t, stateOf(v, "b", later), StateLive)
	assert.Equal(t, stateOf(v, "b", now.Add(DefaultGoneAfter+DefaultZoneSilentAfter+1)), StateGone)
}

func TestViewDetectsItsOwnReplacement(t *testing.T) {
	v := NewView(self(), Params{}, start)
	assert.Equal(t, v.Replaced(), false)
	v.Platform([]ListedVM{{VM: "self", Status: Gone, Since: start}}, start)
	assert.Equal(t, v.Replaced(), true)
	w := NewView(self(), Params{}, start)
	next := self()
	next.IncarnationKey = IncarnationKey{Started: 2, Incarnation: "s2"}
	w.Merge(next, start)
	assert.Equal(t, w.Replaced(), true)
}

func TestTombstonesAreKeptForADay(t *testing.T) {
	v := NewView(self(), Params{}, start)
	v.Merge(ownZoneFact("a"), start)
	gone := ownZoneFact("a")
	gone.Status = Gone
	v.Merge(gone, start)
	v.RemoveExpired(start.Add(DefaultRemoveAfter))
	assert.Equal(t, len(facts(v)), 2)
	v.RemoveExpired(start.Add(DefaultRemoveAfter + 1))
	assert.Equal(t, len(facts(v)), 1)
	assert.Equal(t, v.Digest(), NewView(self(), Params{}, start).Digest())
}
