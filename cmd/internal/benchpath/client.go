package benchpath

import (
	"context"
	"fmt"
	"io"
	"math"
	"net/http"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"heatherlock/standin/witness"
)

// maxConnections is the number of idle connections that a client keeps, and the upper bound of
// [Options.Workers].
const maxConnections = 1024

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxConnections, DisableCompression: true}}
}

// get sends one request and reads the whole response. It returns an error unless the status is 200.
func (r *rig) get(ctx context.Context, c *http.Client, url string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	request.Header.Set("Heatherlock-Service", serviceName)
	request.Header.Set(witness.HeaderRequest, "bench")
	return readResponse(c.Do(request))
}

func readResponse(response *http.Response, err error) error {
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d (%s)", response.StatusCode, response.Header.Get("Heatherlock-Reason"))
	}
	return nil
}

// upload sends size zero bytes, which take no memory and hardly any CPU time to generate.
func (r *rig) upload(ctx context.Context, c *http.Client, url string, size int64) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, url, io.LimitReader(zeros{}, size))
	if err != nil {
		return err
	}
	request.ContentLength = size
	request.Header.Set("Heatherlock-Service", serviceName)
	return readResponse(c.Do(request))
}

type zeros struct{}

// Read fills p with zeros.
func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// LoopResult is the result of a closed loop of workers.
type LoopResult struct {
	P50Us     int64   `json:"p50_us"`
	P99Us     int64   `json:"p99_us"`
	PerSecond float64 `json:"per_second"`
	Count     int64   `json:"count"`
	Errors    int64   `json:"errors"`
	// CPUUs is the CPU time in microseconds per successful request, spent by the whole process:
	// callers, entry VM and target. Unlike the rate, it does not depend on other load on the
	// machine.
	CPUUs float64 `json:"cpu_us"`
}

// runLoop starts the given number of workers, each of which calls do in a loop for the duration d.
func runLoop(ctx context.Context, workers int, d time.Duration, do func(context.Context) error) LoopResult {
	loopCtx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	var wg sync.WaitGroup
	var mu sync.Mutex
	merged := hdrhistogram.New(1, 60_000_000, 3)
	failures := int64(0)
	start, startCPU := time.Now(), cpuTime()
	for range workers {
		wg.Go(func() {
			h, failed := callRepeatedly(ctx, loopCtx, do)
			mu.Lock()
			defer mu.Unlock()
			merged.Merge(h)
			failures += failed
		})
	}
	wg.Wait()
	elapsed, usedCPU := time.Since(start), cpuTime()-startCPU
	return LoopResult{
		P50Us: merged.ValueAtQuantile(50), P99Us: merged.ValueAtQuantile(99), Count: merged.TotalCount(), Errors: failures,
		PerSecond: float64(merged.TotalCount()) / elapsed.Seconds(),
		CPUUs:     float64(usedCPU.Microseconds()) / float64(max(1, merged.TotalCount())),
	}
}

// callRepeatedly calls do with ctx until loopCtx ends. The last call runs to completion because ctx
// has no such deadline. It returns the latencies of the successful calls and the number of failed
// ones.
func callRepeatedly(ctx, loopCtx context.Context, do func(context.Context) error) (*hdrhistogram.Histogram, int64) {
	h := hdrhistogram.New(1, 60_000_000, 3)
	failed := int64(0)
	for loopCtx.Err() == nil {
		start := time.Now()
		if err := do(ctx); err != nil {
			failed++
			continue
		}
		_ = h.RecordValue(max(1, time.Since(start).Microseconds()))
	}
	return h, failed
}

// cpuTime returns the user and system CPU time of this process, or 0 if it is unavailable.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heapPeak runs f and returns the peak growth of the heap in use while f runs, in bytes. The heap
// counts as grown from its smallest size: memory that was in use before f and is freed while f runs
// must not hide what f holds.
func heapPeak(f func() error) (bytes int64, err error) {
	base := settledHeap()
	stop := make(chan struct{})
	peak := make(chan int64)
	go func() {
		highest := int64(0)
		for {
			highest = max(highest, heapInUse()-base)
			select {
			case <-stop:
				peak <- highest
				return
			case <-time.After(2 * time.Millisecond):
			}
		}
	}()
	err = f()
	close(stop)
	return <-peak, err
}

// settledHeap returns the heap in use once collections no longer shrink it. A single collection
// leaves what finalizers and pools still hold.
func settledHeap() int64 {
	smallest := int64(math.MaxInt64)
	for range maxSettlingCollections {
		runtime.GC()
		now := heapInUse()
		if now >= smallest {
			break
		}
		smallest = now
	}
	return smallest
}

// maxSettlingCollections bounds the collections of settledHeap on a process that never rests.
const maxSettlingCollections = 10

func heapInUse() int64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse)
}
