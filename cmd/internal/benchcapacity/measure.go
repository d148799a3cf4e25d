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

// Row is the result for one fleet size. Values are per entry VM unless the field says otherwise.
type Row struct {
	Size
	// BytesPerSecond is the number of bytes received and sent inside TCP connections.
	BytesPerSecond float64 `json:"bytesPerSecond"`
	// PayloadPerSecond is the part of BytesPerSecond that encoded messages take, by method.
	PayloadPerSecond map[string]float64 `json:"payloadPerSecond"`
	CallsPerSecond   float64            `json:"callsPerSecond"` // made and served
	CPUPercent       float64            `json:"cpuPercent"`     // share of one core
	MemoryBytes      float64            `json:"memoryBytes"`    // heap and stacks
	// KnowAll is the share of ordered pairs of members in which the first considers the second
	// live.
	KnowAll float64 `json:"knowAll"`
	// The following three fields cover the configuration changes: bytes per change, and the
	// maximum and the list of times until a change is in force everywhere.
	ChangeBytes       float64   `json:"changeBytes"`
	ChangeSecondsMax  float64   `json:"changeSecondsMax"`
	ChangeSecondsList []float64 `json:"changeSeconds"`
	// The platform fields are calls per second of the whole fleet, by operation, in total and at
	// peak.
	PlatformPerSecond map[string]float64 `json:"platformPerSecond"`
	PlatformTotal     float64            `json:"platformTotalPerSecond"`
	PlatformPeak      Peaks              `json:"platformPeakPerSecond"`
}

// Peaks are the maximum numbers of calls that the platform received in one second of each phase.
type Peaks struct {
	Start  int64 `json:"start"`
	Steady int64 `json:"steady"`
	Outage int64 `json:"outage"`
	After  int64 `json:"after"`
}

// sample is a reading of all counters at one time.
type sample struct {
	at      time.Time
	payload [methodCount]int64
	bytes   int64
	calls   int64
	cpu     time.Duration
	counts  standin.Counts
}

func (r *rig) sample() sample {
	s := sample{at: time.Now(), bytes: r.bytes.Load(), calls: r.calls.Load(), cpu: cpuTime(), counts: r.store.Counts()}
	for i := range s.payload {
		s.payload[i] = r.payload[i].Load()
	}
	return s
}

// cpuTime returns the user and system CPU time of this process, or 0 if it is unavailable.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func memoryInUse() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// measure starts a fleet of the given size and measures all phases: start, steady state,
// configuration changes and a platform outage.
func measure(ctx context.Context, size Size, o Options) (Row, error) {
	row := Row{Size: size, PlatformPerSecond: map[string]float64{}, PayloadPerSecond: map[string]float64{}}
	empty := memoryInUse()
	startedAt := time.Now()
	r, err := newRig(ctx, size, o.Plain)
	defer r.stop()
	if err != nil {
		return row, err
	}
	if err := sleep(ctx, o.Warm); err != nil {
		return row, err
	}
	row.PlatformPeak.Start = r.peakCalls(startedAt, time.Now())
	if err := r.measureSteady(ctx, &row, o.Steady); err != nil {
		return row, err
	}
	row.MemoryBytes = (memoryInUse() - empty) / float64(size.Nodes)
	row.KnowAll = r.knownShare()
	if err := r.measureChanges(ctx, &row, o.Changes); err != nil {
		return row, err
	}
	return row, r.measureOutage(ctx, &row, o)
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// measureSteady measures the fleet while its configuration and membership do not change.
func (r *rig) measureSteady(ctx context.Context, row *Row, d time.Duration) error {
	before := r.sample()
	if err := sleep(ctx, d); err != nil {
		return err
	}
	after := r.sample()
	seconds := after.at.Sub(before.at).Seconds()
	perNode := seconds * float64(row.Nodes)
	const endsPerCall = 2 // counters count each call only at the server
	row.BytesPerSecond = endsPerCall * float64(after.bytes-before.bytes) / perNode
	row.CallsPerSecond = endsPerCall * float64(after.calls-before.calls) / perNode
	row.CPUPercent = 100 * (after.cpu - before.cpu).Seconds() / perNode
	for i, name := range methodNames {
		row.PayloadPerSecond[name] = endsPerCall * float64(after.payload[i]-before.payload[i]) / perNode
	}
	for _, op := range objects.Ops {
		row.PlatformPerSecond[op] = float64(after.counts.ByOp[op]-before.counts.ByOp[op]) / seconds
	}
	row.PlatformTotal = float64(after.counts.Total-before.counts.Total) / seconds
	row.PlatformPeak.Steady = r.peakCalls(before.at, after.at)
	return nil
}

// peakCalls returns the maximum number of platform calls in one calendar second between from and
// to. The second that contains from counts as a whole.
func (r *rig) peakCalls(from, to time.Time) int64 {
	var highest int64
	for _, s := range r.store.Seconds() {
		if !s.At.Before(from.Truncate(time.Second)) && s.At.Before(to) {
			highest = max(highest, s.Total)
		}
	}
	return highest
}

// knownShare returns the share of ordered pairs of members in which the first considers the second
// live. It exceeds 1 if members that are not part of this fleet joined, which plain TCP does not
// prevent.
func (r *rig) knownShare() float64 {
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

// changeTimeout is the time after which the benchmark fails if a change is not in force everywhere.
const changeTimeout = 30 * time.Second

// measureChanges makes n configuration changes one after another and measures the time until each
// is in force on every entry VM. The bytes per change exclude the steady-state traffic.
func (r *rig) measureChanges(ctx context.Context, row *Row, n int) error {
	if n == 0 {
		return nil
	}
	api := r.store.As("operator", "elsewhere")
	before := r.sample()
	for i := range n {
		seconds, err := r.measureChange(ctx, api, i)
		if err != nil {
			return err
		}
		row.ChangeSecondsList = append(row.ChangeSecondsList, seconds)
	}
	after := r.sample()
	row.ChangeSecondsMax = slices.Max(row.ChangeSecondsList)
	idle := row.BytesPerSecond * after.at.Sub(before.at).Seconds()
	const endsPerCall = 2
	row.ChangeBytes = (endsPerCall*float64(after.bytes-before.bytes)/float64(row.Nodes) - idle) / float64(n)
	return nil
}

// firstTimeoutMs is the service timeout in milliseconds that the first change sets. It differs from
// the initial 2000 ms, so that the first change is a change.
const firstTimeoutMs = 2001

// changedSpec returns the service spec after the change with the given number, counted from 0.
// Each spec differs from the previous one, so that each update is a change.
func changedSpec(number int) (json.RawMessage, error) {
	return json.Marshal(struct {
		Hosts     []string `json:"hosts"`
		TimeoutMs int      `json:"timeoutMs"`
	}{[]string{"s0.example"}, firstTimeoutMs + number})
}

// measureChange makes one configuration change and returns the time in seconds until it is in force
// on every entry VM.
func (r *rig) measureChange(ctx context.Context, api objects.API, number int) (float64, error) {
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
	startedAt := time.Now()
	changed, err := api.Update(ctx, "Service", "service-0", old.Version, raw)
	if err != nil {
		return 0, err
	}
	for !r.inForce(changed.Version) {
		if time.Since(startedAt) > changeTimeout {
			return 0, errors.Errorf("benchcapacity: version %d is not in force everywhere after %s", changed.Version, changeTimeout)
		}
		if err := sleep(ctx, 10*time.Millisecond); err != nil {
			return 0, err
		}
	}
	return time.Since(startedAt).Seconds(), nil
}

func (r *rig) inForce(version int64) bool {
	for _, v := range r.vms {
		if v.configs.Version() < version {
			return false
		}
	}
	return true
}

// measureOutage makes the platform unavailable for a time and records the peak call rates during
// and after the outage.
func (r *rig) measureOutage(ctx context.Context, row *Row, o Options) error {
	startedAt := time.Now()
	r.store.Down(true)
	if err := sleep(ctx, o.Outage); err != nil {
		return err
	}
	ended := time.Now()
	r.store.Down(false)
	if err := sleep(ctx, o.After); err != nil {
		return err
	}
	row.PlatformPeak.Outage = r.peakCalls(startedAt, ended)
	row.PlatformPeak.After = r.peakCalls(ended, time.Now())
	return nil
}
