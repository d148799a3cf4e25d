package main

import (
	"context"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/cmd/internal/command"
	"heatherlock/cmd/internal/quickstart"
)

// lesson is one command of the tutorial with what it must print.
type lesson struct {
	line   int
	args   []string
	code   command.Code
	output []string
}

var exitCodeComment = regexp.MustCompile(`\s+# exit code (\d)$`)

// lessons reads the commands from the console blocks of a page.
func lessons(t *testing.T, file string) []lesson {
	t.Helper()
	page, err := os.ReadFile(file)
	assert.NilError(t, err)
	var all []lesson
	inside := false
	for i, line := range strings.Split(string(page), "\n") {
		switch {
		case strings.HasPrefix(line, "```"):
			inside = line == "```console"
		case inside && strings.HasPrefix(line, "$ heatherlock "):
			l := lesson{line: i + 1}
			if m := exitCodeComment.FindStringSubmatch(line); m != nil {
				code, _ := strconv.Atoi(m[1])
				l.code = command.Code(code)
				line = strings.TrimSuffix(line, m[0])
			}
			l.args = strings.Fields(strings.TrimPrefix(line, "$ heatherlock "))
			all = append(all, l)
		case inside:
			last := &all[len(all)-1]
			last.output = append(last.output, line)
		}
	}
	return all
}

// printed tells whether a line of the output has the parts of a line of the
// page, in their order.
func printed(output, want string) bool {
	var parts []string
	for part := range strings.SplitSeq(want, "...") {
		parts = append(parts, regexp.QuoteMeta(strings.TrimSpace(part)))
	}
	// Columns of tables are as wide as their contents.
	pattern := strings.ReplaceAll(strings.Join(parts, ".*"), " ", " +")
	return regexp.MustCompile(pattern).MatchString(output)
}

// startQuickstart runs a deployment as the page says and returns its entry VMs.
func startQuickstart(t *testing.T) string {
	t.Helper()
	options := quickstart.Defaults()
	options.For, options.Keep = 2*time.Second, true
	ctx, cancel := context.WithCancel(context.Background())
	out, done := &lines{}, make(chan error, 1)
	go func() {
		_, err := quickstart.Run(ctx, options, quickstart.Screen{Out: out})
		done <- err
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	for deadline := time.Now().Add(time.Minute); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		for _, line := range out.all() {
			if _, addresses, ok := strings.Cut(line, "export HEATHERLOCK_ENTRY_VMS="); ok {
				return addresses
			}
		}
		select {
		case err := <-done:
			done <- err
			t.Fatalf("quickstart ended: %v", err)
		default:
		}
	}
	t.Fatal("quickstart did not print the entry VMs")
	return ""
}

// The tutorial works as it is written, command by command, on a real system.
func TestTutorial(t *testing.T) {
	page := root + "/docs/tutorial.md"
	t.Setenv("HEATHERLOCK_ENTRY_VMS", startQuickstart(t))
	t.Chdir(root)
	for _, l := range lessons(t, "docs/tutorial.md") {
		began := time.Now()
		code, out, errOut := commandLine{}.run("", l.args...)
		t.Logf("%s: %v", time.Since(began).Round(time.Millisecond), l.args)
		assert.Equal(t, code, l.code, "%s:%d: %v\n%s%s", page, l.line, l.args, out, errOut)
		for _, want := range l.output {
			assert.Assert(t, printed(out+errOut, want), "%s:%d: %v: no line %q in\n%s%s", page, l.line, l.args, want, out, errOut)
		}
	}
}
