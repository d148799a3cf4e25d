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
	// longestLine is the longest line of a log that is read.
	longestLine = 1 << 20
	// mostCells bounds the sums that are kept: about 100 MB.
	mostCells = 200_000
)

// cell is what sums are kept by.
type cell struct {
	window time.Time
	zone   steering.Zone
	kind   losses.Kind
}

// line is the line of sums of an entry VM's log.
type line struct {
	At      time.Time     `json:"ts"`
	Msg     string        `json:"msg"`
	Zone    steering.Zone `json:"zone"`
	Sums    []losses.Sum  `json:"sums"`
	Bytes   volume.Sums   `json:"bytes"`
	Dropped int           `json:"dropped_lines"`
}

// reading is what was read of logs.
type reading struct {
	window time.Duration
	cells  map[cell]*losses.Sum
	// lines counts those with sums, and dropped those that entry VMs left out to keep
	// the log within its rate.
	lines   int
	dropped int
	// bytes are those exchanged, by what for.
	bytes volume.Sums
}

func newReading(window time.Duration) *reading {
	return &reading{window: window, cells: make(map[cell]*losses.Sum), bytes: make(volume.Sums)}
}

// files reads logs, "-" for standard input.
func (r *reading) files(names []string, in io.Reader, progress func(done int)) error {
	for n, name := range names {
		if err := r.file(name, in); err != nil {
			return err
		}
		progress(n + 1)
	}
	if r.lines == 0 {
		return command.Failf(command.Refused, "give logs of entry VMs on the users' platform that served requests", "no line with sums of requests in %d files", len(names))
	}
	return nil
}

func (r *reading) file(name string, in io.Reader) error {
	if name == "-" {
		return r.read(in, "standard input")
	}
	f, err := os.Open(name)
	if err != nil {
		return command.Failf(command.Usage, "give files that exist and may be read with --log", "%v", err)
	}
	defer f.Close() // it is only read
	return r.read(f, name)
}

// Each line of sums has one of these marks, and few others have: most need no decoding.
var (
	marker      = []byte(`"msg":"` + losses.LineMessage + `"`)
	bytesMarker = []byte(`"msg":"` + volume.LineMessage + `"`)
)

// read reads the JSON lines of a log. What stands before the first brace of a line is
// passed over, so that logs gathered with a prefix can be read.
func (r *reading) read(in io.Reader, name string) error {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(make([]byte, 0, 64<<10), longestLine)
	for n := 1; scanner.Scan(); n++ {
		if err := r.take(scanner.Bytes()); err != nil {
			return command.Failf(command.Refused, "give the log as the entry VM wrote it; cut the line out if it was written in part", "%s: line %d: %v", name, n, err)
		}
	}
	if err := scanner.Err(); err != nil {
		return command.Failf(command.Refused, "give the log as the entry VM wrote it, a JSON object a line", "%s: %v", name, err)
	}
	if len(r.cells) > mostCells {
		return command.Failf(command.Usage, "give a longer --window, or fewer logs", "%s: more than %d windows, zones and kinds", name, mostCells)
	}
	return nil
}

func (r *reading) take(raw []byte) error {
	start := bytes.IndexByte(raw, '{')
	sums := bytes.Contains(raw, marker)
	if start < 0 || !sums && !bytes.Contains(raw, bytesMarker) && !bytes.Contains(raw, []byte("dropped_lines")) {
		return nil
	}
	var l line
	if err := json.Unmarshal(raw[start:], &l); err != nil {
		return fmt.Errorf("sums that cannot be read: %w", err)
	}
	r.dropped += l.Dropped
	for purpose, s := range l.Bytes {
		sum := r.bytes[purpose]
		sum.Add(s)
		r.bytes[purpose] = sum
	}
	if !sums {
		return nil
	}
	r.lines++
	for _, s := range l.Sums {
		r.add(cell{l.At.UTC().Truncate(r.window), l.Zone, s.Kind}, s)
	}
	return nil
}

func (r *reading) add(c cell, s losses.Sum) {
	if known := r.cells[c]; known != nil {
		known.Merge(s)
		return
	}
	sum := losses.Sum{Kind: s.Kind}
	sum.Merge(s)
	r.cells[c] = &sum
}
