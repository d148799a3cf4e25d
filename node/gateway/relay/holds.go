package relay

import (
	"sync/atomic"
	"time"

	"heatherlock/node/lock"
	"heatherlock/steering"
	"heatherlock/steering/placement"
	"heatherlock/steering/waiting"
)

const (
	// heldOverhead is what a waiting request holds besides its body: header fields, connection buffers and a
	// goroutine.
	heldOverhead = 16 << 10
	// heldMemoryShare is the share of the VM's memory that waiting requests may hold. On the smallest VMs of
	// 136 MB it allows about 500 requests without bodies.
	heldMemoryShare = 1.0 / 16
	// defaultHeldBytes applies if the VM's memory is not known.
	defaultHeldBytes = 8 << 20
	// maxHoldLines is how many log lines about waiting requests are written a second.
	maxHoldLines = 5
)

// wake says why a waiting request stops waiting.
type wake uint8

const (
	wakeRoom         wake = iota // its target may have room
	wakeExpired                  // its latest start has passed
	wakeDraining                 // this VM is shutting down
	wakeOriginLeaves             // the VM that passed the request on is shutting down
)

// waiter is a request that waits.
type waiter struct {
	woken chan wake
	// from is the VM that passed the request on, empty if none did.
	from steering.VM
}

// holds keeps the requests that wait in this VM until their target has room.
type holds struct {
	count    atomic.Int64 // of waiters, to be read without mu
	draining atomic.Bool

	mu      lock.Mutex
	queue   *waiting.Queue
	waiters map[uint64]waiter
	lastID  uint64
	timer   *time.Timer // nil until the first request waits

	lines lineLimit
}

// newHolds returns holds for a VM with the given memory; 0 means that it is not known.
func newHolds(memoryBytes int64) *holds {
	bytes := int(heldMemoryShare * float64(memoryBytes))
	if bytes <= 0 {
		bytes = defaultHeldBytes
	}
	return &holds{queue: waiting.NewQueue(waiting.Limits{Entries: bytes / heldOverhead, Bytes: bytes}), waiters: make(map[uint64]waiter)}
}

// offer holds a request, or returns when room is expected for it. woken receives why it stops waiting; from is the
// VM that passed it on, if any. An entry without an ID is given one. full is set if the bounds allow no more requests.
func (h *holds) offer(e *waiting.Entry, woken chan wake, from steering.VM) (held, full bool, retryAfter time.Duration) {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if e.ID == 0 {
		h.lastID++
		e.ID = h.lastID
	}
	held, retryAfter = h.queue.Offer(now, *e)
	full = !held && !h.queue.Fits(e)
	if held {
		h.waiters[e.ID] = waiter{woken, from}
	} else {
		delete(h.waiters, e.ID)
	}
	h.count.Store(int64(len(h.waiters)))
	if held && h.draining.Load() {
		h.wake(e.ID, wakeDraining)
		h.queue.Remove(e.ID)
		h.removeWaiter(e.ID)
	}
	h.dispatch(now)
	return held, full, retryAfter
}

// wake tells a request why it stops waiting. It does not block: a request that has not taken an earlier reason yet
// will find out that it may not start. h.mu must be held.
func (h *holds) wake(id uint64, why wake) {
	select {
	case h.waiters[id].woken <- why:
	default:
	}
}

// removeWaiter records that a request does not wait any more. h.mu must be held.
func (h *holds) removeWaiter(id uint64) {
	delete(h.waiters, id)
	h.count.Store(int64(len(h.waiters)))
}

// end removes a request that started, or that ended otherwise.
func (h *holds) end(id uint64, started bool) {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if started {
		h.queue.Started(now, id)
	} else {
		h.queue.Remove(id)
	}
	h.removeWaiter(id)
	h.dispatch(now)
}

// room wakes the first request that waits for a target, because an attempt there has ended.
func (h *holds) room(service steering.Service, target steering.Target) {
	if h.count.Load() == 0 {
		return
	}
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.queue.Room(now, service, target)
	h.dispatch(now)
}

// roomAnywhere wakes the first requests of all targets, because the targets or the links to them changed.
func (h *holds) roomAnywhere() {
	if h.count.Load() == 0 {
		return
	}
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.queue.RoomAnywhere(now)
	h.dispatch(now)
}

// drain wakes all requests, because this VM is shutting down. None waits from now on.
func (h *holds) drain() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.draining.Store(true)
	for id := range h.waiters {
		h.queue.Remove(id)
		h.wake(id, wakeDraining)
	}
	clear(h.waiters)
	h.count.Store(0)
}

// returnWaitingOf wakes the requests that a VM has passed on, because it is shutting down.
func (h *holds) returnWaitingOf(vm steering.VM) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, w := range h.waiters {
		if w.from == vm {
			h.wake(id, wakeOriginLeaves)
			h.queue.Remove(id)
			h.removeWaiter(id)
		}
	}
	h.dispatch(time.Now())
}

// maxQueue returns the bound of the wait at targets. Requests of a VM that is shutting down may wait there as
// long as their own latency objective allows, since they cannot wait here.
func (h *holds) maxQueue() time.Duration {
	if h.draining.Load() {
		return placement.NoQueueBound
	}
	return 0
}

// dispatch wakes the requests that may start or have expired, and sets the timer for the next ones. h.mu
// must be held.
func (h *holds) dispatch(now time.Time) {
	for _, e := range h.queue.Expired(now) {
		h.wake(e.ID, wakeExpired)
		h.removeWaiter(e.ID)
	}
	for _, service := range h.queue.Services() {
		for e, ok := h.queue.Next(now, service); ok; e, ok = h.queue.Next(now, service) {
			h.wake(e.ID, wakeRoom)
		}
	}
	next, ok := h.queue.NextEvent()
	switch {
	case !ok:
	case h.timer == nil:
		h.timer = time.AfterFunc(next.Sub(now), h.tick)
	default:
		h.timer.Reset(next.Sub(now))
	}
}

func (h *holds) tick() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dispatch(time.Now())
}

// mayLog reports whether one more log line about waiting requests may be written in this second.
func (h *holds) mayLog(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lines.allow(now, maxHoldLines)
}
