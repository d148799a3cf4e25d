package placement_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/steering"
	"heatherlock/steering/placement"
)

// loadRoute is a route of a runLoad.
type loadRoute struct {
	name              string
	run, aim, timeout time.Duration
	rank              int
	perSecond         float64
	onTime, late, no  int
}

// runJob is a request or one of its runs at a target.
type runJob struct {
	route    *loadRoute
	vm       *placement.Balancer
	key      string
	received time.Time
	returns  time.Time // after a refusal
	hedgeAt  time.Time
	tried    []steering.Target
	answered bool
}

type runAt struct {
	*runJob
	pick placement.Pick
	sent time.Time
	left time.Duration // of the run, at usual speed
}

// runTarget is a target with a queue, an LRU list of warm keys, and slow phases.
type runTarget struct {
	placement.Target
	running, waiting []*runAt
	warm             []string
	slowdown         float64
}

// runLoad serves routes on one service in virtual time.
type runLoad struct {
	routes   []*loadRoute
	byRoute  bool // tells the entry VMs routes and slowdowns
	shared   bool // targets have slow phases: 2.5 times slower for 15 % of the time, 600 ms each
	targets  []*runTarget
	declared []placement.Target
	vms      []*placement.Balancer
	random   *rand.Rand
	now      time.Time
	open     []*runJob // waiting to return, or for their hedge
	requests int
	hedges   int
}

func newRunLoad(byRoute, shared bool, routes ...*loadRoute) *runLoad {
	l := &runLoad{byRoute: byRoute, shared: shared, routes: routes, random: rand.New(rand.NewPCG(3, 4)), now: start}
	var all []placement.Target
	for _, t := range targets(24, "centro") {
		l.targets = append(l.targets, &runTarget{Target: t, slowdown: 1})
		all = append(all, t)
	}
	l.declared = all
	l.startVMs()
	return l
}

// startVMs replaces all entry VMs by new ones without any state.
func (l *runLoad) startVMs() {
	l.vms = nil
	for i := range 3 {
		l.vms = append(l.vms, newBalancer(steering.VM(fmt.Sprint("vm-", i)), l.declared...))
	}
}

func (l *runLoad) run(d time.Duration) {
	for end := l.now.Add(d); l.now.Before(end); l.now = l.now.Add(tick) {
		for _, t := range l.targets {
			l.advance(t)
		}
		for _, r := range l.routes {
			if l.random.Float64() < r.perSecond*tick.Seconds() {
				l.requests++
				l.place(&runJob{route: r, vm: l.vms[l.random.IntN(len(l.vms))], key: fmt.Sprint(r.name, l.random.IntN(100)), received: l.now})
			}
		}
		l.open = slices.DeleteFunc(l.open, l.due)
	}
}

// due sends what is due for a request, and reports whether it is done.
func (l *runLoad) due(j *runJob) bool {
	switch {
	case j.answered:
		return true
	case !j.returns.IsZero() && !l.now.Before(j.returns):
		l.place(j)
		return true
	case !j.hedgeAt.IsZero() && !l.now.Before(j.hedgeAt):
		if l.hedges*5 < l.requests && l.place(j) {
			l.hedges++
		}
		return true
	}
	return l.now.Sub(j.received) > j.route.timeout
}

// place places a request or its hedge, and reports whether it did.
func (l *runLoad) place(j *runJob) bool {
	used := l.now.Sub(j.received)
	r := placement.Request{Service: service, Key: j.key, ID: fmt.Sprint(l.requests), Region: "centro", MaxQueue: placement.NoQueueBound, Aim: max(j.route.aim-used, time.Millisecond),
		TimeLeft: j.route.timeout - used, Rank: j.route.rank, Retryable: true, Tried: j.tried}
	if l.byRoute {
		r.Workspace, r.Route, r.RouteAim, r.RouteRank = true, j.route.name, j.route.aim, j.route.rank
	}
	pick, refusal := j.vm.Choose(l.now, r)
	switch {
	case refusal == nil:
	case len(j.tried) > 0:
		return false
	case j.returns.IsZero() && refusal.RetryAfter < r.TimeLeft/3:
		j.returns = l.now.Add(refusal.RetryAfter)
		l.open = append(l.open, j)
		return false
	default:
		j.route.no++
		return false
	}
	j.vm.RequestPlaced(l.now, pick.Target, j.key, pick.Trial)
	if len(j.tried) == 0 {
		j.hedgeAt = l.now.Add(max(time.Duration(2.5*float64(pick.Expected)), pick.Expected+150*time.Millisecond))
		if pick.HedgeAfter > 0 {
			j.hedgeAt = l.now.Add(pick.HedgeAfter)
		}
		j.returns = time.Time{}
		l.open = append(l.open, j)
	}
	j.tried = append(j.tried, pick.Target.Name)
	i := slices.IndexFunc(l.targets, func(t *runTarget) bool { return t.Name == pick.Target.Name })
	l.targets[i].waiting = append(l.targets[i].waiting, &runAt{runJob: j, pick: pick, sent: l.now})
	return true
}

// advance runs a target for one tick.
func (l *runLoad) advance(t *runTarget) {
	if l.shared {
		change := 0.15 / 0.85 // of the rate at which slow phases end
		if t.slowdown > 1 {
			change = 1
		}
		if l.random.Float64() < change*tick.Seconds()/0.6 {
			t.slowdown = 3.5 - t.slowdown
		}
	}
	t.running = slices.DeleteFunc(t.running, func(j *runAt) bool {
		j.left -= time.Duration(float64(tick) / t.slowdown)
		if j.left <= 0 {
			l.end(t, j)
		}
		return j.left <= 0
	})
	for len(t.running) < t.Slots && len(t.waiting) > 0 {
		j := t.waiting[0]
		t.waiting = t.waiting[1:]
		j.left = l.runOf(t, j)
		t.running = append(t.running, j)
	}
}

// runOf returns the time of a run: three in a hundred take seven times as long, cold ones 3.3 times.
func (l *runLoad) runOf(t *runTarget, j *runAt) time.Duration {
	run := float64(j.route.run) * (0.85 + 0.3*l.random.Float64())
	if l.random.Float64() < 0.03 {
		run *= 7
	}
	if i := slices.Index(t.warm, j.key); i >= 0 {
		t.warm = slices.Delete(t.warm, i, i+1)
	} else {
		run *= 3.3
	}

	t.warm = append(t.warm, j.key)
	t.warm = t.warm[max(0, len(t.warm)-30):]
	return time.Duration(run)
}

func (l *runLoad) end(t *runTarget, j *runAt) {
	report := placement.Report{Outcome: placement.Served, Latency: l.now.Sub(j.sent), LoadKnown: true, Running: len(t.running) - 1, Waiting: len(t.waiting)}
	if l.byRoute {
		report.Route, report.Key = j.route.name, j.key
		if l.shared {
			report.Slowdown = t.slowdown
		}
	}
	j.vm.RequestEnded(l.now, j.pick.Target, report, j.pick.Trial, j.pick.Wait > 0)
	if took := l.now.Sub(j.received); !j.answered {
		j.answered = true
		switch {
		case took <= j.route.aim:
			j.route.onTime++
		case took <= j.route.timeout:
			j.route.late++
		default:
			j.route.no++
		}
	}
}

func (l *runLoad) reset() {
	l.requests, l.hedges = 0, 0
	for _, r := range l.routes {
		r.onTime, r.late, r.no = 0, 0, 0
	}
}

func (r *loadRoute) share() float64 {
	return float64(r.onTime) / float64(r.onTime+r.late+r.no)
}

// clips are two routes as measured on a mixed service, at a load of its targets' slots.
func clips(load float64) []*loadRoute {
	perSecond := load * 24 * 4 / (0.25*0.27 + 0.75*0.82) / 1.18 // the tail adds 18 %
	return []*loadRoute{
		{name: "urgent", run: 270 * time.Millisecond, aim: 500 * time.Millisecond, timeout: 1500 * time.Millisecond, perSecond: 0.25 * perSecond},
		{name: "long", run: 820 * time.Millisecond, aim: 4 * time.Second, timeout: 8 * time.Second, rank: 2, perSecond: 0.75 * perSecond}}
}

// transfers is a route as measured on targets that share machines.
func transfers(load float64) []*loadRoute {
	perSecond := load * 24 * 4 / 0.55 / 1.18 / 1.2 // slow phases add 20 %
	return []*loadRoute{{name: "transfer", run: 550 * time.Millisecond, aim: 1500 * time.Millisecond, timeout: 2500 * time.Millisecond, perSecond: perSecond}}
}

// onTime returns the shares of requests on time by route, averaged over some runs of 40 s.
func onTime(byRoute, shared bool, routes func() []*loadRoute) map[string]float64 {
	const seeds = 6
	shares := make(map[string]float64)
	for seed := range seeds {
		l := newRunLoad(byRoute, shared, routes()...)
		l.random = rand.New(rand.NewPCG(uint64(seed), 4))
		l.run(20 * time.Second)
		l.reset()
		l.run(40 * time.Second)
		for _, r := range l.routes {
			shares[r.name] += r.share() / seeds
		}
	}
	return shares
}

// Guards against run times by route that serve callers worse than one mean per service does. On
// targets that share machines, hedges by the run times bring more responses on time. Where a short and a
// long route compete, the long one gains; the short one is bound by what waits at the targets.
func TestCallersGainFromRunTimesByRoute(t *testing.T) {
	for _, c := range []struct {
		shared bool
		routes func() []*loadRoute
		gains  map[string]float64
	}{
		{true, func() []*loadRoute { return transfers(0.6) }, map[string]float64{"transfer": 0.01}},
		{false, func() []*loadRoute { return clips(0.85) }, map[string]float64{"urgent": -0.02, "long": 0.01}},
	} {
		before, after := onTime(false, c.shared, c.routes), onTime(true, c.shared, c.routes)
		for route, gain := range c.gains {
			t.Logf("%s: %.3f on time, %.3f with run times by route", route, before[route], after[route])
			assert.Assert(t, after[route] >= before[route]+gain, "%s: %.3f before, %.3f after", route, before[route], after[route])
		}
	}
}

// Guards against callers who lose responses for long after the loss of all entry VMs: the new ones have
// no samples, and those that lose their peers' reports as well learn from their own.
func TestRunTimesAfterTheLossOfAllVMs(t *testing.T) {
	l := newRunLoad(true, true, transfers(0.4)...)
	l.run(30 * time.Second)
	l.startVMs()
	l.run(2 * time.Second)
	l.reset()
	l.run(10 * time.Second)
	assert.Assert(t, l.routes[0].share() > 0.88, "%.3f on time", l.routes[0].share())
}

// sharedBalancer returns a balancer whose targets report slowdowns, and that has seen warm runs of 400 to
// 600 ms on the route "pay"; slowed targets report 2.5 since then.
func sharedBalancer(all []placement.Target, slowed ...placement.Target) *placement.Balancer {
	b := newBalancer("vm", all...)
	report := placement.Report{Outcome: placement.Served, LoadKnown: true, Slowdown: 1, Route: "pay"}
	for i := range 100 {
		t := all[i%len(all)]
		report.Latency = time.Duration(400+i*37%201) * time.Millisecond
		b.RequestPlaced(start, t, "", false)
		b.RequestEnded(start, t, report, false, false)
	}
	for _, t := range slowed {
		b.RequestPlaced(start, t, "", false)
		b.RequestEnded(start, t, placement.Report{Outcome: placement.Shed, LoadKnown: true, Running: 4, Waiting: 4, Slowdown: 2.5}, false, false)
		b.RequestPlaced(start, t, "", false)
		b.RequestEnded(start, t, placement.Report{Outcome: placement.Abandoned, LoadKnown: true, Slowdown: 2.5}, false, false)
	}
	return b
}

// Guards against a request that must not be repeated being lost at its timeout, since it was started at
// a target that is too slow now, and against refusing it when all targets are too slow for its timeout.
func TestRequestThatRunsOnceIsNotStartedWhereItCannotEnd(t *testing.T) {
	all := targets(3, "centro")
	ask := func(b *placement.Balancer, timeLeft time.Duration, retryable bool) (placement.Pick, *placement.Refusal) {
		r := request("k")
		r.Route, r.TimeLeft, r.Retryable, r.Aim = "pay", timeLeft, retryable, 2*time.Second
		return b.Choose(start, r)
	}
	pick, refusal := ask(sharedBalancer(all), 700*time.Millisecond, false)
	assert.Assert(t, refusal == nil)
	assert.Assert(t, pick.WarmRunTime > 450*time.Millisecond && pick.WarmRunTime < 550*time.Millisecond, "%v", pick.WarmRunTime)
	slow := sharedBalancer(all, all...)
	_, refusal = ask(slow, 700*time.Millisecond, false)
	assert.Assert(t, refusal != nil && refusal.TooSlow && refusal.RetryAfter >= 400*time.Millisecond, "%+v", refusal)
	_, refusal = ask(slow, 2*time.Second, false)
	assert.Assert(t, refusal == nil)
	_, refusal = ask(sharedBalancer(all), 550*time.Millisecond, false) // the 90th percentile fits nowhere
	assert.Assert(t, refusal == nil)
}

// Guards against decisions that change for services on which run times are not predicted, or while no
// sample is known.
func TestDecisionsWithoutSamplesAreThoseOfTheService(t *testing.T) {
	plain, mixed := newBalancer("vm", targets(8, "centro")...), newBalancer("vm", targets(8, "centro")...)
	for i := range 400 {
		now := start.Add(time.Duration(i) * 20 * time.Millisecond)
		r := request(fmt.Sprint(i % 20))
		want, wantRefusal := plain.Choose(now, r)
		r.Workspace, r.Route, r.RouteAim, r.RouteRank, r.MaxQueue = true, fmt.Sprint("route-", i%2), r.Aim, i%2, placement.NoQueueBound
		got, gotRefusal := mixed.Choose(now, r)
		assert.DeepEqual(t, got, want)
		assert.DeepEqual(t, gotRefusal, wantRefusal)
		for _, b := range []*placement.Balancer{plain, mixed} {
			b.RequestPlaced(now, want.Target, r.Key, false)
		}
		if i%3 == 0 {
			for _, b := range []*placement.Balancer{plain, mixed} {
				b.RequestEnded(now, want.Target, placement.Report{Outcome: placement.Abandoned}, false, false)
			}
		}
	}
	assert.Assert(t, mixed.Mixed(service) && mixed.RunTimesInUse(start.Add(8 * time.Second))[service])
}
