package soak

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/standin/endpoint"
)

var (
	seeds   = flag.Int("soak.seeds", 1, "how many seeds to play")
	first   = flag.Uint64("soak.seed", 1, "the first seed")
	length  = flag.Duration("soak.length", 20*time.Second, "length of a run")
	daemons = flag.Int("soak.daemons", 5, "entry VMs")
	without = flag.String("soak.without", "", "parts to leave out, separated by commas")
	build   = flag.String("soak.binary", "", "the daemon to play instead of the one that is built, such as an earlier one")
	sparse  = flag.Int("soak.sparse", 12, "leave out all but one in so many faults beside changes of the configuration")
	plain   = flag.Bool("soak.plain", false, "write configurations in one notation of JSON, and let all of their changes be read")
	settle  = flag.Bool("soak.settle", false, "wait half a minute after each run, and check what is held then")
	race    = flag.Bool("soak.race", false, "build the daemon with the race detector")
)

func buildDaemon(t *testing.T, tags string) string {
	t.Helper()
	if *build != "" {
		return *build
	}
	binary := filepath.Join(t.TempDir(), "heatherlockd")
	arguments := []string{"build", "-tags", "soak," + tags, "-o", binary}
	if *race {
		arguments = append(arguments, "-race")
	}
	cmd := exec.Command("go", append(arguments, "heatherlock/cmd/heatherlockd")...)
	cmd.Stderr = os.Stderr
	assert.NilError(t, cmd.Run())
	return binary
}

func options(seed uint64, binary string) Options {
	return Options{Seed: seed, Length: *length, Daemons: *daemons, Targets: 8, Callers: 12, Binary: binary, Without: strings.Split(*without, ","), Settle: *settle, BasePort: 23000 + int(seed%400)*8}
}

// TestGuaranteesHoldUnderRandomFaults guards against violated guarantees (a request that
// runs twice, a wrong or missing response, a configuration not applied in time) while
// processes, connections and the store fail at random.
func TestGuaranteesHoldUnderRandomFaults(t *testing.T) {
	binary := buildDaemon(t, "")
	for seed := *first; seed < *first+uint64(*seeds); seed++ {
		report, err := Run(options(seed, binary))
		assert.NilError(t, err)
		t.Logf("seed %d: %d faults, %d requests, %d answered, %d findings", seed, len(report.Plan), report.Requests, report.Answered, len(report.Findings))
		if len(report.Findings) > 0 {
			t.Errorf("seed %d violated a guarantee; logs in %s\nplan:\n%s\nfindings:\n%s", seed, report.Logs, strings.Join(report.Plan, "\n"), strings.Join(report.Findings, "\n"))
		}
	}
}

// Guards against entry VMs that handle a request as an older version than the newest one in force: by another service, by a
// route that has gone, or as if a route were not there.
func TestRequestsAreHandledByTheNewestConfiguration(t *testing.T) {
	binary := buildDaemon(t, "")
	for seed := *first; seed < *first+uint64(*seeds); seed++ {
		o := options(seed, binary)
		o.BasePort -= 4000
		o.Callers, o.Sparse, o.Plain, o.LoseAll = 4, *sparse, *plain, true
		o.Without = slices.DeleteFunc(partNames(), func(name string) bool { return name == versions.name })
		report, err := Run(o)
		assert.NilError(t, err)
		t.Logf("seed %d: %d faults and changes, %d questions, %d of them for a confirmed version", seed, len(report.Plan), report.Questions, report.Required)
		assert.Assert(t, report.Required > 0)
		if len(report.Findings) > 0 {
			t.Errorf("seed %d violated a guarantee; logs in %s\nplan:\n%s\nfindings:\n%s", seed, report.Logs, strings.Join(report.Plan, "\n"), strings.Join(report.Findings, "\n"))
		}
	}
}

// TestLocksAreTakenInOneOrder guards against an entry VM that answers nothing any more because two
// of its locks were taken in both orders. Such a build ends as soon as it sees that, whether or not the
// two meet.
func TestLocksAreTakenInOneOrder(t *testing.T) {
	binary := buildDaemon(t, "lockorder")
	for seed := *first; seed < *first+uint64(*seeds); seed++ {
		o := options(seed, binary)
		o.BasePort += 4000
		report, err := Run(o)
		assert.NilError(t, err)
		for _, finding := range report.Findings {
			if strings.Contains(finding, "ended by itself") {
				t.Errorf("seed %d: %s", seed, finding)
			}
		}
	}
}

// Guards against an entry VM that stands still while it leaves, and afterwards neither answers what it has nor ends.
func TestVMThatStandsStillDuringItsStopEnds(t *testing.T) {
	o := options(1, buildDaemon(t, ""))
	o.BasePort += 8000
	o.Daemons, o.Without = 2, partNames()
	s, err := newSystem(o, t.TempDir(), &findings{began: time.Now()})
	assert.NilError(t, err)
	defer s.close()
	s.addPartRoute("long", "safe", serviceName, 400*time.Millisecond, 20*time.Second, 0)
	version := s.writeConfig()
	assert.NilError(t, s.awaitReady())
	d := s.daemons[0]
	for gauges := map[string]float64{}; gauges["gateway_config_version"] < float64(version); time.Sleep(100 * time.Millisecond) {
		gauges, err = s.gaugesOf(d)
		assert.NilError(t, err)
	}
	for _, x := range s.allTargets {
		x.SetFault(func(*http.Request) endpoint.Fault { return endpoint.Dark })
	}
	request, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/long/1", d.address(s.ports[0])), nil)
	assert.NilError(t, err)
	request.Host = host
	request.Header.Set("Api-Key", apiKeyOf(workspaceNames[0]))
	request.Header.Set("X-Request-Id", "long-1")
	request.Header.Set("X-Deadline-Ms", "18000")
	status := make(chan int, 1)
	go func() {
		response, err := http.DefaultTransport.RoundTrip(request)
		if err != nil {
			status <- 0
			return
		}
		_ = response.Body.Close()
		status <- response.StatusCode
	}()
	time.Sleep(300 * time.Millisecond)
	d.signal(syscall.SIGTERM)
	time.Sleep(time.Second)
	d.signal(syscall.SIGSTOP)
	time.Sleep(6 * time.Second) // the whole of its grace time
	d.signal(syscall.SIGCONT)
	assert.Equal(t, <-status, http.StatusBadGateway)
	ended := func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.process == nil || d.boots > 1
	}
	for end := time.Now().Add(3 * time.Second); !ended(); time.Sleep(50 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "it goes on")
	}
}

var replayFailed = flag.Bool("soak.cases", false, "play the seeds that have failed")

// failedSeeds maps seeds that once failed to the observed failure and its cause as far as it
// is known. A seed repeats the plan but not the interleaving, so a run of one may also pass.
var failedSeeds = map[uint64]string{
	337: "two reads of one page got 503 in the last 2 s: two targets died with requests for it in hand, and it was held back as one that crashes targets",
	432: "one read got 503 in the last 2 s, for the same reason",
	855: "one read got 503 in the last 2 s, refused as one that crashes targets",
	721: "two requests had no final answer: an entry VM stood still for good, the reader and a heartbeat waiting for each other",
}

// TestRegressionSeeds repeats the plans under which a guarantee was once violated. Seeds
// stay in the list unchanged.
func TestRegressionSeeds(t *testing.T) {
	if !*replayFailed {
		t.Skip("takes a minute; run with -soak.cases")
	}
	binary := buildDaemon(t, "")
	for seed, seen := range failedSeeds {
		report, err := Run(options(seed, binary))
		assert.NilError(t, err)
		if len(report.Findings) > 0 {
			t.Errorf("seed %d failed before with: %s; findings now:\n%s", seed, seen, strings.Join(report.Findings, "\n"))
		}
	}
}

var planted = flag.Bool("soak.planted", false, "play builds with planted defects, which must be found")

// TestPlantedDefectsAreFound guards against checks that can't fail. Each planted defect, a
// build tag of the daemon, violates one guarantee and must be found within 12 seeds.
func TestPlantedDefectsAreFound(t *testing.T) {
	if !*planted {
		t.Skip("takes several minutes; run with -soak.planted")
	}
	for name, finding := range map[string]string{"lock_order": "ended by itself", "twice": "ran twice", "falsely_not_run": "and ran", "crossed": "the answer to", "leaving_ignored": "after it said that it leaves",
		"stale_config": "does not know route", "cut_on_stop": "was cut by", "no_helpers": "reached no target and served", "reused_address": "ran at another service", "limit_ignored": "names a limit of"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			binary := buildDaemon(t, "planted_"+name)
			for seed := uint64(1); seed <= 12; seed++ {
				o := options(seed, binary)
				o.BasePort = 30000 + int(name[0])*60 + int(seed)*8
				report, err := Run(o)
				assert.NilError(t, err)
				if strings.Contains(strings.Join(report.Findings, "\n"), finding) {
					t.Logf("found with seed %d", seed)
					return
				}
			}
			t.Errorf("not found in 12 seeds")
		})
	}
}
