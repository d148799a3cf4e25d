package spread

import (
	"sync"
	"time"
)

const (
	// maxBacklog is how much data, as time on the link, may be reserved ahead of a new reservation.
	// With more, VMs that wait could get the data from others sooner; with less, a fast link is
	// idle between two requests over the longest round trip (70 ms).
	maxBacklog = 300 * time.Millisecond
	// maxPieceTime is how long one piece may occupy the receiver's link. Callers' requests share
	// that link and wait no longer than this.
	maxPieceTime = 50 * time.Millisecond
	// minPieceBytes and maxPieceBytes limit the size of a piece before compression. A round trip
	// costs as much time as about 10 kB on a narrow link, and a piece is held in memory while it is
	// created.
	minPieceBytes = 32 << 10
	maxPieceBytes = 256 << 10
	// compressionRatio is how many times smaller routes become by compression. Routes with random
	// names reached 3.2.
	compressionRatio = 3
	// maxServedTime is how long the link may be occupied by one piece for each VM that is served at
	// a time. On links as fast as this one that allows two VMs, so that the link is busy while the
	// next request of the other VM is on its way; on slower links it allows more. In a simulation
	// with 84 VMs, distribution took 1.5 s with two VMs at a time, 1.6 s with three and 1.8 s with
	// four. At least minServed VMs are served, however fast their links are.
	maxServedTime = 100 * time.Millisecond
	minServed     = 2
	// slotTimeout is how long a VM that is being served may take to request the next piece: the
	// longest round trip, plus the transfer of a piece on its link beside callers' traffic.
	slotTimeout = 300 * time.Millisecond
	// slotRetryDelay is when a VM that gets no slot should retry: after the time of one piece.
	slotRetryDelay = maxPieceTime
	// defaultLinkRate is assumed for a link whose rate is not configured, in bytes per second: the
	// link rate of the smallest VMs.
	defaultLinkRate = 10e6 / 8
)

// bytesPerSecond returns the rate of a link.
func bytesPerSecond(megabits float64) float64 {
	if megabits <= 0 {
		return defaultLinkRate
	}
	return megabits * 1e6 / 8
}

// PieceBytes returns how much a VM on a link of the given rate in Mbit/s requests at once, in bytes
// before compression.
func PieceBytes(megabits float64) int {
	return min(max(int(bytesPerSecond(megabits)*maxPieceTime.Seconds()*compressionRatio), minPieceBytes), maxPieceBytes)
}

// SendLimiter limits how much a VM sends to others and how many VMs it serves at a time. A request
// beyond the limits is rejected at once, so that it can be repeated later or sent to another VM.
//
// All VMs learn of a newer configuration from the VM that has read it, and request it at once. When
// few are served at a time, the number of copies doubles each time; if all were served at once,
// none would have the complete configuration for a long time, and none could pass it on.
//
// SendLimiter is safe for concurrent use.
type SendLimiter struct {
	rate float64 // bytes per second

	mu        sync.Mutex
	reserved  float64 // bytes that are still to be sent over the link
	updatedAt time.Time
	// slots holds the VMs that are being served. The size of their pieces follows the rate of their
	// own links.
	slots map[string]slot
}

// slot is the state of one VM that is being served.
type slot struct {
	piece    int
	lastUsed time.Time
}

// LinkLoad is the load that the request of one VM puts on the link of another.
type LinkLoad struct {
	// From is the VM that sends the request.
	From string
	// Bytes is the size of the answer on the wire, Piece the size of the answers that the VM
	// requests at once.
	Bytes, Piece int
	// Outline marks an answer with only an outline, for which no slot is needed. Last marks the
	// answer with the last part.
	Outline, Last bool
}

// NewSendLimiter returns the limits for a link of the given rate in Mbit/s; 0 means unknown.
func NewSendLimiter(megabits float64) *SendLimiter {
	return &SendLimiter{rate: bytesPerSecond(megabits), slots: make(map[string]slot)}
}

// Turn acquires a slot for a VM before the answer is created. If there is no free slot, it returns
// false and the time after which to retry. The slot is held until the last part is sent, or until
// the VM sends no request for slotTimeout. An outline needs no slot.
func (r *SendLimiter) Turn(now time.Time, a LinkLoad) (wait time.Duration, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance(now)
	if a.Outline {
		return 0, true
	}
	if !r.maySend(a) {
		return slotRetryDelay, false
	}
	r.slots[a.From] = slot{piece: a.Piece, lastUsed: now}
	return 0, true
}

// Reserve reserves time on the link for an answer. If the backlog is too long, it reserves nothing
// and returns false and the time after which to retry. A link without backlog accepts an answer of
// any size.
func (r *SendLimiter) Reserve(now time.Time, a LinkLoad) (wait time.Duration, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance(now)
	if !a.Outline && !r.maySend(a) {
		return slotRetryDelay, false
	}
	excess := r.reserved + float64(a.Bytes) - r.rate*maxBacklog.Seconds()
	if r.reserved > 0 && excess > 0 {
		return time.Duration(min(excess, r.reserved) / r.rate * float64(time.Second)), false
	}
	r.reserved += float64(a.Bytes)
	switch {
	case a.Last:
		delete(r.slots, a.From)
	case !a.Outline:
		r.slots[a.From] = slot{piece: a.Piece, lastUsed: now}
	}
	return 0, true
}

// advance subtracts what the link has sent since the last call, and frees the slots of VMs that
// have stopped asking.
func (r *SendLimiter) advance(now time.Time) {
	if !r.updatedAt.IsZero() {
		r.reserved = max(r.reserved-r.rate*now.Sub(r.updatedAt).Seconds(), 0)
	}
	r.updatedAt = now
	for name, t := range r.slots {
		if now.Sub(t.lastUsed) > slotTimeout {
			delete(r.slots, name)
		}
	}
}

// maySend reports whether a VM already has a slot or there is a free one for it.
func (r *SendLimiter) maySend(a LinkLoad) bool {
	if _, served := r.slots[a.From]; served || len(r.slots) < minServed {
		return true
	}
	pieces := a.Piece
	for _, t := range r.slots {
		pieces += t.piece
	}
	return float64(pieces) <= r.rate*maxServedTime.Seconds()
}
