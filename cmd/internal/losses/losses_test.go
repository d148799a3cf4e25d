package losses

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"heatherlock/cmd/internal/command"
	"heatherlock/steering"
	"heatherlock/steering/losses"
)

// Log lines of two entry VMs. Those of the second carry the prefix of a log collector.
const (
	logA = `{"msg":"started","vm":"a-1","zone":"a","ts":"2026-06-01T10:00:00Z"}
{"msg":"answers","zone":"a","sums":[{"service":"tickets","kind":"once","aim_ms":400,"asked":10,"in_aim":6,"late":{"key_cold":3},"refused":{"refused_by_prediction":1}}],"ts":"2026-06-01T10:00:01.2Z"}
{"msg":"refused","request":"r","ts":"2026-06-01T10:00:01.5Z"}
{"msg":"answers","zone":"a","sums":[{"service":"tickets","kind":"once","aim_ms":400,"asked":4,"in_aim":4}],"ts":"2026-06-01T10:00:02.2Z"}
{"msg":"bytes exchanged","zone":"a","bytes":{"requests":{"zone":700,"region":20,"across":3},"store":{"unknown":90}},"ts":"2026-06-01T10:00:02.3Z"}
{"msg":"bytes exchanged","zone":"a","bytes":{"requests":{"across":4},"heartbeats":{"across":9}},"ts":"2026-06-01T10:00:12.3Z"}
not JSON
{"level":"warn","msg":"lines left out","dropped_lines":7,"ts":"2026-06-01T10:00:03Z"}
`
	logB = `  1.2 b-1 {"msg":"answers","zone":"b","sums":[{"service":"tickets","kind":"once","aim_ms":400,"asked":5,"again":2,"in_aim":1,"failed":{"target_gone":4}},{"service":"slots","kind":"idempotent","aim_ms":800,"asked":2,"late":{"waited_for_slot":2}}],"ts":"2026-06-01T10:00:01.9Z"}
`
)

func logFile(t *testing.T, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "vm.log")
	assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
	return file
}

func defaultOptions(logs ...string) *options {
	return &options{logs: logs, window: defaultWindow, worstWindows: defaultWorstWindows}
}

func TestLogsOfSeveralVMsAddUp(t *testing.T) {
	var out bytes.Buffer
	o := defaultOptions(logFile(t, logA), "-")
	o.json = true
	assert.NilError(t, run(o, command.IO{In: strings.NewReader(logB), Out: &out}))
	var r Report
	assert.NilError(t, json.Unmarshal(out.Bytes(), &r))
	assert.Equal(t, r.Lines, 3)
	assert.Equal(t, r.DroppedLines, 7)
	assert.Equal(t, r.Total.Asked, 21)
	assert.Equal(t, r.Total.InAim, 11)
	assert.Equal(t, r.Total.Again, 2)
	assert.DeepEqual(t, r.Total.Causes, []Cause{{"failed", losses.TargetLost, 4}, {"late", losses.ColdKey, 3}, {"late", losses.WaitedForSlot, 2}, {"refused", losses.NoSlotPredicted, 1}})
	assert.Equal(t, len(r.Kinds), 2)
	assert.Equal(t, len(r.Zones), 2)
	assert.Equal(t, len(r.Windows), 2)
	assert.Equal(t, r.Windows[0].Asked, 17)
}

func TestTablesAndPlotShowCauses(t *testing.T) {
	var out bytes.Buffer
	o := defaultOptions(logFile(t, logA), logFile(t, logB))
	o.plotFile = filepath.Join(t.TempDir(), "losses.svg")
	assert.NilError(t, run(o, command.IO{Out: &out}))
	for _, part := range []string{"tickets once, aim 400 ms", "slots idempotent, aim 800 ms", "key_cold", "failed target_gone 4", "0.400", "7 lines were left out"} {
		assert.Assert(t, strings.Contains(out.String(), part), "no %q in\n%s", part, out.String())
	}
	for _, line := range []string{"heartbeats +9 +0 +0 +0", "requests +7 +20 +700 +0", "store +0 +0 +0 +90"} {
		assert.Assert(t, regexp.MustCompile(line).MatchString(out.String()), "no %q in\n%s", line, out.String())
	}
	drawn, err := os.ReadFile(o.plotFile)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Contains(drawn, []byte("refused")))
}

func TestBadInputReturnsExitCode(t *testing.T) {
	good := logFile(t, logA)
	cut := logFile(t, `{"msg":"answers","sums":[{`)
	long := logFile(t, strings.Repeat("x", maxLineBytes+1))
	for name, c := range map[string]struct {
		o    *options
		code command.Code
		says string
	}{
		"no log":           {defaultOptions(), command.Usage, "--log"},
		"no such file":     {defaultOptions("/nowhere"), command.Usage, "--log"},
		"short window":     {&options{logs: []string{good}, window: time.Millisecond}, command.Usage, "1s or more"},
		"negative count":   {&options{logs: []string{good}, window: defaultWindow, worstWindows: -1}, command.Usage, "0 or more"},
		"line cut off":     {defaultOptions(cut), command.Refused, "line 1"},
		"line too long":    {defaultOptions(long), command.Refused, "a JSON object a line"},
		"nothing to add":   {defaultOptions(logFile(t, "{}\n")), command.Refused, "no line with sums"},
		"plot of a format": {&options{logs: []string{good}, window: defaultWindow, plotFile: "x.xyz"}, command.Usage, "--plot"},
	} {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			err := run(c.o, command.IO{Out: &out})
			assert.Equal(t, command.CodeOf(err), c.code)
			assert.ErrorContains(t, err, c.says)
			assert.Equal(t, out.Len(), 0)
		})
	}
}

// Guards against memory use that grows with the number of entry VMs: 600 VMs write one line
// per second for a minute.
func TestMemoryDoesNotGrowWithVMs(t *testing.T) {
	r := newLogTotals(defaultWindow)
	for vm := range 600 {
		var text strings.Builder
		for second := range 60 {
			fmt.Fprintf(&text, `{"msg":"answers","zone":"z-%d","sums":[{"service":"s","kind":"once","aim_ms":1,"asked":1,"in_aim":1}],"ts":"2026-06-01T10:00:%02dZ"}`+"\n", vm%30, second)
		}
		assert.NilError(t, r.readLog(strings.NewReader(text.String()), "vm"))
	}
	assert.Equal(t, len(r.sums), 30*30)
	assert.Equal(t, r.report().Total.Asked, 600*60)
}

// Checks for arbitrary sums that the groups of each table add up to the total, and that
// their causes add up to the lost requests.
func TestGroupsAddUpToTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newLogTotals(defaultWindow)
		for range rapid.IntRange(1, 40).Draw(t, "sums") {
			s := losses.Sum{Kind: losses.Kind{Service: steering.Service(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "service"))}}
			for range rapid.IntRange(0, 5).Draw(t, "requests") {
				s.Add(losses.Outcome(rapid.IntRange(0, 3).Draw(t, "outcome")), losses.Cause(rapid.SampledFrom([]string{"x", "y"}).Draw(t, "cause")), 1)
			}
			at := time.Unix(int64(rapid.IntRange(0, 9).Draw(t, "second")), 0)
			r.addSum(sumKey{at, steering.Zone(rapid.SampledFrom([]string{"p", "q"}).Draw(t, "zone")), s.Kind}, s)
		}
		out := r.report()
		for _, groups := range [][]Group{out.Kinds, out.Zones, out.Windows} {
			asked, lost := 0, 0
			for _, p := range groups {
				asked += p.Asked
				for _, c := range p.Causes {
					lost += c.Count
				}
			}
			assert.Equal(t, asked, out.Total.Asked)
			assert.Equal(t, lost, out.Total.Lost())
		}
	})
}
