package gateway_test

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/standin/metastore"
)

const (
	// stormMegabits is the link of the small VMs of the largest deployment.
	stormMegabits = 20
	// stormBound is how soon after the store took it a version, or a newer one, must be in
	// force on every VM that is not cut off.
	stormBound = 4 * time.Second
	// routeBytes is about what a route takes in an answer, compressed: those of the test
	// differ by their names alone.
	routeBytes = 20
	// stormVersions come, 0.15 to 0.5 s apart.
	stormVersions = 14
)

// acknowledged is a version and when the store took it.
type acknowledged struct {
	version uint64
	at      time.Time
}

// follower notes which versions a VM has had in force.
type follower struct {
	vm   *vm
	seen []acknowledged // each when it was first seen
}

// follow asks a VM again and again until done closes.
func (s *site) follow(f *follower, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(40 * time.Millisecond):
		}
		version := s.status(f.vm).ConfigVersion
		if n := len(f.seen); n == 0 || f.seen[n-1].version != version {
			f.seen = append(f.seen, acknowledged{version, time.Now()})
		}
	}
}

// reached returns when the VM had a version or a newer one in force; ok is false if it
// never had.
func (f *follower) reached(version uint64) (at time.Time, ok bool) {
	for _, v := range f.seen {
		if v.version >= version {
			return v.at, true
		}
	}
	return time.Time{}, false
}

// metric returns the sum of a VM's counters of a name that have a tag, or of all.
func (s *site) metric(v *vm, name, tag string) (sum float64) {
	_, text := s.get(fmt.Sprintf("http://%s:%d/metrics", v.settings.IP, v.settings.MetricsPort))
	for _, line := range strings.Split(text, "\n") {
		fields := strings.Fields(line)
		if len(fields) != 2 || !strings.HasPrefix(line, name) || !strings.Contains(line, tag) {
			continue
		}
		value, err := strconv.ParseFloat(fields[1], 64)
		assert.NilError(s.t, err)
		sum += value
	}
	return sum
}

// spoil writes a configuration that cannot be used.
func (s *site) spoil() {
	s.version += 3
	s.store.Put("config", "main", map[string]any{"version": fmt.Sprint("r", s.version), "routes": []any{map[string]any{"name": "nowhere", "host": "shop.example", "pathPrefix": "/n/"}}})
}

// Feared: attendants wait while VMs work off versions that are replaced already, a VM goes
// back to an older one, or one that cannot be used hides those after it.
//
// Sequence: versions come every 0.15 to 0.5 s to 16 VMs on links of 20 Mbit/s: one weight,
// hundreds of routes more, those taken back (an earlier content under a newer version), and
// two that cannot be used. Two VMs are cut off from the store, the store is slow for a
// second, and a VM starts in the middle. Each version that can be used, or a newer one, is
// in force everywhere within the bound; no VM goes back; all end with the last; VMs skip
// versions rather than working them off; and what is told grows with what changes.
func TestConfigurationsInARow(t *testing.T) {
	// Not beside other tests of this package: it measures time on 17 VMs in one process.
	s := newSite(t)
	s.links = newLinks(stormMegabits)
	s.addRoutes(600)
	s.configure()
	all := s.startAll(fleetSize)
	s.links.cutFromStore(all[3], all[7])
	random := rand.New(rand.NewPCG(17, 4))
	done := make(chan struct{})
	var watching sync.WaitGroup
	var followers []*follower
	watch := func(v *vm) {
		f := &follower{vm: v}
		followers = append(followers, f)
		watching.Go(func() { s.follow(f, done) })
	}
	for _, v := range all {
		watch(v)
	}
	var taken []acknowledged
	grown := 0
	for n := range stormVersions {
		switch n % 5 {
		case 0:
			s.routes[random.IntN(len(s.routes))]["timeoutMs"] = 1000 + n
			s.configure()
		case 1:
			s.addRoutes(300)
			grown += 300
			s.configure()
		case 2:
			s.routes = s.routes[:len(s.routes)-300]
			s.configure()
		case 3:
			s.spoil()
		case 4:
			s.route(fmt.Sprint("kept-", n), "safe")
			s.configure()
		}
		if n%5 != 3 {
			taken = append(taken, acknowledged{uint64(s.version), time.Now()})
		}
		switch n {
		case 5:
			s.store.SetFaults(metastore.Faults{Delay: 120 * time.Millisecond})
			time.AfterFunc(time.Second, func() { s.store.SetFaults(metastore.Faults{}) })
		case 7:
			watch(s.start(fleetSize + 1))
		}
		time.Sleep(time.Duration(150+random.IntN(350)) * time.Millisecond)
	}
	last := taken[len(taken)-1]
	for _, f := range followers {
		within(t, stormBound, "the last version on "+string(f.vm.settings.VM), func() bool { return s.status(f.vm).ConfigVersion == last.version })
	}
	time.Sleep(100 * time.Millisecond) // for the followers to see it
	close(done)
	watching.Wait()

	worst := time.Duration(0)
	for _, f := range followers {
		for n, v := range f.seen[1:] {
			assert.Check(t, v.version > f.seen[n].version, "%s went back from %d to %d", f.vm.settings.VM, f.seen[n].version, v.version)
		}
		for _, v := range taken {
			at, ok := f.reached(v.version)
			assert.Assert(t, ok, "%s never had version %d", f.vm.settings.VM, v.version)
			if f.vm.settings.VM != followers[len(followers)-1].vm.settings.VM { // that one started later
				worst = max(worst, at.Sub(v.at))
			}
		}
	}
	assert.Check(t, worst < stormBound, "a version was in force everywhere after %v", worst)
	content := s.status(all[0]).Config.Content
	skipped := 0
	for _, f := range followers {
		shown := s.status(f.vm)
		assert.Equal(t, shown.Config.Content, content, "same version, other content")
		skipped += len(taken) - len(f.seen) + 1
	}
	assert.Check(t, skipped > 0, "no VM skipped a version")
	told := 0.0
	for _, f := range followers {
		told += s.metric(f.vm, "heatherlock_gateway_config_told_bytes", "")
	}
	fair := float64(len(followers) * (600 + grown) * routeBytes)
	assert.Check(t, told < fair, "%.0f bytes told, %.0f would bring each route once to each VM", told, fair)
	t.Logf("%.0f bytes of configuration told; %d versions that can be used, %d routes added in all; in force everywhere after %v at most; %d versions skipped over %d VMs", told, len(taken), grown, worst, skipped, len(followers))
}

// Symptom: after a configuration that cannot be used, the one that mends it is not in
// force. Sequence: both come between two reads of the store. Cause: the read gave up at the
// first, and the next one began after the second.
func TestConfigurationThatCannotBeUsedHidesNoOther(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	all := s.startAll(2)
	s.spoil()
	s.route("mended", "safe")
	s.configure()
	for _, v := range all {
		within(t, 4*time.Second, "the mended one", func() bool { return s.ask(v, "/mended/1") == 200 })
	}
	s.spoil()
	rejected := func() bool {
		for _, v := range all {
			if r := s.status(v).Config.Rejected; r != nil && r.Version == fmt.Sprint("r", s.version) {
				return true
			}
		}
		return false
	}
	within(t, 4*time.Second, "named by the VM that read it", rejected)
	for _, v := range all {
		assert.Equal(t, s.ask(v, "/mended/1"), 200)
		assert.Assert(t, s.ready(v))
	}
}
