package offline

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"heatherlock/cmd/internal/command"
)

// Log lines of three entry VMs: a target that crashed during a request, a request refused because
// of the queue of its target, and requests that timed out.
const (
	logTargetLost = `{"level":"info","msg":"targets passed over, they fail or do not answer","count":1,"targets":["t-1"],"ts":"2026-10-06T10:00:03Z"}
{"msg":"outcome unknown","request":"req-1","route":"buy","reason":"target_died","config":14,"service":"svc","kind":"once","key":"17","deadline_ms":3000,"timeout_ms":1000,"took_ms":161,"store_age_ms":265,"tries":[{"target":"t-1","zone":"a","rank":0,"expected_ms":667,"wait_ms":0,"at_ms":0,"end":"no answer: the target may have run the request: EOF","end_ms":161}],"ts":"2026-10-06T10:00:04.5Z"}
not JSON
{"msg":"lines left out","dropped_lines":7,"ts":"2026-10-06T10:00:05Z"}
`
	logRefused = `   4.5 vm {"msg":"refused","request":"req-2","route":"read","reason":"no_slot","config":14,"service":"svc","kind":"idempotent","took_ms":0,"store_age_ms":4000,"shortest_wait_ms":195,"ts":"2026-10-06T10:00:04.5Z"}
`
	logTimedOut = `{"msg":"outcome unknown","request":"req-3","route":"read","reason":"deadline","config":3,"service":"svc","kind":"idempotent","deadline_ms":2500,"timeout_ms":800,"took_ms":950,"store_age_ms":10,"tries":[{"target":"t-2","zone":"b","rank":0,"expected_ms":564,"wait_ms":156,"at_ms":0}],"ts":"2026-10-06T10:00:04.5Z"}
{"msg":"outcome unknown","request":"req-4","route":"read","reason":"deadline","ts":"2026-10-06T12:00:00Z"}
`
)

func logFiles(t *testing.T) []string {
	t.Helper()
	var files []string
	for name, text := range map[string]string{"vm-1.log": logTargetLost, "vm-2.log": logRefused, "vm-3.log": logTimedOut} {
		file := filepath.Join(t.TempDir(), name)
		assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
		files = append(files, file)
	}
	return files
}

// Checks that a request's id suffices to find the cause in the logs, for three kinds of failed
// requests that the operators' documentation explains.
func TestWhyFindsCauseInLogs(t *testing.T) {
	files := logFiles(t)
	for id, parts := range map[string][]string{
		"req-1": {"broke off with the request in its hands", "t-1 in a", "of t-1 the entry VM said at 10:00:03.000: targets passed over", "7 lines were left out"},
		"req-2": {"refused at once, not run", "195 ms", "read of the store that was 4000 ms old"},
		"req-3": {"no answer of t-2 within the 800 ms", "no answer yet when the request was given up"},
	} {
		var out bytes.Buffer
		assert.NilError(t, explainRequest(files, id, command.IO{Out: &out}))
		for _, part := range parts {
			assert.Assert(t, strings.Contains(out.String(), part), "%s: no %q in:\n%s", id, part, out.String())
		}
		assert.Assert(t, !strings.Contains(out.String(), "12:00:00"), "a line of another time")
	}
}

func TestWhyReportsInvalidInput(t *testing.T) {
	files := logFiles(t)
	io := command.IO{Out: &bytes.Buffer{}}
	for _, c := range []struct {
		files []string
		id    string
		want  string
	}{{files, "", "--id"}, {files, "req-9", "no line about request req-9"}, {[]string{"/nowhere/x.log"}, "req-1", "--log"}} {
		err := explainRequest(c.files, c.id, io)
		assert.Assert(t, err != nil)
		e, ok := err.(*command.Error)
		assert.Assert(t, ok)
		assert.Assert(t, strings.Contains(e.Message+e.Remedy, c.want), "%v", e)
	}
}
