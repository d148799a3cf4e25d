package soak

import (
	"flag"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	seeds   = flag.Int("soak.seeds", 1, "how many seeds to play")
	first   = flag.Uint64("soak.seed", 1, "the first seed")
	length  = flag.Duration("soak.length", 20*time.Second, "length of a run")
	daemons = flag.Int("soak.daemons", 5, "entry VMs")
)

func build(t *testing.T, tags string) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "heatherlockd")
	cmd := exec.Command("go", "build", "-tags", tags, "-o", binary, "heatherlock/cmd/heatherlockd")
	cmd.Stderr = os.Stderr
	assert.NilError(t, cmd.Run())
	return binary
}

func options(seed uint64, binary string) Options {
	return Options{Seed: seed, Length: *length, Daemons: *daemons, Targets: 8, Callers: 12, Binary: binary, BasePort: 23000 + int(seed%400)*8}
}

// The promises hold while processes and links fail at random.
func TestPromisesHoldUnderRandomFaults(t *testing.T) {
	binary := build(t, "")
	for seed := *first; seed < *first+uint64(*seeds); seed++ {
		report, err := Run(options(seed, binary))
		assert.NilError(t, err)
		t.Logf("seed %d: %d faults, %d requests, %d answered, %d findings", seed, len(report.Plan), report.Asked, report.Answered, len(report.Findings))
		if len(report.Findings) > 0 {
			t.Errorf("seed %d broke a promise; logs in %s\nplan:\n%s\nfindings:\n%s", seed, report.Logs, strings.Join(report.Plan, "\n"), strings.Join(report.Findings, "\n"))
		}
	}
}

var cases = flag.Bool("soak.cases", false, "play the seeds that have failed")

// Seeds that failed, with what was seen and the cause as far as it is known. A seed repeats
// the plan, not each interleaving: both also pass.
var failed = map[uint64]string{
	337: "two reads of one page got 503 in the last 2 s: two targets died with requests for it in hand, and it was held back as one that crashes targets",
	432: "one read got 503 in the last 2 s, for the same reason",
	721: "two requests had no final answer: an entry VM stood still for good, the reader and a heartbeat waiting for each other",
}

// Seeds that broke a promise once stay here unchanged.
func TestSeedsThatFailed(t *testing.T) {
	if !*cases {
		t.Skip("takes a minute; give -soak.cases")
	}
	binary := build(t, "")
	for seed, seen := range failed {
		report, err := Run(options(seed, binary))
		assert.NilError(t, err)
		if len(report.Findings) > 0 {
			t.Errorf("seed %d, once: %s; now:\n%s", seed, seen, strings.Join(report.Findings, "\n"))
		}
	}
}

var planted = flag.Bool("soak.planted", false, "play builds with planted defects, which must be found")

// A soak that finds nothing may be blind. Each planted defect breaks one promise,
// and has to be found within a few seeds.
func TestPlantedDefectsAreFound(t *testing.T) {
	if !*planted {
		t.Skip("takes minutes; give -soak.planted")
	}
	for name, says := range map[string]string{"twice": "ran twice", "falsely_not_run": "and ran", "crossed": "the answer to", "leaving_ignored": "after it said that it leaves",
		"stale_config": "does not know route", "cut_on_stop": "was cut by", "reused_address": "ran at another service"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			binary := build(t, "planted_"+name)
			for seed := uint64(1); seed <= 12; seed++ {
				o := options(seed, binary)
				o.BasePort = 30000 + int(name[0])*60 + int(seed)*8
				report, err := Run(o)
				assert.NilError(t, err)
				if strings.Contains(strings.Join(report.Findings, "\n"), says) {
					t.Logf("found with seed %d", seed)
					return
				}
			}
			t.Errorf("not found in 12 seeds")
		})
	}
}
