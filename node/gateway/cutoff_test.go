package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/standin/targetlinks"
)

const (
	// cutKnown is how long after a cut the callers of VMs that are cut off must be served again, and
	// cutLasts how long the cut lasts.
	cutKnown = 3 * time.Second
	cutLasts = 6 * time.Second
	// Callers of these VMs must be served at least minServedShare as often as others, unless fewer
	// than toleratedFailures and one in toleratedOneIn of all first attempts fail.
	minServedShare    = 2.0 / 3
	toleratedFailures = 10
	toleratedOneIn    = 50
)

// firstTries counts requests that callers sent for the first time.
type firstTries struct {
	mu                       sync.Mutex
	cut, other               int
	cutServed, otherServed   int
	statuses, earlyStatuses  map[string]int
	longestRefusal, longest  time.Duration
	unsafeServed, unsafeSent int
}

func (f *firstTries) add(isCut, atMostOnce, late bool, status int, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	name := fmt.Sprint(status)
	if !late {
		if isCut {
			f.earlyStatuses[name]++
		}
		return
	}
	served := 0
	if status == http.StatusOK {
		served = 1
	}
	if !isCut {
		f.other, f.otherServed = f.other+1, f.otherServed+served
		return
	}
	f.statuses[name]++
	f.cut, f.cutServed = f.cut+1, f.cutServed+served
	if atMostOnce {
		f.unsafeSent, f.unsafeServed = f.unsafeSent+1, f.unsafeServed+served
	}
	f.longest = max(f.longest, took)
	if served == 0 {
		f.longestRefusal = max(f.longestRefusal, took)
	}
}

// broken reports whether the callers of VMs that are cut off are served too rarely.
func (f *firstTries) broken() bool {
	failed := f.cut - f.cutServed
	if f.cut == 0 || failed <= toleratedFailures+(f.cut+f.other)/toleratedOneIn {
		return false
	}
	others := 1.0
	if f.other > 0 {
		others = float64(f.otherServed) / float64(f.other)
	}
	return float64(f.cutServed)/float64(f.cut) < minServedShare*others
}

// callersPerVM is how many callers each VM has; each sends one request after the other.
const callersPerVM = 3

// callDuringCut lets the callers of all VMs send requests until the end of the cut.
func (s *testCluster) callDuringCut(all []*vm, cut map[*vm]bool, began time.Time) *firstTries {
	tries := &firstTries{statuses: make(map[string]int), earlyStatuses: make(map[string]int)}
	var running sync.WaitGroup
	for _, v := range all {
		for c := range callersPerVM {
			running.Go(func() {
				client := &http.Client{Transport: &http.Transport{}}
				defer client.CloseIdleConnections()
				for n := 0; time.Since(began) < cutLasts; n++ {
					atMostOnce := n%2 == 1
					sent := time.Now()
					status := s.requestBy(client, v, atMostOnce, fmt.Sprintf("%s-%d-%d", v.settings.VM, c, n))
					tries.add(cut[v], atMostOnce, sent.Sub(began) > cutKnown, status, time.Since(sent))
					time.Sleep(5 * time.Millisecond)
				}
			})
		}
	}
	running.Wait()
	return tries
}

func (s *testCluster) requestBy(client *http.Client, v *vm, atMostOnce bool, id string) int {
	method, path := http.MethodGet, "/read/"
	if atMostOnce {
		method, path = http.MethodPost, "/buy/"
	}
	r, err := http.NewRequest(method, "http://"+v.settings.Listen.Callers+path+id, nil)
	assert.NilError(s.t, err)
	r.Host = "shop.example"
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Affinity-Key", id)
	r.Header.Set("X-Deadline-Ms", "2000")
	response, err := client.Do(r)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// runsByID returns how often each request ran.
func (s *testCluster) runsByID() map[string]int {
	runs := make(map[string]int)
	for _, e := range s.targets {
		for _, r := range e.Runs() {
			runs[r.ID]++
		}
	}
	return runs
}

// Guards against requests that are not served because they arrive at a VM that has lost its links to all
// targets, while the other VMs reach them.
func TestCallersOfVMsCutOffFromAllTargetsAreServed(t *testing.T) {
	for _, c := range []struct {
		name string
		mode targetlinks.Mode
		cut  []int
	}{
		{"one hangs", targetlinks.Hang, []int{0}},
		{"one is reset", targetlinks.Reset, []int{0}},
		{"one gets no new connections", targetlinks.RefuseNew, []int{0}},
		{"new connections of one hang", targetlinks.HangNew, []int{0}},
		{"two hang", targetlinks.Hang, []int{0, 2}},
		{"all but one hang", targetlinks.Hang, []int{0, 1, 2}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newTestCluster(t)
			for n := range 4 {
				s.addTarget(fmt.Sprint("u", n))
			}
			all := s.startAll(4)
			cut := make(map[*vm]bool)
			for _, v := range all {
				assert.Equal(t, s.request(v, "/read/1"), 200)
			}
			for _, n := range c.cut {
				cut[all[n]] = true
				s.targetLinks[n].Set(c.mode)
			}
			tries := s.callDuringCut(all, cut, time.Now())
			t.Logf("cut off: %d of %d served, unsafe %d of %d, others %d of %d; statuses %v, in the first %v %v; longest %v, refusal %v", tries.cutServed, tries.cut,
				tries.unsafeServed, tries.unsafeSent, tries.otherServed, tries.other, tries.statuses, cutKnown, tries.earlyStatuses, tries.longest, tries.longestRefusal)
			assert.Check(t, !tries.broken(), "%d of %d first attempts served, those of others %d of %d", tries.cutServed, tries.cut, tries.otherServed, tries.other)
			for id, runs := range s.runsByID() {
				assert.Check(t, runs == 1 || !s.isUnsafe(id), "%s ran %d times", id, runs)
			}
		})
	}
}

// isUnsafe reports whether a request of callDuringCut must run at most once.
func (s *testCluster) isUnsafe(id string) bool {
	var vm, caller, n int
	_, err := fmt.Sscanf(id, "vm-%d-%d-%d", &vm, &caller, &n)
	return err == nil && n%2 == 1
}
