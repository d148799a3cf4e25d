package benchlookup

import (
	"math"
	"runtime/debug"
	"runtime/metrics"
	"sync/atomic"
	"time"
)

// memoryLimitMB is the part that lookups may use of the 128 MB of memory that one entry VM has for
// control.
const memoryLimitMB = 96

const memoryPollInterval = 2 * time.Millisecond

// runtimeBytes returns the number of bytes that the Go runtime holds, including garbage and
// excluding memory that it has returned to the operating system. GOMEMLIMIT limits this amount.
func runtimeBytes() uint64 {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(samples)
	return samples[0].Value.Uint64() - samples[1].Value.Uint64()
}

// limitMemory sets the memory limit of the runtime to the memory in use plus limitMB megabytes, so
// that the code under test runs as under a GOMEMLIMIT of limitMB in a process of its own. It samples
// the memory in use until the returned function is called, which removes the limit and returns the
// peak growth in megabytes.
func limitMemory(limitMB float64) func() float64 {
	debug.FreeOSMemory()
	base := runtimeBytes()
	debug.SetMemoryLimit(int64(base) + int64(limitMB*1e6))
	var highest atomic.Uint64
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			highest.Store(max(highest.Load(), runtimeBytes()))
			select {
			case <-stop:
				return
			case <-time.After(memoryPollInterval):
			}
		}
	}()
	return func() float64 {
		close(stop)
		<-done
		debug.SetMemoryLimit(math.MaxInt64)
		return megabytes(highest.Load() - base)
	}
}
