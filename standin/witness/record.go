package witness

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// End says how an execution ended at its target.
type End uint8

// Ends of an execution.
const (
	EndRunning   End = iota // not ended yet
	EndAnswered             // the target ran it to its end
	EndCancelled            // the sender went away or stopped sending
	EndDeadline             // the deadline passed at the target
	EndCrashed              // the target died with it
	EndCulprit              // the target died of it
)

// Start describes an execution that begins.
type Start struct {
	At      time.Time
	Target  string
	Request string // HeaderRequest
	Try     string // HeaderTry
	Home    string // HeaderHome
}

// Execution is one run of a request at a target.
type Execution struct {
	Start
	Place   string
	Service string
	// Ended is when the run stopped; zero while it runs.
	Ended time.Time
	How   End
	// Bytes and Sum describe the body that the target received.
	Bytes int64
	Sum   string
}

// Foreign reports whether the work came from another place than its home.
func (e *Execution) Foreign() bool { return e.Home != "" && e.Home != e.Place }

type pool struct{ place, service string }

type targetRecord struct {
	pool
	slots   int
	running int
	over    int // most requests over slots at once
}

// poolRecord counts what a place's targets of one service hold together.
type poolRecord struct {
	slots   int
	running int
	peak    int // most running at once
	over    int // most requests over slots at once
	overAt  time.Time
}

// Witness collects reports. Its methods may be called from any goroutine.
type Witness struct {
	mu         sync.Mutex
	targets    map[string]*targetRecord
	pools      map[pool]*poolRecord
	executions []*Execution
	refusedBy  map[string]int // requests refused without running, per target
	callers    callerRecord
	stops      []Stop
	configs    configRecord
	regions    map[string]string // by place
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

// Declare tells the witness a target and the requests it can run at once.
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

// Regions tells the witness which region each place is in.
func (w *Witness) Regions(byPlace map[string]string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.regions = byPlace
}

// Offered records that a request reached a target, whether or not the target
// then refuses it. Counting offers, not runs, shows overload that a target's
// own shedding would hide.
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

// Started records the start of an execution.
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
	if e.How != EndRunning {
		return
	}
	e.Ended, e.How = at, how
	if t, ok := w.targets[e.Target]; ok {
		t.running--
		w.pools[t.pool].running--
	}
}

// Received records the body that an execution's target got.
func (w *Witness) Received(e *Execution, bytes int64, sum string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e.Bytes, e.Sum = bytes, sum
}

// Running returns the executions that have not ended, per target.
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

// PoolUse says how much of a place's slots for a service was used.
type PoolUse struct {
	Place   string `json:"place"`
	Service string `json:"service"`
	Slots   int    `json:"slots"`
	Peak    int    `json:"peak"` // most running at once
}

// Use returns the use of every place and service, ordered by their names.
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

// Executions returns how many executions have started.
func (w *Witness) Executions() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.executions)
}
