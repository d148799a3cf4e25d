package placement

import (
	"slices"
	"time"

	"heatherlock/steering"
	"heatherlock/steering/rendezvous"
)

// Readmit undoes the ejections since a time from which on this VM's own links were cut. Failures that
// ended them say nothing of the targets.
func (b *Balancer) Readmit(since time.Time) {
	for _, v := range b.services {
		for s := range v.ejected {
			if s.ejectedAt.Before(since) {
				continue
			}
			s.setEjected(false)
			s.failureRate, s.consecutiveBreaks, s.ejectionTime = 0, 0, 0
		}
	}
}

// maxSampleTries bounds how many targets are looked at for each preference.
const maxSampleTries = 64

// SampleTargets returns up to n open targets, one of this VM's zone first and the others of different
// zones where possible. Ejected targets are taken only if there are no others. Another seed gives another
// sample.
func (b *Balancer) SampleTargets(now time.Time, zone steering.Zone, n int, seed uint64) []Target {
	names := make([]steering.Service, 0, len(b.services))
	for name, v := range b.services {
		if len(v.targets) > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	if len(names) == 0 {
		return nil
	}
	d := sampler{b: b, now: now, names: names, state: rendezvous.Mix(seed ^ rendezvous.Hash(string(b.vm))), zones: make(map[steering.Zone]bool)}
	d.draw(n, func(s *targetState) bool { return !s.ejected && s.Zone == zone }, 1)
	d.draw(n, func(s *targetState) bool { return !s.ejected && !d.zones[s.Zone] }, n)
	d.draw(n, func(s *targetState) bool { return !s.ejected }, n)
	d.draw(n, func(s *targetState) bool { return true }, n)
	return d.sample
}

// sampler draws targets at random.
type sampler struct {
	b      *Balancer
	now    time.Time
	names  []steering.Service
	state  uint64
	sample []Target
	zones  map[steering.Zone]bool
}

// draw adds up to count targets that accept holds for, as long as there are fewer than n.
func (d *sampler) draw(n int, accept func(*targetState) bool, count int) {
	for range maxSampleTries {
		if count == 0 || len(d.sample) >= n {
			return
		}
		s := d.next()
		taken := slices.ContainsFunc(d.sample, func(t Target) bool { return t.Name == s.Name })
		if taken || s.Closed || s.cold(d.now) || d.b.unreachable[s.Zone] || !accept(s) {
			continue
		}
		d.sample, d.zones[s.Zone] = append(d.sample, s.Target), true
		count--
	}
}

func (d *sampler) next() *targetState {
	d.state = rendezvous.Mix(d.state + 1)
	targets := d.b.services[d.names[d.state%uint64(len(d.names))]].targets
	return targets[(d.state>>32)%uint64(len(targets))]
}
