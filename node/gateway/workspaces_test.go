package gateway_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/node/gateway/status"
	"heatherlock/platform"
	"heatherlock/steering"
)

// secret is the prefix of every API key in these tests.
const secret = "test-secret-"

// workspace adds a workspace to the configuration, or replaces it.
func (s *testCluster) workspace(name string, rate float64, keys ...string) {
	for n, w := range s.workspaces {
		if w["name"] == name {
			s.workspaces = append(s.workspaces[:n], s.workspaces[n+1:]...)
			break
		}
	}
	s.workspaces = append(s.workspaces, map[string]any{"name": name, "apiKeys": keys, "ratePerS": rate, "burst": rate, "homeRegions": []string{}})
}

// requestAs sends a read with an API key.
func (s *testCluster) requestAs(v *vm, key string) (status int, reason steering.Reason) {
	r, err := http.NewRequest(http.MethodGet, "http://"+v.settings.Listen.Callers+"/read/1", nil)
	assert.NilError(s.t, err)
	r.Host = "shop.example"
	r.Header.Set("X-Request-Id", fmt.Sprint("q", s.number.Add(1)))
	r.Header.Set("X-Deadline-Ms", "3000")
	r.Header.Set("Api-Key", key)
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(r)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body) // only the status and a header matter here
	return response.StatusCode, steering.Reason(response.Header.Get("Heatherlock-Reason"))
}

func (s *testCluster) statusOf(v *vm) *status.Status {
	got, err := status.Fetch(s.t.Context(), http.DefaultClient, v.settings.Listen.Control)
	assert.NilError(s.t, err)
	return got
}

// Guards against a VM that goes on accepting a revoked key because the store does not respond to
// it. Follows docs/operations/workspaces.md, "Revoke a key".
func TestRevokedKeyIsRefusedEverywhereInTime(t *testing.T) {
	t.Parallel()
	s := newTestCluster(t)
	s.links = newLinks(wideMegabits)
	s.workspace("museum", 0, secret+"1", secret+"2")
	s.configure()
	all := s.startAll(4)
	for _, v := range all {
		got, _ := s.requestAs(v, secret+"2")
		assert.Equal(t, got, 200)
	}
	s.links.blockStore(all[0])
	s.workspace("museum", 0, secret+"1")
	s.configure()
	for _, v := range all {
		within(t, 3*time.Second, "revoked", func() bool {
			_, reason := s.requestAs(v, secret+"2")
			return reason == steering.ReasonAPIKeyUnknown
		})
		got, _ := s.requestAs(v, secret+"1")
		assert.Equal(t, got, 200)
	}
	version := s.statusOf(all[0]).ConfigVersion
	for _, v := range all {
		assert.Equal(t, s.statusOf(v).ConfigVersion, version)
	}
}

// Guards against an allowance that each VM applies on its own instead of across all VMs. Follows
// docs/operations/workspaces.md, "Find who floods" and "Raise a limit".
func TestFloodIsFoundAndALimitIsRaised(t *testing.T) {
	t.Parallel()
	s := newTestCluster(t)
	s.workspace("museum", 20, secret+"1")
	s.workspace("spa", 500, secret+"2")
	s.configure()
	all := s.startAll(3)
	flood := func(d time.Duration) (ran, beyond int) {
		var mu sync.Mutex
		var running sync.WaitGroup
		for end, n := time.Now().Add(d), 0; time.Now().Before(end); n++ {
			running.Go(func() {
				got, reason := s.requestAs(all[n%3], secret+"1")
				mu.Lock()
				defer mu.Unlock()
				if got == 200 {
					ran++
				}
				if reason == steering.ReasonOverAllowance {
					beyond++
				}
			})
			time.Sleep(5 * time.Millisecond)
		}
		running.Wait()
		return ran, beyond
	}
	ran, beyond := flood(2 * time.Second)
	assert.Assert(t, ran <= 100 && ran >= 30, "%d ran", ran)
	assert.Assert(t, beyond > 50, "%d refused", beyond)
	got, _ := s.requestAs(all[0], secret+"2")
	assert.Equal(t, got, 200)

	asked, owners := int64(0), 0
	for _, v := range all {
		for _, w := range s.statusOf(v).Workspaces {
			if w.Name != "museum" {
				continue
			}
			asked += w.Admitted + w.Beyond
			assert.Assert(t, len(w.Shares) == 1 && w.Shares[0].Demand > 0 && !w.Shares[0].Short, "%v", w.Shares)
			if w.Owned != nil {
				owners++
				assert.Equal(t, w.Owned.Rate, 20.0)
				assert.Assert(t, w.Owned.Demand > 40, "%v", w.Owned)
			}
		}
	}
	assert.Equal(t, owners, 1)
	assert.Assert(t, asked >= int64(ran+beyond), "%d asked", asked)

	s.workspace("museum", 2000, secret+"1")
	s.configure()
	for _, v := range all {
		within(t, 3*time.Second, "configuration active", func() bool { return s.statusOf(v).ConfigVersion == uint64(s.version) })
	}
	time.Sleep(300 * time.Millisecond)
	_, beyond = flood(500 * time.Millisecond)
	assert.Equal(t, beyond, 0)
}

// Guards against API keys in anything that a VM writes or sends: logs, metrics, status, responses
// to peers and to callers.
func TestAPIKeysAreNeverExposed(t *testing.T) {
	t.Parallel()
	s := newTestCluster(t)
	s.logs = &safeBuffer{}
	s.workspace("museum", 5, secret+"1", secret+"2")
	s.configure()
	all := s.startAll(2)
	for n := range 60 {
		s.requestAs(all[n%2], secret+fmt.Sprint(1+n%3)) // the third is unknown
	}
	s.workspace("museum", 5, secret+"1")
	s.configure()
	time.Sleep(1500 * time.Millisecond)
	shown := s.logs.String()
	assert.Assert(t, strings.Contains(shown, "over_allowance") && strings.Contains(shown, "api_key_unknown"), "the log reports refusals")
	for _, v := range all {
		for _, url := range []string{v.settings.Listen.Control + status.Path, v.settings.Listen.Control + "/v1/known?since=0",
			fmt.Sprintf("%s:%d/metrics", v.settings.IP, v.settings.MetricsPort), v.settings.Listen.Directory + platform.PathDirectory + "?name=shop.example&region=r&zone=a"} {
			_, body := s.get("http://" + url)
			shown += body
		}
		response, err := http.Post("http://"+v.settings.Listen.Control+"/v1/config", "application/cbor", bytes.NewReader([]byte{0xa0}))
		assert.NilError(t, err)
		body, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		shown += string(body)
	}
	for _, e := range s.targets {
		for _, run := range e.Runs() {
			shown += fmt.Sprint(run.Header)
		}
	}
	assert.Assert(t, !strings.Contains(shown, secret), "an API key is exposed")
}

// safeBuffer is a buffer that several VMs may log to concurrently.
type safeBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *safeBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *safeBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}
