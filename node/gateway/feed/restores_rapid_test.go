package feed_test

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"heatherlock/node/gateway/feed"
	"heatherlock/platform"
	"heatherlock/steering"
	"heatherlock/steering/storepos"
)

// contents is what a restorable store holds.
type contents struct {
	revision int64
	config   uint64
	entries  map[steering.Target]platform.Target
}

// restorable is a store that can be restored from a copy, with the targets that write to it.
type restorable struct {
	contents
	epoch  uint64
	copied contents
	events []struct {
		revision int64
		change   platform.TargetChange
	}
	live     map[steering.Target]platform.Target // as the targets are
	endedAt  map[steering.Target]storepos.Position
	accepted uint64 // newest configuration
	started  int
	// rewriteAt is when what is lost is written again, silentAt when entries of ended targets are removed.
	rewriteAt, silentAt time.Time
}

func (c contents) clone() contents {
	c.entries = maps.Clone(c.entries)
	return c
}

func (s *restorable) at() storepos.Position {
	return storepos.Position{Epoch: s.epoch, Revision: s.revision}
}

func (s *restorable) record(change platform.TargetChange) {
	s.revision++
	if change.Removed {
		delete(s.entries, change.Target.Name)
	} else {
		s.entries[change.Target.Name] = change.Target
	}
	s.events = append(s.events, struct {
		revision int64
		change   platform.TargetChange
	}{s.revision, change})
}

func (s *restorable) write(name steering.Target, leaving bool) {
	entry := s.live[name]
	entry.Beat++
	entry.Leaving = entry.Leaving || leaving
	s.live[name] = entry
	s.record(platform.TargetChange{Target: entry})
}

func (s *restorable) end(name steering.Target) {
	delete(s.live, name)
	if _, listed := s.entries[name]; listed {
		s.record(platform.TargetChange{Target: platform.Target{Name: name}, Removed: true})
	}
	if _, ended := s.endedAt[name]; !ended {
		s.endedAt[name] = s.at()
	}
}

func (s *restorable) restore(now time.Time) {
	s.epoch++
	s.contents = s.copied.clone()
	for len(s.events) > 0 && s.events[len(s.events)-1].revision > s.revision {
		s.events = s.events[:len(s.events)-1]
	}
	s.rewriteAt, s.silentAt = now.Add(beat), now.Add(3*beat)
}

// settle writes and removes what is due after a restore.
func (s *restorable) settle(now time.Time) {
	if !s.rewriteAt.IsZero() && !now.Before(s.rewriteAt) {
		s.rewriteAt, s.config = time.Time{}, s.accepted
		for name := range s.live {
			s.write(name, false)
		}
	}
	if !s.silentAt.IsZero() && !now.Before(s.silentAt) {
		s.silentAt = time.Time{}
		for name := range maps.Clone(s.entries) {
			if _, lives := s.live[name]; !lives {
				s.end(name)
			}
		}
	}
}

func (s *restorable) read(now time.Time, v *feed.State) {
	since := v.KnownPosition()
	if since.Epoch != s.epoch || since.Revision > s.revision {
		var all []platform.Target
		for _, entry := range s.entries {
			all = append(all, entry)
		}
		v.SetTargets(now, platform.TargetList{Targets: all, At: s.at()})
	} else {
		found := platform.TargetChanges{At: s.at()}
		for _, e := range s.events {
			if e.revision > since.Revision {
				found.Changes = append(found.Changes, e.change)
			}
		}
		v.ApplyTargetChanges(now, found)
	}
	v.SetEvacuations(now, nil, s.at())
	v.ApplyConfigRead(now, table(s.config), s.at())
	readUntil(v, now)
}

// Guards against VMs that go back to an older configuration, that send requests to a target whose
// leaving or end they knew, or that disagree for good, while the store is restored again and again,
// targets come and go, and VMs read and exchange in any order.
func TestStatesConvergeAfterRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		store := &restorable{contents: contents{revision: 5, config: 1, entries: map[steering.Target]platform.Target{}}, epoch: 1, live: map[steering.Target]platform.Target{}, endedAt: map[steering.Target]storepos.Position{}, accepted: 1}
		store.copied = store.clone()
		const vms = 3
		states, versions := make([]*feed.State, vms), make([]uint64, vms)
		seen, shut := make([]map[steering.Target]bool, vms), make([]map[steering.Target]bool, vms)
		for i := range states {
			states[i], seen[i], shut[i] = feed.NewState(beat, regions), map[steering.Target]bool{}, map[steering.Target]bool{}
			store.read(now, states[i])
		}
		check := func() {
			for i, s := range states {
				assert.Assert(t, s.Digest(now).Config >= versions[i])
				versions[i] = s.Digest(now).Config
				placed := placedByName(s)
				for name, p := range placed {
					assert.Assert(t, p.Closed || !shut[i][name], "vm %d opens %s", i, name)
				}
				for n := range store.started {
					name := steering.Target(fmt.Sprint("t", n))
					e, known := s.Target(name)
					live, lives := store.live[name]
					seen[i][name] = seen[i][name] || known
					ended, leaves := seen[i][name] && !known && !lives && !s.KnownPosition().Before(store.endedAt[name]), known && e.Leaving && (!lives || live.Leaving)
					shut[i][name] = shut[i][name] || ended || leaves
				}
			}
		}
		anyLive := func() steering.Target {
			for n := range store.started {
				name := steering.Target(fmt.Sprint("t", (n+store.started/2)%store.started))
				if _, lives := store.live[name]; lives {
					return name
				}
			}
			return ""
		}
		for range rapid.IntRange(5, 80).Draw(t, "steps") {
			from, to := rapid.IntRange(0, vms-1).Draw(t, "from"), rapid.IntRange(0, vms-1).Draw(t, "to")
			name := anyLive()
			switch step := rapid.SampledFrom([]string{"start", "leave", "end", "config", "copy", "restore", "read", "read", "exchange", "exchange", "wait", "wait"}).Draw(t, "step"); {
			case step == "start":
				started := steering.Target(fmt.Sprint("t", store.started))
				store.started++
				store.live[started] = target(string(started), 0, false)
				store.write(started, false)
			case step == "leave" && name != "":
				store.write(name, true)
			case step == "end" && name != "":
				store.end(name)
			case step == "config":
				store.accepted++
				store.config = store.accepted
				store.revision++
			case step == "copy":
				store.copied = store.clone()
			case step == "restore":
				store.restore(now)
			case step == "read":
				store.read(now, states[to])
			case step == "exchange":
				exchange(now, states[from], states[to])
				if _, _, behind := states[to].Behind(now); behind {
					states[to].SetTable(now, states[from].Table())
				}
			case step == "wait":
				now = now.Add(time.Duration(rapid.IntRange(50, 2000).Draw(t, "ms")) * time.Millisecond)
				store.settle(now)
			}
			check()
		}
		for range 10 {
			now = now.Add(2 * time.Second)
			store.settle(now)
			for i := range states {
				store.read(now, states[i])
			}
			check()
		}
		for i, s := range states {
			assert.Equal(t, s.Digest(now).Content, states[0].Digest(now).Content, "vm %d", i)
			assert.Equal(t, s.Digest(now).Config, store.accepted)
			placed := placedByName(s)
			assert.Equal(t, len(placed), len(store.entries), "vm %d", i)
			for name, entry := range store.entries {
				assert.Equal(t, placed[name].Closed, entry.Leaving, "vm %d, %s", i, name)
			}
		}
	})
}
