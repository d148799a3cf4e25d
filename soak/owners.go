package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// owners are requests of two routes with different latency objectives that share targets, so that the targets have
// owners among the entry VMs, while VMs are stopped shortly after each other and some are killed, stand still or
// start again under their name meanwhile.
var owners = part{name: "owners",
	prepare: func(s *system) error {
		s.addPartRoute("list", "safe", deskService, 4*time.Second, 6*time.Second, 2)
		s.addPartRoute("clear", "unsafe", deskService, 500*time.Millisecond, deskTimeout, 0)
		for n := range deskTargets {
			if err := s.addPartTarget(deskService, n, deskRun, listenPlain); err != nil {
				return err
			}
		}
		return nil
	},
	plan: func(o Options) []step {
		r := o.random(23)
		var plan []step
		for at := 3500 * time.Millisecond; at < o.Length-recoveryPhase; at += time.Duration(3500+r.IntN(3000)) * time.Millisecond {
			plan = append(plan, overlappingStops(r, at, o.Daemons)...)
		}
		return plan
	},
	run: func(s *system, o Options) {
		var all sync.WaitGroup
		r := o.random(500)
		for n, began := 0, time.Now(); o.pause(began, deskInterval); n++ {
			d := s.daemons[r.IntN(len(s.daemons))]
			all.Go(func() { s.askDesk(d, n) })
		}
		all.Wait()
	}}

const (
	deskService  = "desk"
	deskTargets  = 4
	deskRun      = 250 * time.Millisecond
	deskTimeout  = 2500 * time.Millisecond
	deskInterval = 4 * time.Millisecond
)

// overlappingStops tells two entry VMs to stop shortly after each other. One of them may be killed or stand still
// before it has ended.
func overlappingStops(r *rand.Rand, at time.Duration, daemons int) []step {
	first, second := r.IntN(daemons), r.IntN(daemons-1)
	if second >= first {
		second++
	}
	stop := func(at time.Duration, vm int, s syscall.Signal) step {
		return step{at, fmt.Sprintf("%v to vm-%d", s, vm), func(sys *system) { sys.daemons[vm].signal(s) }}
	}
	gap, then := time.Duration(200+r.IntN(2000))*time.Millisecond, time.Duration(500+r.IntN(2500))*time.Millisecond
	steps := []step{stop(at, first, syscall.SIGTERM), stop(at+gap, second, syscall.SIGTERM)}
	switch r.IntN(6) {
	case 0:
		steps = append(steps, stop(at+gap+then, second, syscall.SIGKILL))
	case 1:
		steps = append(steps, stop(at+gap+then, second, syscall.SIGSTOP), stop(at+gap+then+2*time.Second, second, syscall.SIGCONT))
	}
	return steps
}

// askDesk sends a request, and checks that it is not broken off while its target is at work on it.
func (s *system) askDesk(d *daemon, n int) {
	method, path := http.MethodGet, "/list/"
	if n%2 == 0 {
		method, path = http.MethodPost, "/clear/"
	}
	id := fmt.Sprint("desk-", n)
	r, err := http.NewRequest(method, "http://"+d.address(s.ports[0])+path+fmt.Sprint(n%30), strings.NewReader(""))
	if err != nil {
		return
	}
	r.Host = host
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Deadline-Ms", fmt.Sprint((4 * time.Second).Milliseconds()))
	r.Header.Set("Api-Key", apiKeyOf(workspaceNames[2]))
	sent := time.Now()
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(r)
	if err != nil {
		return // the main callers check connections that are cut
	}
	_ = response.Body.Close()
	took := time.Since(sent)
	if response.StatusCode != http.StatusBadGateway || took >= deskTimeout || s.disturbedSince(sent) {
		return
	}
	time.Sleep(100 * time.Millisecond) // a fault may be noted just after its effect
	if !s.disturbedSince(sent) && s.runCount(id) > 0 {
		s.findings.add("request %s to %s was broken off after %v, though its target was at work on it", id, d.name, took)
	}
}

// disturbedSince reports whether an entry VM was killed, paused or resumed, or cut off from all targets, from
// quietPeriod before a time on. Any VM may have had a request for another one.
func (s *system) disturbedSince(at time.Time) bool {
	for _, d := range s.daemons {
		if d.wasInterrupted(at.Add(-quietPeriod)) {
			return true
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, cut := range s.linkCuts {
		if cut.to.IsZero() || cut.to.After(at.Add(-quietPeriod)) {
			return true
		}
	}
	return false
}
