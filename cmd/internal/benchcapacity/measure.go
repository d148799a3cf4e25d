package benchcapacity

import (
	"context"
	"encoding/json"
	"runtime"
	"slices"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"heatherlock/objects"
	standin "heatherlock/standin/platform"
)

// Row is what one fleet size showed. Figures are per entry VM unless said
// otherwise.
type Row struct {
	Size
	// BytesPerSecond counts bytes in and out inside TCP connections.
	BytesPerSecond float64 `json:"bytesPerSecond"`
	// PayloadPerSecond is the part of it that is messages, by method.
	PayloadPerSecond map[string]float64 `json:"payloadPerSecond"`
	CallsPerSecond   float64            `json:"callsPerSecond"` // made and answered
	CPUPercent       float64            `json:"cpuPercent"`     // of one core
	MemoryBytes      float64            `json:"memoryBytes"`    // heap and stacks
	// KnowAll is the share of pairs in which the one sees the other as live.
	KnowAll float64 `json:"knowAll"`
	// Change figures are over the changes of configuration.
	ChangeBytes       float64   `json:"changeBytes"`
	ChangeSecondsMax  float64   `json:"changeSecondsMax"`
	ChangeSecondsList []float64 `json:"changeSeconds"`
	// Platform figures are of the whole fleet.
	PlatformPerSecond map[string]float64 `json:"platformPerSecond"`
	PlatformTotal     float64            `json:"platformTotalPerSecond"`
	PlatformPeak      Peaks              `json:"platformPeakPerSecond"`
}

// Peaks are the most calls that the platform got in one second of a phase.
type Peaks struct {
	Start  int64 `json:"start"`
	Steady int64 `json:"steady"`
	Outage int64 `json:"outage"`
	After  int64 `json:"after"`
}

// sample is a reading of every counter.
type sample struct {
	at      time.Time
	payload [methods]int64
	bytes   int64
	calls   int64
	cpu     time.Duration
	counts  standin.Counts
}

func (r *rig) sample() sample {
	s := sample{at: time.Now(), bytes: r.bytes.Load(), calls: r.calls.Load(), cpu: processTime(), counts: r.store.Counts()}
	for i := range s.payload {
		s.payload[i] = r.payload[i].Load()
	}
	return s
}

// processTime is the processor time this process has used.
func processTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func memory() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// measure runs one fleet through its phases.
func measure(ctx context.Context, size Size, o Options) (Row, error) {
	row := Row{Size: size, PlatformPerSecond: map[string]float64{}, PayloadPerSecond: map[string]float64{}}
	empty := memory()
	begun := time.Now()
	r, err := newRig(ctx, size, o.Plain)
	defer r.stop()
	if err != nil {
		return row, err
	}
	if err := wait(ctx, o.Warm); err != nil {
		return row, err
	}
	row.PlatformPeak.Start = r.peak(begun, time.Now())
	if err := r.steady(ctx, &row, o.Steady); err != nil {
		return row, err
	}
	row.MemoryBytes = (memory() - empty) / float64(size.Nodes)
	row.KnowAll = r.knowAll()
	if err := r.changes(ctx, &row, o.Changes); err != nil {
		return row, err
	}
	return row, r.outage(ctx, &row, o)
}

func wait(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// steady measures a fleet that nobody changes.
func (r *rig) steady(ctx context.Context, row *Row, d time.Duration) error {
	before := r.sample()
	if err := wait(ctx, d); err != nil {
		return err
	}
	after := r.sample()
	seconds := after.at.Sub(before.at).Seconds()
	perNode := seconds * float64(row.Nodes)
	const bothEnds = 2 // each exchange is counted where it is served
	row.BytesPerSecond = bothEnds * float64(after.bytes-before.bytes) / perNode
	row.CallsPerSecond = bothEnds * float64(after.calls-before.calls) / perNode
	row.CPUPercent = 100 * (after.cpu - before.cpu).Seconds() / perNode
	for i, name := range methodNames {
		row.PayloadPerSecond[name] = bothEnds * float64(after.payload[i]-before.payload[i]) / perNode
	}
	for _, op := range objects.Ops {
		row.PlatformPerSecond[op] = float64(after.counts.ByOp[op]-before.counts.ByOp[op]) / seconds
	}
	row.PlatformTotal = float64(after.counts.Total-before.counts.Total) / seconds
	row.PlatformPeak.Steady = r.peak(before.at, after.at)
	return nil
}

// peak is the most platform calls in one whole second between two times.
func (r *rig) peak(from, to time.Time) int64 {
	var most int64
	for _, s := range r.store.Seconds() {
		if !s.At.Before(from.Truncate(time.Second)) && s.At.Before(to) {
			most = max(most, s.Total)
		}
	}
	return most
}

// knowAll is the share of pairs of members that see each other as live. It is
// over 1 when strangers got into the views, which plain TCP does not prevent.
func (r *rig) knowAll() float64 {
	live := 0
	for _, v := range r.vms {
		for _, m := range v.members.All() {
			if m.State == 0 && m.Incarnation != "" {
				live++
			}
		}
	}
	return float64(live) / float64(len(r.vms)*len(r.vms))
}

// changeLimit is how long a change may take before the bench gives up.
const changeLimit = 30 * time.Second

// changes makes changes of configuration one after the other and times each
// until it is in force everywhere.
func (r *rig) changes(ctx context.Context, row *Row, n int) error {
	if n == 0 {
		return nil
	}
	api := r.store.As("operator", "elsewhere")
	before := r.sample()
	for i := range n {
		seconds, err := r.change(ctx, api, i)
		if err != nil {
			return err
		}
		row.ChangeSecondsList = append(row.ChangeSecondsList, seconds)
	}
	after := r.sample()
	row.ChangeSecondsMax = slices.Max(row.ChangeSecondsList)
	idle := row.BytesPerSecond * after.at.Sub(before.at).Seconds()
	const bothEnds = 2
	row.ChangeBytes = (bothEnds*float64(after.bytes-before.bytes)/float64(row.Nodes) - idle) / float64(n)
	return nil
}

// firstTimeout is what the first change sets, in ms; the fleet begins with less.
const firstTimeout = 2001

// changedSpec is what a service declares after the change with the given number,
// counted from 0. Each differs from the one before, so that each is a change.
func changedSpec(number int) (json.RawMessage, error) {
	return json.Marshal(struct {
		Hosts     []string `json:"hosts"`
		TimeoutMs int      `json:"timeoutMs"`
	}{[]string{"s0.example"}, firstTimeout + number})
}

// change makes one change of configuration and returns how long it took, in
// seconds, until every entry VM had it in force.
func (r *rig) change(ctx context.Context, api objects.API, number int) (float64, error) {
	old, err := api.Get(ctx, "Service", "service-0")
	if err != nil {
		return 0, err
	}
	var value map[string]json.RawMessage
	if err := json.Unmarshal(old.Value, &value); err != nil {
		return 0, err
	}
	if value["spec"], err = changedSpec(number); err != nil {
		return 0, err
	}
	raw, err := json.Marshal(value)
	if err != nil {
		return 0, err
	}
	begun := time.Now()
	changed, err := api.Update(ctx, "Service", "service-0", old.Version, raw)
	if err != nil {
		return 0, err
	}
	for !r.inForce(changed.Version) {
		if time.Since(begun) > changeLimit {
			return 0, errors.Errorf("benchcapacity: version %d is not in force everywhere after %s", changed.Version, changeLimit)
		}
		if err := wait(ctx, 10*time.Millisecond); err != nil {
			return 0, err
		}
	}
	return time.Since(begun).Seconds(), nil
}

func (r *rig) inForce(version int64) bool {
	for _, v := range r.vms {
		if v.configs.Version() < version {
			return false
		}
	}
	return true
}

// outage takes the platform down and brings it back.
func (r *rig) outage(ctx context.Context, row *Row, o Options) error {
	begun := time.Now()
	r.store.Down(true)
	if err := wait(ctx, o.Outage); err != nil {
		return err
	}
	ended := time.Now()
	r.store.Down(false)
	if err := wait(ctx, o.After); err != nil {
		return err
	}
	row.PlatformPeak.Outage = r.peak(begun, ended)
	row.PlatformPeak.After = r.peak(ended, time.Now())
	return nil
}
