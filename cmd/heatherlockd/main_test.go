package main

import (
	"bytes"
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/integrii/flaggy"
	"gotest.tools/v3/assert"
)

// settings writes a settings file and returns the arguments that select it. It also
// resets the command line parser.
func settings(t *testing.T, text string) []string {
	t.Helper()
	flaggy.ResetParser()
	path := filepath.Join(t.TempDir(), "settings.json")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return []string{"--settings", path}
}

// Guards against a supervisor that restarts the daemon forever because it cannot
// tell a settings error from a crash: a settings file that is invalid, missing or
// not given must have its own exit code. It also guards against operators who have
// to fix one error per restart.
func TestInvalidSettingsHaveTheirOwnExitCode(t *testing.T) {
	for name, args := range map[string][]string{
		"wrong":   settings(t, `{"vm":"a b","zone":"z","platform":{"url":"x"},"nope":1}`),
		"missing": {"--settings", filepath.Join(t.TempDir(), "none.json")},
		"unnamed": {},
	} {
		flaggy.ResetParser()
		var problems bytes.Buffer
		assert.Equal(t, run(args, io.Discard, &problems), exitSettings, name)
		assert.Assert(t, strings.HasPrefix(problems.String(), "settings: "), "%s: %s", name, problems.String())
	}
}

// notify is a log writer that calls found when a write contains mark.
type notify struct {
	bytes.Buffer
	mark  string
	found func()
}

func (n *notify) Write(p []byte) (int, error) {
	if bytes.Contains(p, []byte(n.mark)) {
		n.found()
	}
	return n.Buffer.Write(p)
}

// Guards against requests lost when a supervisor restarts the daemon. On SIGTERM the
// daemon must leave gracefully and exit with code 0, and every line of its log must
// be JSON.
func TestSIGTERMLeavesGracefully(t *testing.T) {
	args := settings(t, `{"vm":"a1","zone":"a","region":"r","callerListen":"127.0.0.1:0","peerListen":"127.0.0.1:0",
	  "operatorListen":"127.0.0.1:0","platform":{"url":"http://127.0.0.1:1"}}`)
	out := &notify{mark: `"daemon starts"`, found: func() {
		assert.Check(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	}}
	assert.Equal(t, run(args, out, io.Discard), exitOK)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	for _, line := range lines {
		assert.Assert(t, json.Valid([]byte(line)), line)
	}
	assert.Assert(t, strings.Contains(out.String(), `"leaving"`))
	assert.Assert(t, strings.Contains(lines[len(lines)-1], `"daemon ends"`), lines[len(lines)-1])
}
