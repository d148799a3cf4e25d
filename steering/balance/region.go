package balance

import (
	"cmp"
	"math"
	"slices"
	"time"

	"heatherlock/steering"
)

const (
	// settleTime is how long a VM collects reports before it changes weights. A VM that has just
	// started or has just become the balancer knows too little of the region.
	settleTime = 3 * time.Second
	// loadDecay is the time in which a report loses two thirds of its weight against later ones. With 3 s,
	// weights followed queues that last a moment.
	loadDecay = 6 * time.Second
	// reportTTL is the age of the last report of a target up to which its load is judged.
	reportTTL = 4 * time.Second
	// riseHold is how long the weight of a target does not rise after it fell. It doubles each time the
	// weight falls again within fallMemory after it rose, up to maxRiseHold: a single key may be what
	// overloads the target, and would otherwise move back and forth.
	riseHold    = 30 * time.Second
	maxRiseHold = 4 * time.Minute
	fallMemory  = 2 * time.Minute
	// levelMargin is the distance from its level, in eighths, at which a weight changes to another
	// level. With half an eighth, weights near the middle of two levels would move keys back and forth.
	levelMargin = 0.75
)

// Report is what a VM reports of the load of a target.
type Report struct {
	Target steering.Target
	// Mean is as in Load.
	Mean      float64
	Responses int
}

// Target is a target of the region with what the balancer knows about it.
type Target struct {
	Name    steering.Target
	Service steering.Service
	Slots   int
	Fixed   bool
}

// Change is a change of the weight of a target.
type Change struct {
	Target      steering.Target
	Service     steering.Service
	From, To    float64
	Load        float64
	Responses   float64
	ReportedAgo time.Duration
}

// Region computes the weights of the targets of one region. It is not safe for concurrent use.
type Region struct {
	since   time.Time // of this VM's work as balancer; zero if it is not the balancer
	last    time.Time // of the last step
	targets map[steering.Target]*targetLoad
	// mayMove is what is saved up for a change of a level that moves more weight than may move in the
	// time of a step, in slots.
	mayMove map[steering.Service]float64
}

// targetLoad is what is known about a target. Its sums lose weight over time.
type targetLoad struct {
	weight    float64 // as NextWeights has it
	level     float64 // in force: a multiple of 1/8
	sum       float64 // of the loads of the responses
	responses float64
	at        time.Time // of the last report
	fellAt    time.Time
	roseAt    time.Time
	hold      time.Duration
}

// NewRegion returns a Region without reports.
func NewRegion() *Region {
	return &Region{targets: make(map[steering.Target]*targetLoad), mayMove: make(map[steering.Service]float64)}
}

// Start makes the VM the balancer, with the weights in force, unless it is already.
func (r *Region) Start(now time.Time, inForce map[steering.Target]float64) {
	if r.Active() {
		return
	}
	r.since, r.last = now, now
	for _, t := range r.targets {
		t.weight, t.level = 1, 1
	}
	for name, weight := range inForce {
		t := r.target(name)
		t.weight, t.level = clampWeight(weight), levelOf(weight, 1)
	}
}

// Stop ends the VM's work as balancer.
func (r *Region) Stop() { r.since = time.Time{} }

// Active reports whether the VM is the balancer.
func (r *Region) Active() bool { return !r.since.IsZero() }

// Since returns when the VM became the balancer.
func (r *Region) Since() time.Time { return r.since }

func (r *Region) target(name steering.Target) *targetLoad {
	t := r.targets[name]
	if t == nil {
		t = &targetLoad{weight: 1, level: 1}
		r.targets[name] = t
	}
	return t
}

// Report adds what a VM reported of a target.
func (r *Region) Report(now time.Time, report Report) {
	if report.Responses <= 0 || math.IsNaN(report.Mean) || report.Mean < 0 {
		return
	}
	t := r.target(report.Target)
	t.decay(now)
	t.sum += report.Mean * float64(report.Responses)
	t.responses += float64(report.Responses)
	t.at = now
}

func (t *targetLoad) decay(now time.Time) {
	if t.at.IsZero() {
		return
	}
	left := math.Exp(-float64(now.Sub(t.at)) / float64(loadDecay))
	t.sum *= left
	t.responses *= left
}

// load returns the load of a target for NextWeights.
func (t *targetLoad) load(now time.Time, of Target) Load {
	l := Load{Slots: of.Slots, Fixed: of.Fixed, Held: now.Sub(t.fellAt) < t.hold}
	if t.responses > 0 && now.Sub(t.at) <= reportTTL {
		l.Mean = t.sum / t.responses
		l.Responses = t.responses * math.Exp(-float64(now.Sub(t.at))/float64(loadDecay))
	}
	return l
}

// Step moves the weights of all targets of the region, and returns the changes. Other targets are
// forgotten.
func (r *Region) Step(now time.Time, targets []Target) []Change {
	elapsed := now.Sub(r.last)
	r.last = now
	listed := make(map[steering.Target]bool, len(targets))
	loads := make(map[steering.Service]map[steering.Target]Load)
	for _, of := range targets {
		listed[of.Name] = true
		if loads[of.Service] == nil {
			loads[of.Service] = make(map[steering.Target]Load)
		}
		loads[of.Service][of.Name] = r.loadOf(now, of)
	}
	for name := range r.targets {
		if !listed[name] {
			delete(r.targets, name)
		}
	}
	if !r.Active() || now.Sub(r.since) < settleTime {
		return nil
	}
	var changes []Change
	for service, of := range loads {
		if r.reported(now, of) {
			changes = append(changes, r.stepService(now, service, of, elapsed)...)
		} else {
			changes = append(changes, r.release(service, of, elapsed)...)
		}
	}
	return changes
}

func (r *Region) loadOf(now time.Time, of Target) Load {
	if t := r.targets[of.Name]; t != nil {
		return t.load(now, of)
	}
	return Load{Slots: of.Slots, Fixed: of.Fixed}
}

// reported reports whether any VM reports on targets of a service.
func (r *Region) reported(now time.Time, of map[steering.Target]Load) bool {
	for name := range of {
		if t := r.targets[name]; t != nil && !t.at.IsZero() && now.Sub(t.at) <= WeightTTL {
			return true
		}
	}
	return false
}

func (r *Region) stepService(now time.Time, service steering.Service, loads map[steering.Target]Load, elapsed time.Duration) []Change {
	current := make(map[steering.Target]float64)
	for name := range loads {
		if t := r.targets[name]; t != nil {
			current[name] = t.weight
		}
	}
	var due []Change
	total := 0.0
	for name, weight := range NextWeights(current, loads, elapsed) {
		t := r.targets[name]
		if t == nil {
			total += float64(loads[name].Slots)
			continue
		}
		t.weight = weight
		total += t.level * float64(loads[name].Slots)
		if level := levelOf(weight, t.level); level != t.level {
			due = append(due, Change{Target: name, Service: service, From: t.level, To: level, Load: loads[name].Mean,
				Responses: loads[name].Responses, ReportedAgo: now.Sub(t.at)})
		}
	}
	return r.takeDue(now, service, due, loads, maxMoved*total*min(elapsed, maxElapsed).Seconds())
}

// takeDue makes the changes of levels that are due, the most loaded targets first, while they move at
// most what may move in the elapsed time. A change that is larger by itself is made once as much time
// has passed as it needs.
func (r *Region) takeDue(now time.Time, service steering.Service, due []Change, loads map[steering.Target]Load, mayMove float64) (made []Change) {
	slices.SortFunc(due, func(a, b Change) int {
		return cmp.Or(cmp.Compare(b.Load, a.Load), cmp.Compare(a.Target, b.Target))
	})
	left := r.mayMove[service] + mayMove
	for _, c := range due {
		moves := math.Abs(c.To-c.From) * float64(loads[c.Target].Slots)
		if moves > left {
			r.mayMove[service] = left // saved up for this change
			return made
		}
		left -= moves
		r.targets[c.Target].noteChange(now, c.To)
		made = append(made, c)
	}
	delete(r.mayMove, service)
	return made
}

// noteChange sets the level, and how long it must not rise after a fall.
func (t *targetLoad) noteChange(now time.Time, level float64) {
	if level > t.level {
		t.roseAt = now
	} else {
		if !t.roseAt.IsZero() && now.Sub(t.roseAt) < fallMemory {
			t.hold = min(2*t.hold, maxRiseHold)
		}
		t.hold, t.fellAt = max(t.hold, riseHold), now
	}
	t.level = level
}

// release raises the weights of a service on which no VM reports any more: its weights are no longer
// in use.
func (r *Region) release(service steering.Service, of map[steering.Target]Load, elapsed time.Duration) []Change {
	var changes []Change
	for name := range of {
		t := r.targets[name]
		if t == nil || t.weight == 1 && t.level == 1 {
			continue
		}
		t.weight = clampWeight(t.weight + MinWeight*elapsed.Seconds()/ageStep.Seconds())
		if level := levelOf(t.weight, t.level); level != t.level {
			changes = append(changes, Change{Target: name, Service: service, From: t.level, To: level})
			t.level = level
		}
	}
	return changes
}

// levelOf returns the level for a weight, given the level in force.
func levelOf(weight, inForce float64) float64 {
	if weight == 1 || weight <= MinWeight {
		return clampWeight(weight)
	}
	if math.Abs(weight-inForce) < levelMargin*MinWeight {
		return inForce
	}
	return clampWeight(math.Round(weight/MinWeight) * MinWeight)
}

// Weights returns the weights below 1.
func (r *Region) Weights() map[steering.Target]float64 {
	weights := make(map[steering.Target]float64)
	for name, t := range r.targets {
		if t.level < 1 {
			weights[name] = t.level
		}
	}
	return weights
}
