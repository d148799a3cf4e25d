package benchpath

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"heatherlock/standin/witness"
)

// maxConnections kept by a client.
const maxConnections = 1024

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxConnections, DisableCompression: true}}
}

// get sends one request and reads its whole answer.
func (r *rig) get(ctx context.Context, c *http.Client, url string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	request.Header.Set("Heatherlock-Service", serviceName)
	request.Header.Set(witness.HeaderRequest, "bench")
	return finish(c.Do(request))
}

func finish(reply *http.Response, err error) error {
	if err != nil {
		return err
	}
	defer func() { _ = reply.Body.Close() }()
	if _, err := io.Copy(io.Discard, reply.Body); err != nil {
		return err
	}
	if reply.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d (%s)", reply.StatusCode, reply.Header.Get("Heatherlock-Reason"))
	}
	return nil
}

// upload sends bytes that no machine has to make: zeros.
func (r *rig) upload(ctx context.Context, c *http.Client, url string, size int64) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, url, io.LimitReader(zeros{}, size))
	if err != nil {
		return err
	}
	request.ContentLength = size
	request.Header.Set("Heatherlock-Service", serviceName)
	return finish(c.Do(request))
}

type zeros struct{}

// Read gives zeros.
func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// Loop is what a closed loop of workers measured.
type Loop struct {
	P50Us     int64   `json:"p50_us"`
	P99Us     int64   `json:"p99_us"`
	PerSecond float64 `json:"per_second"`
	Count     int64   `json:"count"`
	Errors    int64   `json:"errors"`
	// CPUUs is the processor time that the whole process spent for each
	// request: callers, entry VM and target. Unlike the rate it does not
	// depend on what else the machine does.
	CPUUs float64 `json:"cpu_us"`
}

// loop has workers repeat do for a time.
func loop(ctx context.Context, workers int, d time.Duration, do func(context.Context) error) Loop {
	limited, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	var all sync.WaitGroup
	var mu sync.Mutex
	sum := hdrhistogram.New(1, 60_000_000, 3)
	errors := int64(0)
	begun, spent := time.Now(), processorTime()
	for range workers {
		all.Go(func() {
			h, failed := repeat(ctx, limited, do)
			mu.Lock()
			defer mu.Unlock()
			sum.Merge(h)
			errors += failed
		})
	}
	all.Wait()
	took, used := time.Since(begun), processorTime()-spent
	return Loop{
		P50Us: sum.ValueAtQuantile(50), P99Us: sum.ValueAtQuantile(99), Count: sum.TotalCount(), Errors: errors,
		PerSecond: float64(sum.TotalCount()) / took.Seconds(),
		CPUUs:     float64(used.Microseconds()) / float64(max(1, sum.TotalCount())),
	}
}

// repeat runs do under ctx until limited ends: the last call is not cut.
func repeat(ctx, limited context.Context, do func(context.Context) error) (*hdrhistogram.Histogram, int64) {
	h := hdrhistogram.New(1, 60_000_000, 3)
	failed := int64(0)
	for limited.Err() == nil {
		begun := time.Now()
		if err := do(ctx); err != nil {
			failed++
			continue
		}
		_ = h.RecordValue(max(1, time.Since(begun).Microseconds()))
	}
	return h, failed
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heapPeak runs f and returns how far the heap in use rose above its start.
func heapPeak(f func() error) (bytes int64, err error) {
	runtime.GC()
	base := heapInUse()
	stop := make(chan struct{})
	peak := make(chan int64)
	go func() {
		most := int64(0)
		for {
			most = max(most, heapInUse()-base)
			select {
			case <-stop:
				peak <- most
				return
			case <-time.After(2 * time.Millisecond):
			}
		}
	}()
	err = f()
	close(stop)
	return <-peak, err
}

func heapInUse() int64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse)
}
