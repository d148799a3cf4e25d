package feed_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"heatherlock/node/gateway/feed"
	"heatherlock/platform"
	"heatherlock/steering"
	"heatherlock/steering/placement"
	"heatherlock/steering/routes"
	"heatherlock/steering/storepos"
)

const beat = 1500 * time.Millisecond

var (
	start   = time.Unix(1000, 0)
	regions = map[steering.Zone]steering.Region{"a": "centro", "b": "sur"}
)

func target(name string, beat int64, leaving bool) platform.Target {
	return platform.Target{Name: steering.Target(name), Service: "s", Address: "10.0.0.1:80", Zone: "a", Slots: 3, Beat: beat, Leaving: leaving}
}

// at returns a position in the first epoch of a store.
func at(revision int64) storepos.Position { return storepos.Position{Epoch: 1, Revision: revision} }

// listed is the result of reading all targets at a revision.
func listed(targets []platform.Target, revision int64) platform.TargetList {
	return platform.TargetList{Targets: targets, At: at(revision)}
}

// changed is the result of reading the changes up to a revision.
func changed(changes []platform.TargetChange, revision int64) platform.TargetChanges {
	return platform.TargetChanges{Changes: changes, At: at(revision)}
}

// placedByName returns the targets that the state passes to placement.
func placedByName(s *feed.State) map[steering.Target]placement.Target {
	all := make(map[steering.Target]placement.Target)
	for _, t := range s.Placement() {
		all[t.Name] = t
	}
	return all
}

func table(version uint64) *routes.Table {
	return routes.NewTable(version, []*routes.Route{{Name: "r", Host: "h", Prefix: "/", Parts: []routes.WeightedService{{Service: "s", Weight: 1}}}}, nil, routes.Limits{})
}

// Guards against dropping all targets, and with that refusing all requests, after an outage of the
// store. Entries expire while targets cannot write, so the first read afterwards finds none.
// Targets have 2.2 s to write them again; an entry that is still missing then is removed.
func TestExpiredEntriesAreKeptAfterOutage(t *testing.T) {
	s := feed.NewState(beat, regions)
	s.SetTargets(start, listed([]platform.Target{target("back", 1, false), target("gone", 1, false), target("leaving", 1, true)}, 10))
	s.MarkRead(start)
	now := start.Add(10 * time.Second)
	s.SetTargets(now, listed(nil, 20))
	s.MarkRead(now)
	assert.Equal(t, len(placedByName(s)), 2, "a leaving target is removed at once")
	now = now.Add(1500 * time.Millisecond)
	s.ApplyTargetChanges(now, changed([]platform.TargetChange{{Target: target("back", 2, false)}}, 30))
	s.MarkRead(now)
	assert.Assert(t, !s.EndHolds(now))
	now = now.Add(time.Second)
	assert.Assert(t, s.EndHolds(now))
	_, found := placedByName(s)["back"]
	assert.Assert(t, found && len(placedByName(s)) == 1)
}

// Guards against requests to a target that crashed and does not restart: without an outage, a
// target whose entry is missing is removed at once.
func TestEntryThatIsRemovedIsGone(t *testing.T) {
	s := feed.NewState(beat, regions)
	s.SetTargets(start, listed([]platform.Target{target("a", 1, false)}, 10))
	s.MarkRead(start)
	assert.Assert(t, s.ApplyTargetChanges(start.Add(time.Second), changed([]platform.TargetChange{{Target: platform.Target{Name: "a"}, Removed: true}}, 11)))
	assert.Equal(t, len(placedByName(s)), 0)
}

// Guards against new requests to a leaving target, caused by an older state of its entry that
// arrives after the newer one.
func TestOlderStateOfAnEntryIsIgnored(t *testing.T) {
	s := feed.NewState(beat, regions)
	s.SetTargets(start, listed([]platform.Target{target("a", 5, true)}, 10))
	s.ApplyTargetChanges(start, changed([]platform.TargetChange{{Target: target("a", 4, false)}}, 11))
	assert.Assert(t, placedByName(s)["a"].Closed)
}

// Guards against crashing the targets of a zone when its evacuation ends. They may no
// longer be warm after being idle, and their entries say so only one heartbeat later, so they must
// not get full load at once.
func TestTargetsAreColdAfterEvacuation(t *testing.T) {
	s := feed.NewState(beat, regions)
	s.SetTargets(start, listed([]platform.Target{target("a", 1, false)}, 10))
	s.SetEvacuations(start, []steering.Zone{"a"}, at(11))
	assert.Assert(t, placedByName(s)["a"].Closed)
	s.ApplyEvacuationChanges(start, []platform.EvacuationChange{{Zone: "a", Ended: true}}, at(12))
	got := placedByName(s)["a"]
	assert.Assert(t, !got.Closed && got.ColdUntil.After(start.Add(beat)))
}

// Guards against a configuration that stays unknown on all entry VMs for seconds. Many VMs exchange
// digests of the same read, each some milliseconds in transit; if the younger age were adopted each
// time, the read would look fresh forever and no VM would make the next one.
func TestExchangedReadKeepsItsAge(t *testing.T) {
	a, b := feed.NewState(beat, regions), feed.NewState(beat, regions)
	for _, s := range []*feed.State{a, b} {
		s.SetTargets(start, listed([]platform.Target{target("a", 1, false)}, 10))
		s.ApplyConfigRead(start, table(1), at(10))
		s.SetEvacuations(start, nil, at(10))
		s.MarkRead(start)
	}
	now := start
	for range 100 {
		onTheWay := a.Digest(now)
		now = now.Add(20 * time.Millisecond)
		b.Merge(now, onTheWay)
		a, b = b, a
	}
	for _, s := range []*feed.State{a, b} {
		age, ok := s.Age(now)
		assert.Assert(t, ok && age > 1900*time.Millisecond, "age %v after 2 s", age)
	}
	// A later read at the same revision still counts.
	a.MarkRead(now)
	b.Merge(now.Add(20*time.Millisecond), a.Digest(now))
	age, _ := b.Age(now.Add(20 * time.Millisecond))
	assert.Assert(t, age < 100*time.Millisecond)
}

// Guards against entry VMs that request all targets from each other every second because their
// hashes depend on when a VM started: a target became cold once, and a VM that starts later has not
// seen that.
func TestHashDoesNotDependOnStartTime(t *testing.T) {
	old, late := feed.NewState(beat, regions), feed.NewState(beat, regions)
	old.SetTargets(start, listed([]platform.Target{target("x", 1, false)}, 10))
	cold := target("x", 2, false)
	cold.ColdLeft = 3 * time.Second
	old.ApplyTargetChanges(start, changed([]platform.TargetChange{{Target: cold}}, 11))
	old.MarkRead(start)
	late.SetTargets(start, listed([]platform.Target{target("x", 9, false)}, 20))
	late.MarkRead(start)
	assert.Equal(t, old.Digest(start).Content, late.Digest(start).Content)
	pull, _ := old.Merge(start, late.Digest(start))
	assert.Assert(t, !pull)
}

// Guards against entry VMs that overload a target because they do not detect that it became cold
// again. They receive target changes only from peers whose digest differs, so the digest must change.
func TestDigestShowsTargetThatBecameCold(t *testing.T) {
	a, b := feed.NewState(beat, regions), feed.NewState(beat, regions)
	for _, s := range []*feed.State{a, b} {
		s.SetTargets(start, listed([]platform.Target{target("x", 1, false)}, 10))
		s.MarkRead(start)
	}
	cold := target("x", 2, false)
	cold.ColdLeft = 3 * time.Second
	assert.Assert(t, a.ApplyTargetChanges(start, changed([]platform.TargetChange{{Target: cold}}, 11)))
	a.MarkRead(start)
	pull, _ := b.Merge(start, a.Digest(start))
	assert.Assert(t, pull)
	assert.Assert(t, b.Apply(start, a.UpdateSince(start, b.KnownPosition())))
	assert.Assert(t, placedByName(b)["x"].ColdUntil.After(start.Add(2*time.Second)))
}

// Guards against an entry VM that keeps using a removed target and reports it to others. A target
// is added and removed; one VM reads the store in between; another VM adopts the later revision
// because the hashes are equal, and then sends the first VM an update that lacks the removal. The
// hash exposes this: the first VM's digest names no revision until an update with all targets has
// come, while it still names the configuration.
func TestIncompleteUpdateIsDetected(t *testing.T) {
	before, between, after := feed.NewState(beat, regions), feed.NewState(beat, regions), feed.NewState(beat, regions)
	read := func(s *feed.State, revision int64, all ...platform.Target) {
		s.SetTargets(start, listed(all, revision))
		s.SetEvacuations(start, nil, at(revision))
		s.ApplyConfigRead(start, table(3), at(revision))
		s.MarkRead(start)
	}
	read(before, 10)
	read(between, 11, target("short", 1, false))
	read(after, 12)
	pull, _ := before.Merge(start, after.Digest(start))
	assert.Assert(t, !pull, "both have no target")
	exchange := func() {
		if pull, _ := between.Merge(start, before.Digest(start)); pull {
			between.Apply(start, before.UpdateSince(start, between.KnownPosition()))
		}
	}
	exchange()
	assert.Equal(t, between.Digest(start).Revision, int64(0))
	assert.Equal(t, between.Digest(start).Config, uint64(3))
	// An equal hash at a later revision is as good as an update with all targets.
	read(after, 13)
	known := len(placedByName(between))
	pull, _ = between.Merge(start, after.Digest(start))
	assert.Equal(t, pull, known != 0)
	exchange()
	exchange()
	assert.Equal(t, len(placedByName(between)), 0)
	assert.Assert(t, between.Digest(start).Revision >= 12)
}

// fakeStore holds the store's targets at each revision as the reference.
type fakeStore struct {
	revision int64
	now      map[string]platform.Target
	at       map[int64]string // content by revision
	events   []struct {
		revision int64
		change   platform.TargetChange
	}
	config uint64
}

func (f *fakeStore) step(change platform.TargetChange) {
	f.revision++
	if change.Removed {
		delete(f.now, string(change.Target.Name))
	} else {
		f.now[string(change.Target.Name)] = change.Target
	}
	f.events = append(f.events, struct {
		revision int64
		change   platform.TargetChange
	}{f.revision, change})
	f.at[f.revision] = f.content()
}

func (f *fakeStore) content() string {
	all := make(map[string]bool)
	for name, t := range f.now {
		all[name] = t.Leaving
	}
	raw, err := json.Marshal(all)
	if err != nil {
		panic(err)
	}
	return string(raw)
}

func (f *fakeStore) read(now time.Time, s *feed.State, m feed.Digest) {
	if m.Revision == 0 {
		var all []platform.Target
		for _, t := range f.now {
			all = append(all, t)
		}
		s.SetTargets(now, listed(all, f.revision))
	} else {
		var changes []platform.TargetChange
		for _, e := range f.events {
			if e.revision > m.Revision {
				changes = append(changes, e.change)
			}
		}
		s.ApplyTargetChanges(now, changed(changes, f.revision))
	}
	s.SetEvacuations(now, nil, at(f.revision))
	if f.config > 0 {
		s.ApplyConfigRead(now, table(f.config), at(f.revision))
	}
	s.MarkRead(now)
}

func contentOf(s *feed.State) string {
	all := make(map[string]bool)
	for name, t := range placedByName(s) {
		all[string(name)] = t.Closed
	}
	raw, err := json.Marshal(all)
	if err != nil {
		panic(err)
	}
	return string(raw)
}

// Guards against entry VMs that permanently disagree about the targets, or one that returns to an
// older configuration. Whatever is read and sent in whatever order and however late, each state
// equals the store at the revision that it names, its configuration version never decreases, and
// once all VMs have exchanged their states they agree.
func TestStatesConvergeToStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &fakeStore{revision: 5, now: map[string]platform.Target{}, at: map[int64]string{5: "{}"}}
		const vms = 3
		states := make([]*feed.State, vms)
		versions := make([]uint64, vms)
		for i := range states {
			states[i] = feed.NewState(beat, regions)
		}
		var late []feed.Update // sent and not yet received
		beats := make(map[string]int64)
		now := start
		check := func() {
			for i, s := range states {
				m := s.Digest(now)
				assert.Assert(t, m.Newest >= m.Config)
				if m.Revision > 0 {
					assert.Equal(t, contentOf(s), store.at[m.Revision], "vm %d at %d", i, m.Revision)
				}
				assert.Assert(t, m.Config >= versions[i])
				versions[i] = m.Config
			}
		}
		tell := func(from, to int) feed.Update {
			raw, err := json.Marshal(states[from].UpdateSince(now, states[to].KnownPosition()))
			assert.NilError(t, err)
			var k feed.Update
			assert.NilError(t, json.Unmarshal(raw, &k))
			return k
		}
		// fetch transfers the configuration of one VM to another.
		fetch := func(from, to int) { states[to].SetTable(now, states[from].Table()) }
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			now = now.Add(50 * time.Millisecond)
			from, to := rapid.IntRange(0, vms-1).Draw(t, "from"), rapid.IntRange(0, vms-1).Draw(t, "to")
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				name := fmt.Sprint("t", rapid.IntRange(0, 5).Draw(t, "target"))
				_, found := store.now[name]
				beats[name]++
				store.step(platform.TargetChange{Target: target(name, beats[name], found && rapid.Bool().Draw(t, "leaving")), Removed: found && rapid.Bool().Draw(t, "removed")})
			case 1:
				store.config++
			case 2:
				store.read(now, states[to], states[to].Digest(now))
			case 3:
				if pull, _ := states[to].Merge(now, states[from].Digest(now)); pull {
					states[to].Apply(now, tell(from, to))
				}
				if _, _, behind := states[to].Behind(now); behind {
					fetch(from, to)
				}
			case 4:
				late = append(late, tell(from, to))
			case 5:
				if len(late) > 0 {
					states[to].Apply(now, late[rapid.IntRange(0, len(late)-1).Draw(t, "late")])
				}
			}
			check()
		}
		store.step(platform.TargetChange{Target: target("last", 1, false)})
		store.config++
		store.read(now, states[0], states[0].Digest(now))
		for i := 1; i < vms; i++ {
			// Changes that do not lead to the sender's targets are detected by the hash, and the
			// second update holds all targets.
			for range 2 {
				if pull, _ := states[i].Merge(now, states[0].Digest(now)); pull {
					states[i].Apply(now, tell(0, i))
				}
			}
			newest, _, behind := states[i].Behind(now)
			assert.Equal(t, newest, store.config)
			assert.Equal(t, behind, states[i].Digest(now).Config < store.config)
			if behind {
				fetch(0, i)
			}
			assert.Equal(t, contentOf(states[i]), contentOf(states[0]))
			assert.Equal(t, states[i].Digest(now).Config, store.config)
		}
	})
}
