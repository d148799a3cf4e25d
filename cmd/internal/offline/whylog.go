package offline

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"
	"time"

	"heatherlock/cmd/internal/command"
	"heatherlock/steering"
)

const (
	// maxLogLine is the longest line of a log that is read.
	maxLogLine = 1 << 20
	// beliefsBefore and beliefsAfter bound the time around a request from which
	// an entry VM's changes of belief are shown.
	beliefsBefore = 5 * time.Second
	beliefsAfter  = 2 * time.Second
	// longSinceRead is an age of the store's last read above which what the VM
	// went by is named as a cause: twice the usual pause between reads.
	longSinceRead = 2500 * time.Millisecond
)

// logLine is a line of an entry VM's log. Only what tells a cause has a field.
type logLine struct {
	File     string          `json:"-"`
	At       time.Time       `json:"ts"`
	Msg      string          `json:"msg"`
	Request  string          `json:"request"`
	Route    string          `json:"route"`
	Reason   steering.Reason `json:"reason"`
	Service  string          `json:"service"`
	Kind     string          `json:"kind"`
	Config   int64           `json:"config"`
	StoreAge int64           `json:"store_age_ms"`
	Deadline int64           `json:"deadline_ms"`
	Timeout  int64           `json:"timeout_ms"`
	Took     int64           `json:"took_ms"`
	Shortest int64           `json:"shortest_wait_ms"`
	Status   int             `json:"status"`
	Dropped  int64           `json:"dropped_lines"`
	Tries    []logTry        `json:"tries"`
	Targets  []string        `json:"targets"`
	Peer     string          `json:"peer"`
	Stopped  string          `json:"no_further_try"`

	raw string
}

// logTry is a try of a request.
type logTry struct {
	Target   string `json:"target"`
	Zone     string `json:"zone"`
	Rank     int    `json:"rank"`
	Trial    bool   `json:"trial"`
	Expected int64  `json:"expected_ms"`
	Wait     int64  `json:"wait_ms"`
	At       int64  `json:"at_ms"`
	End      string `json:"end"`
	EndMs    int64  `json:"end_ms"`
}

// runWhyLog puts together what the logs of entry VMs tell of a request.
func runWhyLog(files []string, id string, out command.IO) error {
	if id == "" {
		return command.Failf(command.Usage, "give the value of the request's id header with --id", "no request named")
	}
	lines, skipped, err := readLogs(files)
	if err != nil {
		return err
	}
	found := selectLines(lines, id)
	if len(found) == 0 {
		return command.Failf(command.Refused, "give the logs of all entry VMs that the caller used; a request that was served at the first try has no line", "no line about request %s in %d lines of %d files", id, len(lines), len(files))
	}
	for i := 0; i < len(found); i++ {
		l, same := found[i], 0
		for i+1 < len(found) && l.Request == "" && len(l.Targets) == 0 && found[i+1].Msg == l.Msg && found[i+1].File == l.File {
			i, same = i+1, same+1
		}
		fmt.Fprintf(out.Out, "%s  %-20s  %s%s\n", l.At.UTC().Format("15:04:05.000"), l.File, describe(l), andMore(same))
	}
	fmt.Fprintf(out.Out, "cause:   %s\n", causeOf(found, id))
	if skipped > 0 {
		fmt.Fprintf(out.Out, "note:    %d lines were left out by the entry VMs to keep the log within its rate\n", skipped)
	}
	return nil
}

// readLogs reads the JSON lines of files; others are passed over.
func readLogs(files []string) (lines []logLine, skipped int64, err error) {
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, 0, command.Failf(command.Usage, "give files that exist and may be read with --log", "%v", err)
		}
		some, left, err := readLog(f, name)
		_ = f.Close() // it was only read
		if err != nil {
			return nil, 0, command.Failf(command.Usage, "give the log as the entry VM wrote it, a JSON object a line", "%s: %v", name, err)
		}
		lines, skipped = append(lines, some...), skipped+left
	}
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].At.Before(lines[j].At) })
	return lines, skipped, nil
}

func readLog(r io.Reader, name string) (lines []logLine, skipped int64, err error) {
	in := bufio.NewScanner(r)
	in.Buffer(make([]byte, 0, 64<<10), maxLogLine)
	base := name[strings.LastIndexByte(name, '/')+1:]
	for in.Scan() {
		start := strings.IndexByte(in.Text(), '{')
		if start < 0 {
			continue
		}
		l := logLine{File: base, raw: in.Text()[start:]}
		if json.Unmarshal([]byte(l.raw), &l) != nil || l.Msg == "" {
			continue
		}
		skipped += l.Dropped
		lines = append(lines, l)
	}
	return lines, skipped, in.Err()
}

// selectLines returns the lines about a request, and the changes of what its
// entry VMs believed around it.
func selectLines(lines []logLine, id string) []logLine {
	var about []logLine
	for _, l := range lines {
		if l.Request == id {
			about = append(about, l)
		}
	}
	var found []logLine
	for _, l := range lines {
		if l.Request == id || l.Request == "" && concerns(l, about) {
			found = append(found, l)
		}
	}
	return found
}

// concerns reports whether a line tells a belief of an entry VM that had the
// request, shortly before or after.
func concerns(l logLine, about []logLine) bool {
	for _, a := range about {
		began := a.At.Add(-time.Duration(a.Took) * time.Millisecond)
		if l.File == a.File && l.At.After(began.Add(-beliefsBefore)) && l.At.Before(a.At.Add(beliefsAfter)) {
			return true
		}
	}
	return false
}

func andMore(same int) string {
	if same == 0 {
		return ""
	}
	return fmt.Sprintf(" (and %d more of these)", same)
}

func describe(l logLine) string {
	if l.Request == "" {
		text := l.Msg
		switch {
		case len(l.Targets) > 0:
			text += ": " + strings.Join(l.Targets, ", ")
		case l.Peer != "":
			text += ": " + l.Peer
		case l.Config > 0:
			text += fmt.Sprintf(": version %d", l.Config)
		}
		return text
	}
	text := fmt.Sprintf("%s after %d ms (route %s, %s, service %s, deadline %d ms, timeout %d ms, configuration %d, store read %d ms before)",
		l.Msg, l.Took, l.Route, l.Kind, l.Service, l.Deadline, l.Timeout, l.Config, l.StoreAge)
	for _, t := range l.Tries {
		text += fmt.Sprintf("\n%36s at %d ms to %s in %s (rank %d of its key, expected %d ms of which %d waiting)", "", t.At, t.Target, t.Zone, t.Rank+1, t.Expected, t.Wait)
		if t.End == "" {
			text += ": no answer yet when the request was given up"
			continue
		}
		text += fmt.Sprintf(": %s at %d ms", t.End, t.EndMs)
	}
	if l.Stopped != "" {
		text += fmt.Sprintf("\n%36s not tried again: %s", "", l.Stopped)
	}
	return text
}

// causeOf says in a sentence why a request was not served as hoped.
func causeOf(found []logLine, id string) string {
	var last logLine
	for _, l := range found {
		if l.Request == id {
			last = l
		}
	}
	cause := mainCause(last)
	if last.Stopped != "" {
		cause += "; not tried again: " + last.Stopped
	}
	if time.Duration(last.StoreAge)*time.Millisecond > longSinceRead {
		cause += fmt.Sprintf("; the entry VM went by a read of the store that was %d ms old", last.StoreAge)
	}
	for _, t := range last.Tries {
		if l, told := lastTold(found, t.Target, last.At); told {
			cause += fmt.Sprintf("; of %s the entry VM said at %s: %s", t.Target, l.At.UTC().Format("15:04:05.000"), l.Msg)
		}
	}
	return cause
}

// lastTold returns what an entry VM told last of a target before a request ended,
// or first after it.
func lastTold(found []logLine, target string, ended time.Time) (told logLine, any bool) {
	for _, l := range found {
		if l.Request == "" && contains(l.Targets, target) && (!any || !l.At.After(ended)) {
			told, any = l, true
		}
	}
	return told, any
}

func mainCause(l logLine) string {
	switch {
	case l.Reason == steering.ReasonNoSlot && len(l.Tries) == 0:
		return fmt.Sprintf("refused at once, not run: the target of its key had a queue of %d ms, too long for its aim; overload of service %s", l.Shortest, l.Service)
	case l.Reason == steering.ReasonDeadline:
		return fmt.Sprintf("outcome unknown: no answer of %s within the %d ms that the route allows", lastTarget(l), l.Timeout)
	case l.Reason == steering.ReasonTargetDied:
		return fmt.Sprintf("outcome unknown: %s broke off with the request in its hands", lastTarget(l))
	case l.Reason == steering.ReasonAnswerCrossed:
		return fmt.Sprintf("outcome unknown: %s sent an answer that could not be passed on", lastTarget(l))
	case l.Reason == "":
		return fmt.Sprintf("passed on with status %d after %d tries", l.Status, len(l.Tries))
	}
	if info, known := steering.Reasons[l.Reason]; known {
		return info.Meaning + "; remedy: " + info.Remedy
	}
	return "reason " + string(l.Reason)
}

func lastTarget(l logLine) string {
	if len(l.Tries) == 0 {
		return "any target"
	}
	return l.Tries[len(l.Tries)-1].Target
}

func contains(all []string, one string) bool {
	for _, s := range all {
		if s == one {
			return true
		}
	}
	return false
}
