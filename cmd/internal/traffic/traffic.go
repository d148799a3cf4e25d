package traffic

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
	// AnswerBytes is the size of the answer that callers ask for.
	AnswerBytes = 1024
	// UploadTime is how long a caller takes to send an upload.
	UploadTime = 400 * time.Millisecond
	// maxCarried bounds the requests carried at once. Each takes up to eight open
	// files when the whole system runs in one process, and a process that has no
	// file left shows the faults of the machine, not those of the system.
	maxCarried = 1500
	// meanOverMedian of the stand-ins' service times.
	meanOverMedian = 1.083
)

// Stream is a flow of requests for one service.
type Stream struct {
	Service deploy.Service
	// Name is unique among the streams; it begins each request's identity.
	Name string
	// Rate is in requests a second.
	Rate    float64
	Callers []*caller.Caller
}

// Traffic is a set of streams.
type Traffic struct {
	streams []Stream
	seed    uint64
	// run tells the identities of one run from those of another against the
	// same system.
	run     string
	results *results
	carried atomic.Int64
	running sync.WaitGroup
}

// New returns traffic that is not yet flowing.
func New(streams []Stream, seed uint64, run string) *Traffic {
	return &Traffic{streams: streams, seed: seed, run: run, results: newResults()}
}

// SourceIn returns the i-th client address of a block.
func SourceIn(block netip.Prefix, i int) netip.Addr {
	const perByte = 250
	raw := block.Addr().As4()
	raw[2], raw[3] = byte(i/perByte), byte(1+i%perByte)
	return netip.AddrFrom4(raw)
}

// ZoneRate returns the requests a second that one zone's callers make of a
// service when all callers together need the share load of its slots.
func ZoneRate(d deploy.Deployment, s deploy.Service, load float64) float64 {
	held := time.Duration(float64(s.ServiceTime) * meanOverMedian)
	if s.Work == deploy.WorkUpload {
		held += UploadTime
	}
	all := float64(s.Endpoints*s.Slots) / held.Seconds()
	return load * all / float64(len(d.Zones))
}

// Run sends work until ctx ends. The requests under way go on: see Wait.
func (t *Traffic) Run(ctx context.Context) {
	var streams sync.WaitGroup
	for i, s := range t.streams {
		random := rand.New(rand.NewPCG(t.seed, uint64(i)))
		streams.Go(func() { t.flow(ctx, s, random) })
	}
	streams.Wait()
}

// Wait waits for the requests under way.
func (t *Traffic) Wait() { t.running.Wait() }

// InFlight returns the requests under way.
func (t *Traffic) InFlight() int { return int(t.carried.Load()) }

// flow makes an open loop of arrivals: a slow answer holds back no later
// request.
func (t *Traffic) flow(ctx context.Context, s Stream, random *rand.Rand) {
	if s.Rate <= 0 {
		return
	}
	due := time.Now()
	for n := 0; ; n++ {
		due = due.Add(time.Duration(-math.Log(1-random.Float64()) / s.Rate * float64(time.Second)))
		if !SleepUntil(ctx, due) {
			return
		}
		from := s.Callers[random.IntN(len(s.Callers))]
		t.send(from, s.Service, fmt.Sprintf("%s%s-%d", t.run, s.Name, n), due)
	}
}

// SleepUntil waits for a moment and reports whether ctx outlived it.
func SleepUntil(ctx context.Context, due time.Time) bool {
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

func (t *Traffic) send(from *caller.Caller, s deploy.Service, id string, due time.Time) {
	if t.carried.Add(1) > maxCarried {
		t.carried.Add(-1)
		t.results.drop()
		return
	}
	t.running.Go(func() {
		defer t.carried.Add(-1)
		result := from.Do(context.Background(), RequestFor(s, id))
		t.results.add(s.Name, result, time.Since(due))
	})
}

// DirectRequest is a request that one caller sends beside the streams.
type DirectRequest struct {
	From    *caller.Caller
	Request caller.Request
}

// SendDirect sends errands one after another, beside the streams.
func (t *Traffic) SendDirect(errands ...DirectRequest) {
	t.running.Go(func() {
		for _, e := range errands {
			due := time.Now()
			result := e.From.Do(context.Background(), e.Request)
			t.results.add(e.Request.Service, result, time.Since(due))
		}
	})
}

// RequestFor returns a request of the kind that callers make of a service.
func RequestFor(s deploy.Service, id string) caller.Request {
	r := caller.Request{ID: id, Service: s.Name, Timeout: s.Timeout, AnswerBytes: AnswerBytes}
	switch s.Work {
	case deploy.WorkPurchase:
		r.Kind = witness.KindPurchase
	case deploy.WorkUpload:
		r.Kind = witness.KindUpload
		r.UploadBytes, r.UploadTime = s.UploadBytes, UploadTime
	}
	return r
}
