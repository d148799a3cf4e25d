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
	// updateTestMegabits is the link rate of the small VMs of the largest deployment, in Mbit/s.
	updateTestMegabits = 20
	// updateTestBound is how soon after the store has accepted a version that version, or a newer
	// one, must be active on every VM that is not partitioned.
	updateTestBound = 4 * time.Second
	// routeBytes is the approximate compressed size of a route in a response. The routes of the
	// test compress well, because only their names differ.
	routeBytes = 20
	// updateTestVersions is the number of versions written, 0.15 to 0.5 s apart.
	updateTestVersions = 14
)

// versionAt is a version and a time: when the store accepted it, or when it was first seen on a
// VM.
type versionAt struct {
	version uint64
	at      time.Time
}

// versionWatcher records which versions were active on a VM.
type versionWatcher struct {
	vm   *vm
	seen []versionAt // in the order in which they were seen
}

// pollVersions polls the active version of a VM until done is closed.
func (s *testCluster) pollVersions(f *versionWatcher, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(40 * time.Millisecond):
		}
		version := s.status(f.vm).ConfigVersion
		if n := len(f.seen); n == 0 || f.seen[n-1].version != version {
			f.seen = append(f.seen, versionAt{version, time.Now()})
		}
	}
}

// reachedAt returns when a version or a newer one was first seen active on the VM; ok is false if
// none was.
func (f *versionWatcher) reachedAt(version uint64) (at time.Time, ok bool) {
	for _, v := range f.seen {
		if v.version >= version {
			return v.at, true
		}
	}
	return time.Time{}, false
}

// metric returns the sum of the counters of a VM whose name starts with name and that have a tag,
// or of all such counters if the tag is empty.
func (s *testCluster) metric(v *vm, name, tag string) (sum float64) {
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

// writeInvalidConfig writes a configuration without a service on its route, which VMs reject.
func (s *testCluster) writeInvalidConfig() {
	s.version += 3
	s.store.Put("config", "main", map[string]any{"version": fmt.Sprint("r", s.version), "routes": []any{map[string]any{"name": "nowhere", "host": "shop.example", "pathPrefix": "/n/"}}})
}

// Guards against VMs that fetch every version although most are replaced already, that return to
// an older version, or that miss valid versions after an invalid one, while versions follow each
// other quickly.
//
// Versions are written every 0.15 to 0.5 s for 16 VMs on links of 20 Mbit/s: one changed
// timeout, hundreds of added routes, their removal, which restores earlier content under a
// newer version, and invalid versions. Two VMs are partitioned from the store, the store is slow
// for a second, and one VM starts in the middle. Each valid version or a newer one must be active
// everywhere within the bound, no VM may go back, all must end with the last version, VMs must
// skip versions, and the bytes sent must grow with the size of the changes.
func TestRapidConfigurationUpdates(t *testing.T) {
	// Not parallel to other tests of this package: it measures time on 17 VMs in one process.
	s := newTestCluster(t)
	s.links = newLinks(updateTestMegabits)
	s.addRoutes(600)
	s.configure()
	all := s.startAll(fleetSize)
	s.links.blockStore(all[3], all[7])
	random := rand.New(rand.NewPCG(17, 4))
	done := make(chan struct{})
	var watching sync.WaitGroup
	var watchers []*versionWatcher
	watch := func(v *vm) {
		f := &versionWatcher{vm: v}
		watchers = append(watchers, f)
		watching.Go(func() { s.pollVersions(f, done) })
	}
	for _, v := range all {
		watch(v)
	}
	var accepted []versionAt
	added := 0
	for n := range updateTestVersions {
		switch n % 5 {
		case 0:
			s.routes[random.IntN(len(s.routes))]["timeoutMs"] = 1000 + n
			s.configure()
		case 1:
			s.addRoutes(300)
			added += 300
			s.configure()
		case 2:
			s.routes = s.routes[:len(s.routes)-300]
			s.configure()
		case 3:
			s.writeInvalidConfig()
		case 4:
			s.route(fmt.Sprint("kept-", n), "safe")
			s.configure()
		}
		if n%5 != 3 {
			accepted = append(accepted, versionAt{uint64(s.version), time.Now()})
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
	last := accepted[len(accepted)-1]
	for _, f := range watchers {
		within(t, updateTestBound, "the last version on "+string(f.vm.settings.VM), func() bool { return s.status(f.vm).ConfigVersion == last.version })
	}
	time.Sleep(100 * time.Millisecond) // lets the watchers see it
	close(done)
	watching.Wait()

	worst := time.Duration(0)
	for _, f := range watchers {
		for n, v := range f.seen[1:] {
			assert.Check(t, v.version > f.seen[n].version, "%s went back from %d to %d", f.vm.settings.VM, f.seen[n].version, v.version)
		}
		for _, v := range accepted {
			at, ok := f.reachedAt(v.version)
			assert.Assert(t, ok, "%s never had version %d", f.vm.settings.VM, v.version)
			if f.vm.settings.VM != watchers[len(watchers)-1].vm.settings.VM { // the last one started later
				worst = max(worst, at.Sub(v.at))
			}
		}
	}
	assert.Check(t, worst < updateTestBound, "a version became active everywhere only after %v", worst)
	content := s.status(all[0]).Config.Content
	skipped := 0
	for _, f := range watchers {
		shown := s.status(f.vm)
		assert.Equal(t, shown.Config.Content, content, "same version, other content")
		skipped += len(accepted) - len(f.seen) + 1
	}
	assert.Check(t, skipped > 0, "no VM skipped a version")
	sent := 0.0
	for _, f := range watchers {
		sent += s.metric(f.vm, "heatherlock_gateway_config_told_bytes", "")
	}
	fullCopies := float64(len(watchers) * (600 + added) * routeBytes)
	assert.Check(t, sent < fullCopies, "%.0f bytes sent, but sending each route once to each VM takes %.0f", sent, fullCopies)
	t.Logf("%.0f bytes of configuration sent; %d valid versions, %d routes added in total; active everywhere after %v at most; %d versions skipped over %d VMs", sent, len(accepted), added, worst, skipped, len(watchers))
}

// Guards against a valid configuration that never becomes active because it follows an invalid
// one. If both are written between two reads of the store, and the read stops at the first, the
// next read begins after the second.
func TestInvalidConfigurationDoesNotBlockTheNextOne(t *testing.T) {
	t.Parallel()
	s := newTestCluster(t)
	all := s.startAll(2)
	s.writeInvalidConfig()
	s.route("mended", "safe")
	s.configure()
	for _, v := range all {
		within(t, 4*time.Second, "the corrected configuration", func() bool { return s.request(v, "/mended/1") == 200 })
	}
	s.writeInvalidConfig()
	rejected := func() bool {
		for _, v := range all {
			if r := s.status(v).Config.Rejected; r != nil && r.Version == fmt.Sprint("r", s.version) {
				return true
			}
		}
		return false
	}
	within(t, 4*time.Second, "reported by the VM that read it", rejected)
	for _, v := range all {
		assert.Equal(t, s.request(v, "/mended/1"), 200)
		assert.Assert(t, s.ready(v))
	}
}
