package poison

import (
	"container/heap"
	"flag"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Parameters of the simulation behind docs/measurements/poison.md: a pool of 12 targets
// with 3 slots each behind 4 entry VMs, at a utilization of about 60 %. Three in ten
// requests read the same page, and the others are unique. Every two seconds a poison
// request arrives, and its caller sends it up to six times. Every ten seconds a target is
// lost for an unrelated reason, and every thirty seconds half of the targets at once.
const (
	simTargets = 12
	simSlots   = 3
	simVMs     = 4
	simRestart = 500 * time.Millisecond
)

var simTime = flag.Duration("sim", time.Minute, "virtual time of the measurement of false positives")

// policy selects the rules of the List that a simulation applies.
type policy struct {
	name   string
	refuse bool // refuse requests after two losses
	trials bool // send suspected requests on trial and hold copies back
	// toOwner is the number of requests out of ten that the pool owner receives; the
	// others go to a random entry VM.
	toOwner int
}

type simRequest struct {
	mark    Fingerprints
	poison  bool
	tries   int
	lost    int // targets lost while running the request
	refused bool
}

type simTry struct {
	*simRequest
	vm      int
	verdict Verdict
}

type simEvent struct {
	at  time.Time
	seq int
	do  func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

type sim struct {
	policy  policy
	random  *rand.Rand
	now     time.Time
	queue   simQueue
	seq     int
	lists   [simVMs]*List
	running [simTargets][]*simTry
	downTo  [simTargets]time.Time

	harmless, affected, falseRefusals, pageRefusals int
	poisonSent, poisonLosses, mostLost              int
}

func (s *sim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, simEvent{s.now.Add(d), s.seq, do})
}

func (s *sim) every(d time.Duration, do func()) {
	s.after(d, func() { do(); s.every(d, do) })
}

func (s *sim) send(r *simRequest) {
	r.tries++
	vm := 0 // the owner of the pool
	if s.random.IntN(10) >= s.policy.toOwner {
		vm = s.random.IntN(simVMs)
	}
	v := s.lists[vm].Check(s.now, r.mark, false)
	if !s.policy.refuse && v.Kind == Refuse || !s.policy.trials && v.Kind != Refuse {
		s.lists[vm].End(s.now, r.mark, v, "", Inconclusive)
		v = Verdict{}
	}
	if v.Kind == Refuse {
		s.refused(r)
		return
	}
	if v.Kind == Wait || v.Kind == Hold {
		r.tries--
		s.after(5*time.Millisecond, func() { s.send(r) })
		return
	}
	s.place(&simTry{r, vm, v})
}

func (s *sim) refused(r *simRequest) {
	if !r.poison && !r.refused {
		s.pageRefusals += btoi(r.mark.Content == 7)
		s.falseRefusals++
	}
	r.refused = true
}

// place runs an attempt on a random target with a free slot, or retries it later if there
// is none.
func (s *sim) place(try *simTry) {
	for _, i := range s.random.Perm(simTargets) {
		avoided := false
		for _, avoid := range try.verdict.Avoid {
			avoided = avoided || avoid == targetOf(i)
		}
		if avoided || s.now.Before(s.downTo[i]) || len(s.running[i]) >= simSlots {
			continue
		}
		s.run(try, i)
		return
	}
	s.lists[try.vm].End(s.now, try.mark, try.verdict, "", Inconclusive)
	s.after(10*time.Millisecond, func() { try.tries--; s.send(try.simRequest) })
}

func (s *sim) run(try *simTry, i int) {
	s.running[i] = append(s.running[i], try)
	if try.verdict.Kind == Trial {
		s.lists[try.vm].SetTrialTarget(try.mark, targetOf(i))
	}
	if try.poison {
		s.after(5*time.Millisecond, func() {
			if slices.Contains(s.running[i], try) {
				s.crash(i)
			}
		})
		return
	}
	s.after(time.Duration(20+s.random.IntN(40))*time.Millisecond, func() {
		if at := slices.Index(s.running[i], try); at >= 0 {
			s.running[i] = slices.Delete(s.running[i], at, at+1)
			s.lists[try.vm].End(s.now, try.mark, try.verdict, targetOf(i), Finished)
			s.push(try.vm)
		}
	})
}

func (s *sim) crash(i int) {
	if s.now.Before(s.downTo[i]) {
		return
	}
	s.downTo[i] = s.now.Add(simRestart)
	for _, try := range s.running[i] {
		s.affected += btoi(!try.poison && try.lost == 0)
		s.poisonLosses += btoi(try.poison)
		try.lost++
		if try.poison {
			s.mostLost = max(s.mostLost, try.lost)
		}
		s.lists[try.vm].End(s.now, try.mark, try.verdict, targetOf(i), TargetLost)
		if try.tries < 6 {
			s.after(time.Duration(50+s.random.IntN(100))*time.Millisecond, func() { s.send(try.simRequest) })
		}
	}
	s.running[i] = nil
	for vm := range s.lists {
		s.push(vm)
	}
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (s *sim) push(from int) {
	facts := s.lists[from].TakeChanged()
	for i, l := range s.lists {
		if i != from && len(facts) > 0 {
			l.MergeFacts(s.now, facts)
		}
	}
}

// arrive sends a request and schedules the next one; the mean time between two requests
// is about 2 ms.
func (s *sim) arrive() {
	s.harmless++
	id := ID(1_000_000 + s.harmless)
	if s.random.IntN(10) < 3 {
		id = 7
	}
	r := &simRequest{mark: Fingerprints{Content: id, BodyComplete: true}}
	s.send(r)
	s.after(time.Duration(s.random.ExpFloat64()*float64(1850*time.Microsecond)), s.arrive)
}

func simulate(p policy) *sim {
	s := &sim{policy: p, random: rand.New(rand.NewPCG(1, 2)), now: start}
	for i := range s.lists {
		s.lists[i] = New(Config{})
	}
	s.after(0, s.arrive)
	s.every(2*time.Second, func() {
		s.poisonSent++
		s.send(&simRequest{mark: Fingerprints{Content: ID(s.poisonSent + 100), BodyComplete: true}, poison: true})
	})
	s.every(10*time.Second, func() { s.crash(s.random.IntN(simTargets)) })
	s.every(30*time.Second, func() {
		for i := range simTargets / 2 {
			s.crash(i)
		}
	})
	for end := start.Add(*simTime); s.now.Before(end); {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.do()
	}
	return s
}

func TestMeasureFalsePositives(t *testing.T) {
	var full *sim
	for _, p := range []policy{
		{name: "no memory"},
		{name: "two losses, at the owner", refuse: true, toOwner: 10},
		{name: "two losses, spread", refuse: true},
		{name: "suspects alone, spread", refuse: true, trials: true},
		{name: "suspects alone, at the owner", refuse: true, trials: true, toOwner: 10},
	} {
		full = simulate(p)
		t.Logf("%-28s poison requests %d, targets lost to each %.2f, most %d; harmless requests %d, running on a lost target %d, refused %d (%.2f %% of these, %d for the page)",
			p.name, full.poisonSent, float64(full.poisonLosses)/float64(full.poisonSent), full.mostLost,
			full.harmless, full.affected, full.falseRefusals, 100*float64(full.falseRefusals)/float64(full.affected), full.pageRefusals)
	}
	assert.Assert(t, full.mostLost <= 2)
	assert.Assert(t, full.falseRefusals*50 <= full.affected, "more than 2 %% of the harmless requests that ran on a lost target are refused")
}
