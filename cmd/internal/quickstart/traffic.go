package quickstart

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"heatherlock/cmd/internal/caller"
	"heatherlock/standin/deploy"
	"heatherlock/standin/witness"
)

// Sizes of the callers' work.
const (
	callersPerZone = 24
	answerBytes    = 1024
	// uploadTime is how long a caller takes to send an upload.
	uploadTime = 400 * time.Millisecond
	// maxCarried bounds the requests that the emulator carries at once.
	maxCarried = 5000
	// meanOverMedian of the stand-ins' service times.
	meanOverMedian = 1.083
)

// traffic is the callers of every zone.
type traffic struct {
	system  *system
	load    float64
	seed    uint64
	callers map[string][]*caller.Caller
	results *results
	carried atomic.Int64
	running sync.WaitGroup
}

func newTraffic(s *system, load float64, seed uint64) *traffic {
	t := &traffic{system: s, load: load, seed: seed, callers: map[string][]*caller.Caller{}, results: newResults()}
	for _, z := range s.deployment.Zones {
		bootstrap := s.callerAddresses(z.Name)
		for i := range callersPerZone {
			t.callers[z.Name] = append(t.callers[z.Name], caller.New(caller.Config{
				Home: z.Name, Source: sourceIn(z.Block, i), Bootstrap: bootstrap,
				Reporter: s.witness, Excused: s.excused,
			}))
		}
	}
	return t
}

// sourceIn returns the i-th client address of a block, spread over its third
// byte.
func sourceIn(block netip.Prefix, i int) netip.Addr {
	raw := block.Addr().As4()
	raw[2], raw[3] = byte(i/250), byte(1+i%250)
	return netip.AddrFrom4(raw)
}

func (t *traffic) close() {
	for _, callers := range t.callers {
		for _, c := range callers {
			c.Close()
		}
	}
}

// run sends work until ctx ends. The requests under way go on: see wait.
func (t *traffic) run(ctx context.Context) {
	var streams sync.WaitGroup
	for i, s := range t.system.deployment.Services {
		for j, z := range t.system.deployment.Zones {
			random := rand.New(rand.NewPCG(t.seed, uint64(i*len(t.system.deployment.Zones)+j)))
			streams.Go(func() { t.stream(ctx, s, z.Name, random) })
		}
	}
	streams.Wait()
}

// wait waits for the requests under way.
func (t *traffic) wait() { t.running.Wait() }

// rate is the requests a second that one zone's callers make of a service.
func (t *traffic) rate(s deploy.Service) float64 {
	held := time.Duration(float64(s.ServiceTime) * meanOverMedian)
	if s.Work == deploy.WorkUpload {
		held += uploadTime
	}
	all := float64(s.Endpoints*s.Slots) / held.Seconds()
	return t.load * all / float64(len(t.system.deployment.Zones))
}

// stream makes an open loop of arrivals: a slow answer holds back no later
// request, and latency counts from the moment a request was due.
func (t *traffic) stream(ctx context.Context, s deploy.Service, zone string, random *rand.Rand) {
	rate := t.rate(s)
	due := time.Now()
	for n := 0; ; n++ {
		due = due.Add(time.Duration(-math.Log(1-random.Float64()) / rate * float64(time.Second)))
		if !sleepUntil(ctx, due) {
			return
		}
		from := t.callers[zone][random.IntN(callersPerZone)]
		t.send(from, s, fmt.Sprintf("%s-%s-%d", s.Name, zone, n), due)
	}
}

func sleepUntil(ctx context.Context, due time.Time) bool {
	wait := time.Until(due)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (t *traffic) send(from *caller.Caller, s deploy.Service, id string, due time.Time) {
	if t.carried.Add(1) > maxCarried {
		t.carried.Add(-1)
		t.results.drop()
		return
	}
	t.running.Go(func() {
		defer t.carried.Add(-1)
		result := from.Do(context.Background(), requestFor(s, id))
		t.results.add(s.Name, result, time.Since(due))
	})
}

func requestFor(s deploy.Service, id string) caller.Request {
	r := caller.Request{ID: id, Service: s.Name, Timeout: s.Timeout, AnswerBytes: answerBytes}
	switch s.Work {
	case deploy.WorkPurchase:
		r.Kind = witness.KindPurchase
	case deploy.WorkUpload:
		r.Kind = witness.KindUpload
		r.UploadBytes, r.UploadTime = s.UploadBytes, uploadTime
	}
	return r
}

// sendCrashing has a caller send a request that crashes each target it
// reaches, and send it again through other entry VMs.
func (t *traffic) sendCrashing(ctx context.Context) {
	d := t.system.deployment
	s := d.Services[0]
	r := requestFor(s, "crashing")
	r.CrashMarker = crashMarker
	for _, from := range t.callers[t.system.faultZone()][:3] {
		t.running.Go(func() {
			result := from.Do(context.WithoutCancel(ctx), r)
			t.results.add(s.Name, result, 0)
		})
	}
}
