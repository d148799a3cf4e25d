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

// Parameters of the callers' requests.
const (
	// AnswerBytes is the size of the answer that callers request.
	AnswerBytes = 1024
	// UploadTime is how long a caller takes to send an upload.
	UploadTime = 400 * time.Millisecond
	// maxInFlight is the maximum number of requests in flight. Each needs up to eight
	// open files if the whole system runs in one process. A process that runs out of
	// file descriptors shows faults of the machine instead of those of the system.
	maxInFlight = 1500
	// meanOverMedian is the ratio of mean and median of the stand-ins' service times.
	meanOverMedian = 1.083
)

// Stream is a flow of requests for one service.
type Stream struct {
	Service deploy.Service
	// Name is unique among the streams. It is part of the request IDs.
	Name string
	Rate float64 // requests per second
	// Callers are chosen at random for each request.
	Callers []*caller.Caller
}

// Traffic sends the requests of a set of streams.
type Traffic struct {
	streams []Stream
	seed    uint64
	// run is the prefix of the request IDs. It distinguishes the requests of several
	// runs against the same system.
	run      string
	results  *results
	inFlight atomic.Int64
	pending  sync.WaitGroup
}

// New returns a Traffic that sends nothing until Run is called. The prefix run starts
// all request IDs.
func New(streams []Stream, seed uint64, run string) *Traffic {
	return &Traffic{streams: streams, seed: seed, run: run, results: newResults()}
}

// SourceIn returns the i-th client address of an IPv4 block.
func SourceIn(block netip.Prefix, i int) netip.Addr {
	const perByte = 250
	raw := block.Addr().As4()
	raw[2], raw[3] = byte(i/perByte), byte(1+i%perByte)
	return netip.AddrFrom4(raw)
}

// ZoneRate returns the requests per second that the callers of one zone send to a
// service when the callers of all zones together occupy the share load of its slots.
func ZoneRate(d deploy.Deployment, s deploy.Service, load float64) float64 {
	slotTime := time.Duration(float64(s.ServiceTime) * meanOverMedian)
	if s.Work == deploy.WorkUpload {
		slotTime += UploadTime
	}
	all := float64(s.Endpoints*s.Slots) / slotTime.Seconds()
	return load * all / float64(len(d.Zones))
}

// Run sends requests until ctx ends. Requests in flight continue; see Wait.
func (t *Traffic) Run(ctx context.Context) {
	var streams sync.WaitGroup
	for i, s := range t.streams {
		random := rand.New(rand.NewPCG(t.seed, uint64(i)))
		streams.Go(func() { t.sendStream(ctx, s, random) })
	}
	streams.Wait()
}

// Wait waits for the requests in flight.
func (t *Traffic) Wait() { t.pending.Wait() }

// InFlight returns the number of requests of the streams in flight.
func (t *Traffic) InFlight() int { return int(t.inFlight.Load()) }

// sendStream sends the requests of a stream as an open loop: a slow answer does not
// delay later requests.
func (t *Traffic) sendStream(ctx context.Context, s Stream, random *rand.Rand) {
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

// SleepUntil waits until due or the end of ctx, and reports whether due came first.
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
	if t.inFlight.Add(1) > maxInFlight {
		t.inFlight.Add(-1)
		t.results.recordDropped()
		return
	}
	t.pending.Go(func() {
		defer t.inFlight.Add(-1)
		result := from.Do(context.Background(), RequestFor(s, id))
		t.results.record(s.Name, result, time.Since(due))
	})
}

// DirectRequest is a request that a given caller sends in addition to the streams.
type DirectRequest struct {
	From    *caller.Caller
	Request caller.Request
}

// SendDirect sends requests one after another, concurrently with the streams. It does
// not wait for them, and the limit on requests in flight does not apply to them.
func (t *Traffic) SendDirect(requests ...DirectRequest) {
	t.pending.Go(func() {
		for _, e := range requests {
			due := time.Now()
			result := e.From.Do(context.Background(), e.Request)
			t.results.record(e.Request.Service, result, time.Since(due))
		}
	})
}

// RequestFor returns a request with the given ID, of the kind that callers send to the
// service.
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
