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
	// maxLineBytes limits the length of a log line.
	maxLineBytes = 1 << 20
	// eventsBefore and eventsAfter limit the time before and after a request within which
	// other log lines of its entry VM, such as ejected targets, are shown with it.
	eventsBefore = 5 * time.Second
	eventsAfter  = 2 * time.Second
	// staleStoreRead is the age of the entry VM's last store read above which it is
	// reported as part of the cause: twice the usual interval between reads.
	staleStoreRead = 2500 * time.Millisecond
)

// logLine is a line of an entry VM's log. It has only the fields that help to find a cause.
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
	Tries    []logAttempt    `json:"tries"`
	Targets  []string        `json:"targets"`
	Peer     string          `json:"peer"`
	Stopped  string          `json:"no_further_try"`

	raw string
}

// logAttempt is one attempt to run a request on a target.
type logAttempt struct {
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

// explainRequest prints the log lines about a request in order of time, and the cause of its
// failure.
func explainRequest(files []string, id string, out command.IO) error {
	if id == "" {
		return command.Failf(command.Usage, "give the value of the request's id header with --id", "no request named")
	}
	lines, dropped, err := readLogs(files)
	if err != nil {
		return err
	}
	selected := selectLines(lines, id)
	if len(selected) == 0 {
		return command.Failf(command.Refused, "give the logs of all entry VMs that the caller used; a request that was served at the first try has no line", "no line about request %s in %d lines of %d files", id, len(lines), len(files))
	}
	for i := 0; i < len(selected); i++ {
		l, repeats := selected[i], 0
		for i+1 < len(selected) && l.Request == "" && len(l.Targets) == 0 && selected[i+1].Msg == l.Msg && selected[i+1].File == l.File {
			i, repeats = i+1, repeats+1
		}
		fmt.Fprintf(out.Out, "%s  %-20s  %s%s\n", l.At.UTC().Format("15:04:05.000"), l.File, describe(l), repeatSuffix(repeats))
	}
	fmt.Fprintf(out.Out, "cause:   %s\n", causeOf(selected, id))
	if dropped > 0 {
		fmt.Fprintf(out.Out, "note:    %d lines were left out by the entry VMs to keep the log within its rate\n", dropped)
	}
	return nil
}

// readLogs reads the JSON lines of files in order of time and skips all other lines. dropped
// is the number of lines that the entry VMs omitted to stay within their log rate.
func readLogs(files []string) (lines []logLine, dropped int64, err error) {
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, 0, command.Failf(command.Usage, "give files that exist and may be read with --log", "%v", err)
		}
		fileLines, fileDropped, err := readLog(f, name)
		_ = f.Close() // opened for reading only, so the error is ignored
		if err != nil {
			return nil, 0, command.Failf(command.Usage, "give the log as the entry VM wrote it, a JSON object a line", "%s: %v", name, err)
		}
		lines, dropped = append(lines, fileLines...), dropped+fileDropped
	}
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].At.Before(lines[j].At) })
	return lines, dropped, nil
}

func readLog(r io.Reader, name string) (lines []logLine, dropped int64, err error) {
	in := bufio.NewScanner(r)
	in.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
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
		dropped += l.Dropped
		lines = append(lines, l)
	}
	return lines, dropped, in.Err()
}

// selectLines returns the lines about a request, and those lines of its entry VMs from around
// that time that concern no request, such as changes in the state of targets.
func selectLines(lines []logLine, id string) []logLine {
	var requestLines []logLine
	for _, l := range lines {
		if l.Request == id {
			requestLines = append(requestLines, l)
		}
	}
	var selected []logLine
	for _, l := range lines {
		if l.Request == id || l.Request == "" && isNearRequest(l, requestLines) {
			selected = append(selected, l)
		}
	}
	return selected
}

// isNearRequest reports whether a line comes from the log of an entry VM that handled the
// request, and was written shortly before, during or after it.
func isNearRequest(l logLine, requestLines []logLine) bool {
	for _, a := range requestLines {
		start := a.At.Add(-time.Duration(a.Took) * time.Millisecond)
		if l.File == a.File && l.At.After(start.Add(-eventsBefore)) && l.At.Before(a.At.Add(eventsAfter)) {
			return true
		}
	}
	return false
}

func repeatSuffix(repeats int) string {
	if repeats == 0 {
		return ""
	}
	return fmt.Sprintf(" (and %d more of these)", repeats)
}

// describe returns the text to print for a line, with one line per attempt of a request.
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

// causeOf describes in one sentence why a request failed or was retried.
func causeOf(lines []logLine, id string) string {
	var last logLine
	for _, l := range lines {
		if l.Request == id {
			last = l
		}
	}
	cause := mainCause(last)
	if last.Stopped != "" {
		cause += "; not tried again: " + last.Stopped
	}
	if time.Duration(last.StoreAge)*time.Millisecond > staleStoreRead {
		cause += fmt.Sprintf("; the entry VM went by a read of the store that was %d ms old", last.StoreAge)
	}
	for _, t := range last.Tries {
		if l, found := targetEvent(lines, t.Target, last.At); found {
			cause += fmt.Sprintf("; of %s the entry VM said at %s: %s", t.Target, l.At.UTC().Format("15:04:05.000"), l.Msg)
		}
	}
	return cause
}

// targetEvent returns the last line about a target that was written before the request ended
// or, if there is none, the first one after it.
func targetEvent(lines []logLine, target string, ended time.Time) (event logLine, any bool) {
	for _, l := range lines {
		if l.Request == "" && contains(l.Targets, target) && (!any || !l.At.After(ended)) {
			event, any = l, true
		}
	}
	return event, any
}

// mainCause describes the cause that the last line about a request gives.
func mainCause(l logLine) string {
	switch {
	case l.Reason == steering.ReasonNoSlot && len(l.Tries) == 0:
		return fmt.Sprintf("refused at once, not run: the target of its key had a queue of %d ms, too long for its aim; overload of service %s", l.Shortest, l.Service)
	case l.Reason == steering.ReasonDeadline:
		return fmt.Sprintf("outcome unknown: no answer of %s within the %d ms that the route allows", lastTarget(l), l.Timeout)
	case l.Reason == steering.ReasonTargetLost:
		return fmt.Sprintf("outcome unknown: %s broke off with the request in its hands", lastTarget(l))
	case l.Reason == steering.ReasonResponseMismatched, l.Reason == steering.ReasonResponseMalformed:
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
