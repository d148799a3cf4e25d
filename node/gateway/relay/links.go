package relay

import (
	"context"
	"net"
	"sync"
	"time"

	"heatherlock/node/gateway/upstream"
	"heatherlock/node/gateway/volume"
	"heatherlock/steering"
	"heatherlock/steering/placement"
	"heatherlock/steering/reach"
)

// CutOff reports whether this VM has lost its links to all targets.
func (f *Relay) CutOff() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.links.CutOff()
}

func (f *Relay) linkOpened() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.links.Opened(time.Now())
}

// noteLinks records what an attempt that began at began showed of the links, and returns the outcome that
// its target is to be charged with: none while the links are cut. f.mu must be held.
func (f *Relay) noteLinks(now, began time.Time, target steering.Target, outcome placement.Outcome) placement.Outcome {
	switch outcome {
	case placement.Served, placement.Failed, placement.Shed, placement.Replaced:
		f.links.Answered(now)
	case placement.Unreachable:
		if f.links.ConnectFailed(now, began, target) {
			go f.checkLinks(reach.SampleSize)
		}
	case placement.Broken, placement.Silent, placement.Abandoned:
	}
	if f.links.CutOff() && (outcome == placement.Unreachable || outcome == placement.Broken || outcome == placement.Silent) {
		return placement.Abandoned
	}
	return outcome
}

// linksOverdue records that an attempt which began at began has no response although it is due.
func (f *Relay) linksOverdue(began time.Time) (cutOff, checking bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.links.Overdue(time.Now(), began) {
		go f.checkLinks(1)
	}
	return f.links.CutOff(), f.links.Checking()
}

// checkLinks finds out whether this VM is cut off from all targets, and if so waits until it no longer is.
// It connects to first targets, and to a whole sample if these do not accept.
func (f *Relay) checkLinks(first int) {
	accepted, failed := f.connectSample(first)
	if accepted == 0 && first < reach.SampleSize {
		accepted, failed = f.connectSample(reach.SampleSize)
	}
	now := time.Now()
	f.mu.Lock()
	cutOff := f.links.CheckEnded(now, accepted, failed)
	since := f.links.TroubleSince()
	if cutOff {
		f.cfg.Balancer.Readmit(since)
		f.poisonFilter.linksCut(now, since)
	}
	f.mu.Unlock()
	f.cfg.Metrics.LinksChecked(cutOff)
	if !cutOff {
		return
	}
	_ = f.cfg.Log.Log("msg", "cut off from all targets", "tried", failed, "trouble_ms", now.Sub(since).Milliseconds(), "store_age_ms", f.storeAge().Milliseconds()) // the log writer counts dropped lines
	f.linksChanged()
	f.awaitLinks(now)
}

func (f *Relay) linksChanged() {
	f.holds.roomAnywhere()
	if f.cfg.OnLinksChange != nil {
		f.cfg.OnLinksChange()
	}
}

// awaitLinks returns once this VM reaches targets again.
func (f *Relay) awaitLinks(since time.Time) {
	ticker := time.NewTicker(reach.ProbeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-f.closed:
			return
		case <-ticker.C:
		}
		accepted, _ := f.connectSample(reach.SampleSize)
		now := time.Now()
		f.mu.Lock()
		restored := f.links.ProbeEnded(now, accepted, f.helpers.Any())
		f.mu.Unlock()
		if restored {
			f.cfg.Pool.CloseUnusedSince(since)
			_ = f.cfg.Log.Log("msg", "targets reached again", "cut_off_ms", now.Sub(since).Milliseconds()) // the log writer counts dropped lines
			f.linksChanged()
			return
		}
	}
}

// stalledFactor is how many times dialTimeout a sample may take. If it takes longer this VM stood still, and
// the connections that failed say nothing.
const stalledFactor = 1.5

// connectSample connects to n targets at the same time, and returns how many accepted. The connections are
// kept for later requests.
func (f *Relay) connectSample(n int) (accepted, failed int) {
	began := time.Now()
	f.mu.Lock()
	f.checks++
	sample := f.cfg.Balancer.SampleTargets(time.Now(), f.cfg.Zone, n, f.checks)
	f.mu.Unlock()
	var all sync.WaitGroup
	errs := make([]error, len(sample))
	for i, t := range sample {
		all.Go(func() {
			errs[i] = f.cfg.Pool.Connect(context.Background(), upstream.Call{Target: t.Name, Generation: t.Generation, Address: t.Address, DialTimeout: dialTimeout,
				OnOpen: func(raw net.Conn) net.Conn { return f.metered(raw, volume.Location{Zone: t.Zone, Region: t.Region}) }})
		})
	}
	all.Wait()
	for _, err := range errs {
		if err != nil {
			failed++
		} else {
			accepted++
		}
	}
	if time.Since(began) > time.Duration(stalledFactor*float64(dialTimeout)) {
		failed = 0
	}
	return accepted, failed
}

// withdraw undoes the placement of a request that is not sent.
func (f *Relay) withdraw(p placement.Pick) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cfg.Balancer.NotSent(time.Now(), p.Target, placement.Abandoned, p.Trial)
}
