package allowance_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"heatherlock/steering/allowance"
)

const (
	// sameZoneDelay and crossZoneDelay are the ages of the usage data in a heartbeat from the
	// same zone and from another zone.
	sameZoneDelay  = 150 * time.Millisecond
	crossZoneDelay = 500 * time.Millisecond
	// usageTimeConstant is the time constant of the exponential averages in heartbeats.
	usageTimeConstant = time.Second
)

// usageView holds the request rates that VMs publish in heartbeats, as exponential averages over
// usageTimeConstant.
type usageView struct {
	rate map[*simWorkspace][]decayingRate // indexed by VM
}

type decayingRate struct {
	rate      float64
	updatedAt time.Time
}

func (m *decayingRate) add(now time.Time, n float64) {
	m.decay(now)
	m.rate += n / usageTimeConstant.Seconds()
}

func (m *decayingRate) decay(now time.Time) {
	if !m.updatedAt.IsZero() {
		m.rate *= math.Exp(-now.Sub(m.updatedAt).Seconds() / usageTimeConstant.Seconds())
	}
	m.updatedAt = now
}

func (u *usageView) ratesOf(f *fleet, s *simWorkspace) []decayingRate {
	if u.rate == nil {
		u.rate = make(map[*simWorkspace][]decayingRate)
	}
	if u.rate[s] == nil {
		u.rate[s] = make([]decayingRate, len(f.vms))
	}
	return u.rate[s]
}

// reportedByPeers returns the sum of the rates that the other VMs last reported to VM i for a
// workspace. A rate that changed after the last heartbeat is discounted by the age of the
// heartbeat.
func (u *usageView) reportedByPeers(f *fleet, i int, s *simWorkspace) (sum float64) {
	for j := range u.ratesOf(f, s) {
		m := u.rate[s][j]
		if j == i || !f.vms[j].up || f.vms[j].partition != f.vms[i].partition {
			continue
		}
		age := crossZoneDelay
		if f.vms[i].zone == f.vms[j].zone {
			age = sameZoneDelay
		}
		if f.now.Sub(m.updatedAt) < age {
			m.rate *= math.Exp(-(age - f.now.Sub(m.updatedAt)).Seconds() / usageTimeConstant.Seconds())
		} else {
			m.decay(f.now)
		}
		sum += m.rate
	}
	return sum
}

// demandShares is the policy in which each VM has its own bucket, with a part of the limit in
// proportion to its share of the demand in heartbeats.
type demandShares struct {
	demand  usageView
	buckets map[[2]int]*referenceBucket
}

func (w *demandShares) admit(f *fleet, vm int, s *simWorkspace) bool {
	own := &w.demand.ratesOf(f, s)[vm]
	own.add(f.now, 1)
	share := math.Max(own.rate/(own.rate+w.demand.reportedByPeers(f, vm, s)), 1/float64(4*len(f.vms)))
	key := [2]int{vm, int(s.id)}
	if w.buckets[key] == nil {
		w.buckets[key] = &referenceBucket{tokens: 1, updatedAt: f.now}
	}
	return w.buckets[key].admit(f.now, allowance.Limit{Rate: s.limit.Rate * share, Burst: math.Max(1, s.limit.Burst*share)})
}

// usageSums is the policy in which each VM keeps a bucket with the whole limit and charges it
// with the usage that heartbeats report for the other VMs.
type usageSums struct {
	use     usageView
	buckets map[[2]int]*referenceBucket
}

func (w *usageSums) admit(f *fleet, vm int, s *simWorkspace) bool {
	key := [2]int{vm, int(s.id)}
	b := w.buckets[key]
	if b == nil {
		b = &referenceBucket{tokens: s.limit.Burst, updatedAt: f.now}
		w.buckets[key] = b
	}
	b.tokens -= w.use.reportedByPeers(f, vm, s) * f.now.Sub(b.updatedAt).Seconds()
	if !b.admit(f.now, s.limit) {
		return false
	}
	w.use.ratesOf(f, s)[vm].add(f.now, 1)
	return true
}

// BenchmarkAdmissionPolicies compares three policies that enforce an allowance: an owner that
// lends credits, shares that follow the demand, and buckets charged with the usage of all VMs.
func BenchmarkAdmissionPolicies(b *testing.B) {
	for _, size := range []struct {
		vms, workspaces int
		load            float64
	}{{12, 88, 400}, {91, 88, 2000}, {195, 88, 2400}, {195, 2000, 2400}, {650, 88, 8000}, {650, 2000, 8000}} {
		for name, make := range map[string]func() admissionPolicy{
			"owner":  func() admissionPolicy { return nil },
			"shares": func() admissionPolicy { return &demandShares{buckets: map[[2]int]*referenceBucket{}} },
			"sums":   func() admissionPolicy { return &usageSums{buckets: map[[2]int]*referenceBucket{}} },
		} {
			b.Run(fmt.Sprintf("%s/vms=%d/workspaces=%d", name, size.vms, size.workspaces), func(b *testing.B) {
				for range b.N {
					measurePolicy(b, newFleet(5, size.vms, size.workspaces, size.load), make())
				}
			})
		}
	}
}

func measurePolicy(b *testing.B, f *fleet, p admissionPolicy) {
	f.policy = p
	f.runTraffic(8 * time.Second)
	asked, _, belowLimit := f.totals()
	b.ReportMetric(1000*float64(belowLimit)/float64(asked), "refused-below/1000")
	b.ReportMetric(float64(f.bytes)/8/float64(len(f.vms)), "B/s/vm")
	for _, hot := range []int{0, 20} {
		s := f.workspaces[hot]
		s.demand *= 7.5
		before := len(s.runs)
		f.runTraffic(6 * time.Second)
		got := float64(len(s.runs)-before) / (6*s.limit.Rate + s.limit.Burst)
		allowed := (s.limit.Rate*f.slack.Window.Seconds() + s.limit.Burst)
		over := (f.excess(s, s.limit, 0) + allowed*f.slack.Share + f.slack.Requests) / allowed
		b.ReportMetric(over, fmt.Sprintf("over-%d", hot))
		b.ReportMetric(got, fmt.Sprintf("got-%d", hot))
		if f.excess(s, s.limit, 0) > 0 {
			b.ReportMetric(1, fmt.Sprintf("broken-%d", hot))
		}
		s.demand /= 7.5
	}
}
