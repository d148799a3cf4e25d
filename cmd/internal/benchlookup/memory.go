package benchlookup

import (
	"math"
	"runtime/debug"
	"runtime/metrics"
	"sync/atomic"
	"time"
)

// boundMB is what a node's look-ups may take of the 128 MB that control has.
const boundMB = 96

// memoryPoll is the interval at which memory is looked at.
const memoryPoll = 2 * time.Millisecond

// taken returns the memory that the Go runtime holds, garbage included and
// what it gave back left out: what GOMEMLIMIT bounds.
func taken() uint64 {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(samples)
	return samples[0].Value.Uint64() - samples[1].Value.Uint64()
}

// bounded sets the runtime's memory limit to what is taken now and some room
// more, as GOMEMLIMIT would in a process that holds nothing else, and follows
// what is taken. The function it returns lifts the limit and returns the
// largest growth in megabytes.
func bounded(roomMB float64) func() float64 {
	debug.FreeOSMemory()
	base := taken()
	debug.SetMemoryLimit(int64(base) + int64(roomMB*1e6))
	var highest atomic.Uint64
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			highest.Store(max(highest.Load(), taken()))
			select {
			case <-stop:
				return
			case <-time.After(memoryPoll):
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
