package losses

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"heatherlock/cmd/internal/command"
	"heatherlock/node/gateway/volume"
	"heatherlock/steering"
	"heatherlock/steering/losses"
)

const (
	// maxLineBytes limits the length of a log line.
	maxLineBytes = 1 << 20
	// maxSums limits the number of sums in memory, which take about 100 MB then. It is
	// checked after each log.
	maxSums = 200_000
)

// sumKey identifies a sum: the start of its window, its zone and its kind of requests.
type sumKey struct {
	window time.Time
	zone   steering.Zone
	kind   losses.Kind
}

// logLine is a line of an entry VM's log. It has only the fields that are summed.
type logLine struct {
	At      time.Time     `json:"ts"`
	Msg     string        `json:"msg"`
	Zone    steering.Zone `json:"zone"`
	Sums    []losses.Sum  `json:"sums"`
	Bytes   volume.Sums   `json:"bytes"`
	Dropped int           `json:"dropped_lines"`
}

// logTotals accumulates the sums of several logs.
type logTotals struct {
	window time.Duration
	sums   map[sumKey]*losses.Sum
	// sumLines counts the lines with sums of requests. droppedLines counts the lines that
	// entry VMs omitted to stay within their log rate.
	sumLines     int
	droppedLines int
	// exchanged holds the bytes that entry VMs exchanged, by purpose.
	exchanged volume.Sums
}

func newLogTotals(window time.Duration) *logTotals {
	return &logTotals{window: window, sums: make(map[sumKey]*losses.Sum), exchanged: make(volume.Sums)}
}

// readFiles reads the named logs. The name "-" stands for in. It calls progress after each
// log, and fails if no line with sums was found.
func (r *logTotals) readFiles(names []string, in io.Reader, progress func(done int)) error {
	for n, name := range names {
		if err := r.readFile(name, in); err != nil {
			return err
		}
		progress(n + 1)
	}
	if r.sumLines == 0 {
		return command.Failf(command.Refused, "give logs of entry VMs on the users' platform that served requests", "no line with sums of requests in %d files", len(names))
	}
	return nil
}

func (r *logTotals) readFile(name string, in io.Reader) error {
	if name == "-" {
		return r.readLog(in, "standard input")
	}
	f, err := os.Open(name)
	if err != nil {
		return command.Failf(command.Usage, "give files that exist and may be read with --log", "%v", err)
	}
	defer f.Close() // opened for reading only, so the error is ignored
	return r.readLog(f, name)
}

// Every line with sums contains one of these markers and few other lines do, so that most
// lines need no decoding.
var (
	sumsMarker  = []byte(`"msg":"` + losses.LogMessage + `"`)
	bytesMarker = []byte(`"msg":"` + volume.LogMessage + `"`)
)

// readLog reads the JSON lines of a log. It skips the text before the first brace of a line,
// so that it accepts logs to which a collector added a prefix.
func (r *logTotals) readLog(in io.Reader, name string) error {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for n := 1; scanner.Scan(); n++ {
		if err := r.addLine(scanner.Bytes()); err != nil {
			return command.Failf(command.Refused, "give the log as the entry VM wrote it; cut the line out if it was written in part", "%s: line %d: %v", name, n, err)
		}
	}
	if err := scanner.Err(); err != nil {
		return command.Failf(command.Refused, "give the log as the entry VM wrote it, a JSON object a line", "%s: %v", name, err)
	}
	if len(r.sums) > maxSums {
		return command.Failf(command.Usage, "give a longer --window, or fewer logs", "%s: more than %d windows, zones and kinds", name, maxSums)
	}
	return nil
}

// addLine adds the counts of a log line: requests, exchanged bytes and omitted lines. It ignores
// other lines.
func (r *logTotals) addLine(raw []byte) error {
	start := bytes.IndexByte(raw, '{')
	hasSums := bytes.Contains(raw, sumsMarker)
	if start < 0 || !hasSums && !bytes.Contains(raw, bytesMarker) && !bytes.Contains(raw, []byte("dropped_lines")) {
		return nil
	}
	var l logLine
	if err := json.Unmarshal(raw[start:], &l); err != nil {
		return fmt.Errorf("sums that cannot be read: %w", err)
	}
	r.droppedLines += l.Dropped
	for purpose, s := range l.Bytes {
		sum := r.exchanged[purpose]
		sum.Add(s)
		r.exchanged[purpose] = sum
	}
	if !hasSums {
		return nil
	}
	r.sumLines++
	for _, s := range l.Sums {
		r.addSum(sumKey{l.At.UTC().Truncate(r.window), l.Zone, s.Kind}, s)
	}
	return nil
}

func (r *logTotals) addSum(key sumKey, s losses.Sum) {
	if existing := r.sums[key]; existing != nil {
		existing.Merge(s)
		return
	}
	sum := losses.Sum{Kind: s.Kind}
	sum.Merge(s)
	r.sums[key] = &sum
}
