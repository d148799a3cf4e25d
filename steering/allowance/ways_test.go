package allowance_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"heatherlock/steering/allowance"
)

const (
	// nearDelay and farDelay are how old a heartbeat's news are within the zone and beyond.
	nearDelay = 150 * time.Millisecond
	farDelay  = 500 * time.Millisecond
	// usageTime is over which time VMs add up what they tell.
	usageTime = time.Second
)

// usage is what VMs tell in heartbeats: the rates of the last second, as exponential means.
type usage struct {
	rate map[*simSpace][]mean // by VM
}

type mean struct {
	rate float64
	at   time.Time
}

func (m *mean) add(now time.Time, n float64) {
	m.fade(now)
	m.rate += n / usageTime.Seconds()
}

func (m *mean) fade(now time.Time) {
	if !m.at.IsZero() {
		m.rate *= math.Exp(-now.Sub(m.at).Seconds() / usageTime.Seconds())
	}
	m.at = now
}

func (u *usage) of(f *fleet, s *simSpace) []mean {
	if u.rate == nil {
		u.rate = make(map[*simSpace][]mean)
	}
	if u.rate[s] == nil {
		u.rate[s] = make([]mean, len(f.vms))
	}
	return u.rate[s]
}

// told returns what others told VM i of a workspace: what they use now, discounted by what
// has changed since the news left them.
func (u *usage) told(f *fleet, i int, s *simSpace) (sum float64) {
	for j := range u.of(f, s) {
		m := u.rate[s][j]
		if j == i || !f.vms[j].up || f.vms[j].island != f.vms[i].island {
			continue
		}
		age := farDelay
		if f.vms[i].zone == f.vms[j].zone {
			age = nearDelay
		}
		if f.now.Sub(m.at) < age {
			m.rate *= math.Exp(-(age - f.now.Sub(m.at)).Seconds() / usageTime.Seconds())
		} else {
			m.fade(f.now)
		}
		sum += m.rate
	}
	return sum
}

// shares gives each VM a bucket of its own, with its part of the demand that heartbeats tell.
type shares struct {
	demand  usage
	buckets map[[2]int]*bucketReference
}

func (w *shares) admit(f *fleet, vm int, s *simSpace) bool {
	own := &w.demand.of(f, s)[vm]
	own.add(f.now, 1)
	share := math.Max(own.rate/(own.rate+w.demand.told(f, vm, s)), 1/float64(4*len(f.vms)))
	key := [2]int{vm, int(s.id)}
	if w.buckets[key] == nil {
		w.buckets[key] = &bucketReference{tokens: 1, at: f.now}
	}
	return w.buckets[key].admit(f.now, allowance.Limit{Rate: s.limit.Rate * share, Burst: math.Max(1, s.limit.Burst*share)})
}

// sums lets each VM keep the bucket of all by what heartbeats tell of the others.
type sums struct {
	use     usage
	buckets map[[2]int]*bucketReference
}

func (w *sums) admit(f *fleet, vm int, s *simSpace) bool {
	key := [2]int{vm, int(s.id)}
	b := w.buckets[key]
	if b == nil {
		b = &bucketReference{tokens: s.limit.Burst, at: f.now}
		w.buckets[key] = b
	}
	b.tokens -= w.use.told(f, vm, s) * f.now.Sub(b.at).Seconds()
	if !b.admit(f.now, s.limit) {
		return false
	}
	w.use.of(f, s)[vm].add(f.now, 1)
	return true
}

// BenchmarkWays compares the ways to hold an allowance: by an owner that lends credits, by
// shares that follow demand, and by sums of what all use.
func BenchmarkWays(b *testing.B) {
	for _, size := range []struct {
		vms, spaces int
		load        float64
	}{{12, 88, 400}, {91, 88, 2000}, {195, 88, 2400}, {195, 2000, 2400}, {650, 88, 8000}, {650, 2000, 8000}} {
		for name, make := range map[string]func() way{
			"owner":  func() way { return nil },
			"shares": func() way { return &shares{buckets: map[[2]int]*bucketReference{}} },
			"sums":   func() way { return &sums{buckets: map[[2]int]*bucketReference{}} },
		} {
			b.Run(fmt.Sprintf("%s/vms=%d/workspaces=%d", name, size.vms, size.spaces), func(b *testing.B) {
				for range b.N {
					playWay(b, newFleet(5, size.vms, size.spaces, size.load), make())
				}
			})
		}
	}
}

func playWay(b *testing.B, f *fleet, w way) {
	f.other = w
	f.driveAll(8 * time.Second)
	asked, _, below := f.sums()
	b.ReportMetric(1000*float64(below)/float64(asked), "refused-below/1000")
	b.ReportMetric(float64(f.bytes)/8/float64(len(f.vms)), "B/s/vm")
	for _, hot := range []int{0, 20} {
		s := f.spaces[hot]
		s.demand *= 7.5
		before := len(s.runs)
		f.driveAll(6 * time.Second)
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
