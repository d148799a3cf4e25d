package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"time"
)

const (
	// linkCutKnown is how long after the links of entry VMs to all targets were cut their callers must be
	// served like those of others.
	linkCutKnown = 3 * time.Second
	// linkRecovery is the part at the end of a run in which no cut goes on.
	linkRecovery = 4 * time.Second
	// minServedShare and the tolerated failures say when callers of such VMs are served too rarely.
	minServedShare    = 2.0 / 3
	toleratedFailures = 10
	toleratedOneIn    = 50
)

// linkIP returns the address at which an entry VM finds all targets. The daemons are built to use it.
func linkIP(vm int) string { return fmt.Sprintf("127.2.%d.%d", vm/200, 1+vm%200) }

// linkVariable names it to the daemon.
const linkVariable = "HEATHERLOCK_SOAK_TARGETS_IP"

// linkCut is a time in which entry VMs could not reach any target.
type linkCut struct {
	vms      []int
	from, to time.Time
}

// firstTry is a request of a caller for the endpoints of a cut.
type firstTry struct {
	daemon *daemon
	sent   time.Time
	status int
	served bool
}

// linkFaults cut some entry VMs off from all targets, one to three times in a row. Open connections are
// reset, hang or live on; new ones are refused.
func linkFaults(seed uint64, length time.Duration, daemons int) []step {
	r := rand.New(rand.NewPCG(seed, 13))
	var steps []step
	at := time.Duration(2500+r.IntN(2000)) * time.Millisecond
	for range 1 + r.IntN(3) {
		span := time.Duration(1000+r.IntN(8000)) * time.Millisecond
		mode := []Mode{Reset, Blackhole, Pass}[r.IntN(3)]
		vms := r.Perm(daemons)[:1+r.IntN(daemons-1)]
		if at+span > length-linkRecovery {
			break
		}
		steps = append(steps, step{at, fmt.Sprintf("entry VMs %v reach no target for %v, open connections: %s", vms, span, mode), func(s *system) { s.cutLinks(vms, mode, span) }})
		at += span + time.Duration(300+r.IntN(2000))*time.Millisecond
	}
	return steps
}

func (s *system) cutLinks(vms []int, m Mode, span time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	cut := &linkCut{vms: vms, from: time.Now()}
	s.linkCuts = append(s.linkCuts, cut)
	for _, vm := range vms {
		s.linksCut[vm] = true
	}
	for _, t := range s.allTargets {
		for _, vm := range vms {
			t.proxy.cutLink(vm, m)
		}
	}
	time.AfterFunc(span, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		cut.to = time.Now()
		for _, vm := range vms {
			s.linksCut[vm] = false
		}
		for _, t := range s.allTargets {
			for _, vm := range vms {
				if err := t.proxy.openLink(vm); err != nil {
					s.findings.add("link not restored: %v", err)
				}
			}
		}
	})
}

// checkLinkCuts compares how often first attempts were served at entry VMs that were cut off from all
// targets and at the others. The caller holds s.mu.
func (s *system) checkLinkCuts(l *callLog) {
	for _, cut := range s.linkCuts {
		var all, sent, served, others, othersServed int
		for _, t := range l.tries {
			if t.sent.Before(cut.from.Add(linkCutKnown)) || t.sent.After(cut.to) || t.daemon.signalledWithin(cut.from, cut.to) {
				continue
			}
			if t.status == http.StatusTooManyRequests {
				continue // beyond its workspace's allowance, at any entry VM
			}
			all++
			isCut := slices.ContainsFunc(cut.vms, func(vm int) bool { return s.daemons[vm] == t.daemon })
			switch {
			case isCut && t.served:
				sent, served = sent+1, served+1
			case isCut:
				sent++
			case t.served:
				others, othersServed = others+1, othersServed+1
			default:
				others++
			}
		}
		failed := sent - served
		if others == 0 || failed <= toleratedFailures+all/toleratedOneIn {
			continue
		}
		if float64(served)/float64(sent) < minServedShare*float64(othersServed)/float64(others) {
			s.findings.add("entry VMs %v reached no target and served %d of %d, the others %d of %d", cut.vms, served, sent, othersServed, others)
		}
	}
}

// addLink makes the proxy accept connections of one entry VM at its own address.
func (p *proxy) addLink(vm int, cut bool) error {
	p.mu.Lock()
	p.links[vm] = &link{}
	p.mu.Unlock()
	if cut {
		return nil
	}
	return p.openLink(vm)
}

// cutLink refuses new connections of an entry VM. Its open ones are treated as m says.
func (p *proxy) cutLink(vm int, m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.links[vm]
	l.mode = m
	if l.listener != nil {
		_ = l.listener.Close()
		l.listener = nil
	}
	if m == Reset {
		p.resetWhere(func(of int) bool { return of == vm })
	}
}

// openLink ends a cut. Connections that lost bytes are reset.
func (p *proxy) openLink(vm int) error {
	_, port, err := net.SplitHostPort(p.address())
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.links[vm]
	if p.closed || l.listener != nil {
		return nil
	}
	if l.mode == Blackhole {
		p.resetWhere(func(of int) bool { return of == vm })
	}
	l.mode = Pass
	l.listener, err = p.listen(net.JoinHostPort(linkIP(vm), port))
	if err == nil {
		go p.accept(l.listener, vm)
	}
	return err
}
