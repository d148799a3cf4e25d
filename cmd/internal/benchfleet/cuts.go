package benchfleet

import (
	"fmt"
	"slices"
	"time"

	"heatherlock/node/gateway/fleet"
	"heatherlock/steering"
	"heatherlock/steering/reach"
)

// cutMode is what happens to connections to targets that were open before a cut.
type cutMode string

const (
	cutHangs  cutMode = "hang"
	cutResets cutMode = "reset"
)

// cutCase is a cut of some VMs from all targets.
type cutCase struct {
	name string
	mode cutMode
	cut  func(v *vm, zones []zone) bool
}

// cutCases are the cases played: one VM, a zone but for one VM, a zone, and two zones of different regions.
func (s *sim) cutCases() []cutCase {
	first, last := s.zones[0].name, s.zones[len(s.zones)-1].name
	var all []cutCase
	for _, mode := range []cutMode{cutHangs, cutResets} {
		all = append(all,
			cutCase{"one VM", mode, func(v *vm, _ []zone) bool { return v == s.vms[0] }},
			cutCase{"a zone less one VM", mode, func(v *vm, _ []zone) bool { return v.self.Zone == first && v != s.vms[0] }},
			cutCase{"a zone", mode, func(v *vm, _ []zone) bool { return v.self.Zone == first }},
			cutCase{"two zones", mode, func(v *vm, _ []zone) bool { return v.self.Zone == first || v.self.Zone == last }})
	}
	return all
}

const (
	cutTime = 6 * time.Second
	// cutKnownAfter is how long after the beginning of a cut callers of the VMs must be served.
	cutKnownAfter = 3 * time.Second
	// cutRequests is the time between two requests at a VM that is cut off, and overdueAfter how long a
	// request waits for its response before the links are checked.
	cutRequests  = 100 * time.Millisecond
	overdueAfter = 300 * time.Millisecond
	dialTimeout  = 200 * time.Millisecond
	// helpersFor is how long a choice of helpers is used.
	helpersFor = 200 * time.Millisecond
)

// cutLoad is what one case of a cut did.
type cutLoad struct {
	Case             string
	CutOff           int
	Early, EarlySent int // first attempts served and sent within cutKnownAfter
	Served, Sent     int // and after it
	// KnownSeconds is when the last VM noticed that it is cut off, and ToldSeconds when all VMs of its zone
	// knew; -1 if never.
	KnownSeconds, ToldSeconds float64
	// Hops is how many VMs a request was passed to on average, AddedMillis the time that this added.
	Hops, AddedMillis float64
	// BusiestHelper is the load of the busiest helper for its capacity, as a multiple of that of all VMs that
	// are not cut off.
	BusiestHelper float64
	// Bytes is what a VM sent in heartbeats meanwhile on average, in bytes a second.
	Bytes float64
}

// cutOff is the state of a VM during a cut.
type cutOff struct {
	mode     cutMode
	began    time.Time
	links    reach.Links
	helpers  *reach.Helpers
	chosenAt time.Time
	knownAt  time.Time
}

// playCuts cuts VMs off from all targets while their callers go on.
func (s *sim) playCuts(r *Row) {
	for _, c := range s.cutCases() {
		s.advance(settleTime)
		r.Cuts = append(r.Cuts, s.playCut(c))
	}
}

func (s *sim) playCut(c cutCase) cutLoad {
	p := &cutPlay{sim: s, load: cutLoad{Case: fmt.Sprintf("%s, %s", c.name, c.mode), KnownSeconds: -1, ToldSeconds: -1}, helped: make(map[steering.VM]int)}
	for _, v := range s.vms {
		v.count = counters{}
		if c.cut(v, s.zones) {
			p.cut = append(p.cut, v)
			v.cutOff = &cutOff{mode: c.mode, began: s.now}
			p.request(v, 0)
		}
	}
	p.load.CutOff = len(p.cut)
	began := s.now
	for s.now.Sub(began) < cutTime {
		s.advance(50 * time.Millisecond)
		if p.load.KnownSeconds < 0 && p.allKnow() {
			p.load.KnownSeconds = s.now.Sub(began).Seconds()
		}
		if p.load.ToldSeconds < 0 && p.allTold() {
			p.load.ToldSeconds = s.now.Sub(began).Seconds()
		}
	}
	return p.end()
}

// cutPlay is one case of a cut.
type cutPlay struct {
	*sim
	load   cutLoad
	cut    []*vm
	helped map[steering.VM]int
	added  time.Duration
	passed int
	hops   int
}

func (p *cutPlay) allKnow() bool {
	for _, v := range p.cut {
		if !v.cutOff.links.CutOff() {
			return false
		}
	}
	return true
}

// allTold reports whether each VM of a zone leaves those of it that are cut off out of its directory.
func (p *cutPlay) allTold() bool {
	for _, v := range p.cut {
		for _, other := range p.vms {
			if other.self.Zone == v.self.Zone && other != v && len(other.fleet.WithoutCutOff([]fleet.Member{v.self}, false)) > 0 {
				return false
			}
		}
	}
	return true
}

// request sends the request n of the callers of a VM, and schedules the next one.
func (p *cutPlay) request(v *vm, n int) {
	c := v.cutOff
	if c == nil || p.now.Sub(c.began) >= cutTime {
		return
	}
	p.after(cutRequests, func() { p.request(v, n+1) })
	t := &cutRequest{play: p, vm: v, id: fmt.Sprint(v.self.Name, n), sent: p.now, atMostOnce: n%2 == 1}
	switch {
	case c.links.CutOff():
		t.passOn()
	case c.mode == cutResets:
		if c.links.ConnectFailed(p.now, p.now, "t") {
			p.check(v, 0)
		}
		p.after(time.Millisecond, t.retry)
	default:
		p.after(overdueAfter, func() {
			if c.links.Overdue(p.now, t.sent) {
				p.check(v, 2*dialTimeout)
			}
			t.retry()
		})
	}
}

// check ends a check of the links of a VM after a time.
func (p *cutPlay) check(v *vm, after time.Duration) {
	c := v.cutOff
	p.after(after, func() {
		if c.links.CheckEnded(p.now, 0, reach.SampleSize) {
			c.knownAt = p.now
			v.announce()
		}
	})
}

// cutRequest is a request that arrived at a VM which is cut off.
type cutRequest struct {
	play       *cutPlay
	vm         *vm
	id         string
	sent       time.Time
	atMostOnce bool
	tried      []steering.VM
}

// requestTime is how long callers wait.
const requestTime = 2 * time.Second

// retry passes the request on once the VM knows that it is cut off. One that may have run is not repeated.
func (t *cutRequest) retry() {
	p, c := t.play, t.vm.cutOff
	switch {
	case c == nil:
	case c.mode == cutHangs && t.atMostOnce, p.now.Sub(t.sent) > requestTime:
		t.end(false)
	case c.links.CutOff():
		t.passOn()
	default:
		p.after(50*time.Millisecond, t.retry)
	}
}

// maxHelpers is how many VMs are asked to pass on one request.
const maxHelpers = 3

// passOn passes the request to another VM, and to the next one if that is cut off as well.
func (t *cutRequest) passOn() {
	p, c := t.play, t.vm.cutOff
	if c == nil {
		return
	}
	if p.now.Sub(c.chosenAt) > helpersFor {
		c.chosenAt = p.now
		chosen := t.vm.chooseHelpers()
		chosen.TakeOver(c.helpers)
		c.helpers = chosen
	}
	helper, found := c.helpers.For(p.now, t.id, func(steering.Region) bool { return true }, t.tried)
	if !found || len(t.tried) >= maxHelpers {
		t.end(false)
		return
	}
	t.tried = append(t.tried, helper.VM)
	p.hops++
	to := p.network.byPeer[helper.Address]
	took := 2 * p.network.delay(t.vm, to)
	if to.cutOff != nil {
		c.helpers.Avoid(p.now, helper.VM)
		p.after(took+dialTimeout, t.passOn)
		return
	}
	p.helped[helper.VM]++
	p.passed++
	p.added += took
	p.after(took, func() { t.end(true) })
}

func (t *cutRequest) end(served bool) {
	l, n := &t.play.load, 0
	if served {
		n = 1
	}
	if t.vm.cutOff == nil {
		return
	}
	if t.sent.Sub(t.vm.cutOff.began) < cutKnownAfter {
		l.EarlySent, l.Early = l.EarlySent+1, l.Early+n
		return
	}
	l.Sent, l.Served = l.Sent+1, l.Served+n
}

func (v *vm) chooseHelpers() *reach.Helpers {
	var all []reach.Helper
	for _, m := range v.fleet.WithoutCutOff(v.fleet.Serving(false), true) {
		all = append(all, reach.Helper{VM: m.Name, Region: m.Region, Address: m.Peer, Capacity: float64(m.Capacity)})
	}
	return reach.NewHelpers(v.self.Name, v.self.Region, all, 0)
}

// end ends the cut and returns what it did.
func (p *cutPlay) end() cutLoad {
	for _, v := range p.vms {
		if v.cutOff != nil {
			v.cutOff = nil
			v.announce()
		}
		p.load.Bytes += float64(v.count.DatagramBytes) / cutTime.Seconds() / float64(len(p.vms))
	}
	busiest, capacity := 0.0, 0.0
	for _, v := range p.vms {
		if slices.Contains(p.cut, v) {
			continue
		}
		capacity += float64(v.self.Capacity)
		busiest = max(busiest, float64(p.helped[v.self.Name])/float64(v.self.Capacity))
	}
	if p.passed > 0 {
		p.load.Hops = float64(p.hops) / float64(p.passed)
		p.load.AddedMillis = p.added.Seconds() * 1000 / float64(p.passed)
		p.load.BusiestHelper = busiest * capacity / float64(p.passed)
	}
	return p.load
}
