package witness

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// End is how an execution ended at its target.
type End uint8

// End values.
const (
	EndRunning     End = iota // still running
	EndAnswered               // completed; the target responds
	EndCancelled              // the sender disconnected or stopped sending the body
	EndDeadline               // the deadline passed
	EndCrashed                // the target stopped or crashed while it ran, not because of it
	EndCausedCrash            // this request crashed the target
)

// Start describes the start of an execution.
type Start struct {
	At      time.Time
	Target  string
	Request string // HeaderRequest
	Try     string // HeaderTry
	Home    string // HeaderHome
}

// Execution is one run of a request on a target.
type Execution struct {
	Start
	Place   string
	Service string
	// Ended is the end time; zero while the execution runs.
	Ended   time.Time
	Outcome End
	// Bytes and Sum are the size and digest of the body that the target received.
	Bytes int64
	Sum   string
}

// Foreign reports whether the execution runs in another place than its home. It is
// false if the home is unknown.
func (e *Execution) Foreign() bool { return e.Home != "" && e.Home != e.Place }

type pool struct{ place, service string }

type targetRecord struct {
	pool
	slots   int
	running int
	over    int // largest number of requests above slots
}

// poolRecord is the common state of the targets of one place and service.
type poolRecord struct {
	slots   int
	running int
	peak    int // largest number of concurrent executions
	over    int // largest number of requests above slots
	// overAt is the time at which over was reached.
	overAt time.Time
}

// Witness collects reports of a run. It is safe for concurrent use.
type Witness struct {
	mu         sync.Mutex
	targets    map[string]*targetRecord
	pools      map[pool]*poolRecord
	executions []*Execution
	refusedBy  map[string]int // requests refused without running, by target
	callers    callerRecord
	stops      []Stop
	configs    configRecord
	regions    map[string]string // region by place
}

// New returns an empty witness.
func New() *Witness {
	return &Witness{
		targets:   map[string]*targetRecord{},
		pools:     map[pool]*poolRecord{},
		refusedBy: map[string]int{},
		callers:   newCallerRecord(),
		configs:   newConfigRecord(),
	}
}

// Declare registers a target and the number of requests that it can run concurrently.
func (w *Witness) Declare(target, place, service string, slots int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := pool{place, service}
	w.targets[target] = &targetRecord{pool: p, slots: slots}
	r, ok := w.pools[p]
	if !ok {
		r = &poolRecord{}
		w.pools[p] = r
	}
	r.slots += slots
}

// Regions sets the region of each place.
func (w *Witness) Regions(byPlace map[string]string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.regions = byPlace
}

// Offered records that a request reached a target, whether or not the target
// refuses it. Counting arrivals and not executions reveals overload that the
// target's load shedding would hide.
func (w *Witness) Offered(target string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t, ok := w.targets[target]
	if !ok {
		return
	}
	t.over = max(t.over, t.running+1-t.slots)
	p := w.pools[t.pool]
	if over := p.running + 1 - p.slots; over > p.over {
		p.over, p.overAt = over, time.Now()
	}
}

// Refused records that a target refused a request without running it.
func (w *Witness) Refused(target string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.refusedBy[target]++
}

// Started records the start of an execution and returns the execution, which later
// reports refer to.
func (w *Witness) Started(s Start) *Execution {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := &Execution{Start: s}
	w.executions = append(w.executions, e)
	if t, ok := w.targets[s.Target]; ok {
		e.Place, e.Service = t.place, t.service
		t.running++
		p := w.pools[t.pool]
		p.running++
		p.peak = max(p.peak, p.running)
	}
	return e
}

// Finished records the end of an execution. Later calls for the same
// execution are ignored.
func (w *Witness) Finished(e *Execution, at time.Time, how End) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if e.Outcome != EndRunning {
		return
	}
	e.Ended, e.Outcome = at, how
	if t, ok := w.targets[e.Target]; ok {
		t.running--
		w.pools[t.pool].running--
	}
}

// Received records the size and digest of the body that the target received.
func (w *Witness) Received(e *Execution, bytes int64, sum string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e.Bytes, e.Sum = bytes, sum
}

// Running returns the number of running executions by target, without idle targets.
func (w *Witness) Running() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	running := map[string]int{}
	for name, t := range w.targets {
		if t.running > 0 {
			running[name] = t.running
		}
	}
	return running
}

// PoolUse is the use of a place's slots for a service.
type PoolUse struct {
	Place   string `json:"place"`
	Service string `json:"service"`
	Slots   int    `json:"slots"`
	Peak    int    `json:"peak"` // largest number of concurrent executions
}

// Use returns the use of every place and service, ordered by service and place.
func (w *Witness) Use() []PoolUse {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []PoolUse
	for p, r := range w.pools {
		all = append(all, PoolUse{Place: p.place, Service: p.service, Slots: r.slots, Peak: r.peak})
	}
	slices.SortFunc(all, func(a, b PoolUse) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Place, b.Place))
	})
	return all
}

// Executions returns the number of executions started so far.
func (w *Witness) Executions() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.executions)
}
