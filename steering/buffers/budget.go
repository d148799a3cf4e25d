package buffers

import (
	"math"
	"time"
)

// ID identifies a connection of a caller.
type ID uint64

// Side is the peer that reads slowly.
type Side uint8

// Sides of a connection that is held back.
const (
	// Caller reads its responses slowly.
	Caller Side = iota
	// Target reads the body of a request slowly.
	Target
)

// String returns the name of the side in logs and metrics.
func (s Side) String() string {
	if s == Target {
		return "target"
	}
	return "caller"
}

// Config holds the bounds of a Budget.
type Config struct {
	// Total bounds the bytes of all connections.
	Total int64
	// PerConnection bounds the bytes of one connection beyond which no further request is read.
	PerConnection int64
	// MinStall is the time without progress after which a connection may be cut for others.
	MinStall time.Duration
	// MaxStall is the time without progress after which a connection is cut in any case.
	MaxStall time.Duration
}

const (
	// memoryShare is the share of a VM's memory that may be held for slow readers: 34 MB on a VM of
	// 136 MB. The collector lets the heap grow by 40 % between two collections, which makes that up to
	// 48 MB. The remainder is for the heap without slow readers, for stacks and headers of their
	// connections (about 40 KB each), and for kernel buffers before a write is found to be blocked,
	// which are not counted.
	memoryShare = 0.25
	// runtimeShare is the largest share of the runtime's memory limit, if there is one. If held bytes
	// took most of it, the collector would run continuously and delay all requests.
	runtimeShare = 1.0 / 3
	// perConnection allows a whole response of the usual size (256 KB) to be written while three more
	// wait, or a request's body of 512 KB with its response.
	perConnection = 1 << 20
	// minStall is several times the longest round trip between regions, so that a lost packet and its
	// retransmission do not count as a stall.
	minStall = time.Second
	// maxStall was the time for a whole response before; a caller that reads now keeps its connection.
	maxStall = 10 * time.Second
)

// NewConfig returns the bounds for a VM with memoryMB, whose Go runtime keeps its memory below
// runtimeLimit bytes (math.MaxInt64 without a limit).
func NewConfig(memoryMB int, runtimeLimit int64) Config {
	total := int64(memoryShare * float64(memoryMB) * (1 << 20))
	if runtimeLimit < math.MaxInt64 {
		total = min(total, int64(runtimeShare*float64(runtimeLimit)))
	}
	return Config{Total: total, PerConnection: perConnection, MinStall: minStall, MaxStall: maxStall}
}

// connection is what a connection holds.
type connection struct {
	held     int64
	blocked  int // writes that make no progress
	side     Side
	progress time.Time // last progress while blocked
	cut      bool
	// largest is the size of a usual request with its response; the largest decays with each smaller one.
	largest int64
}

// Budget counts the held bytes of a VM. It is not safe for concurrent use.
type Budget struct {
	cfg    Config
	next   ID
	conns  map[ID]*connection
	held   int64
	ending int64 // held by connections that are cut and have not released them yet
}

// New returns an empty budget.
func New(cfg Config) *Budget { return &Budget{cfg: cfg, conns: make(map[ID]*connection)} }

// Config returns the bounds.
func (b *Budget) Config() Config { return b.cfg }

// Held returns the bytes that are held now.
func (b *Budget) Held() int64 { return b.held }

// HeldBack returns the number of connections on which a write makes no progress.
func (b *Budget) HeldBack() int {
	n := 0
	for _, c := range b.conns {
		if c.blocked > 0 {
			n++
		}
	}
	return n
}

// Open adds a connection.
func (b *Budget) Open() ID {
	b.next++
	b.conns[b.next] = &connection{}
	return b.next
}

// Close removes a connection and releases what it holds.
func (b *Budget) Close(id ID) {
	if c := b.conns[id]; c != nil {
		b.Release(id, c.held)
		delete(b.conns, id)
	}
}

// Verdict is the decision about a reservation.
type Verdict uint8

// Verdicts.
const (
	// Refused: the bytes are not reserved, and nothing is about to be released.
	Refused Verdict = iota
	// Granted: the bytes are reserved.
	Granted
	// Wait: connections were cut for the bytes; the reservation succeeds once they have released
	// theirs.
	Wait
)

// Cut names a connection that is to be closed, and why.
type Cut struct {
	ID      ID
	Side    Side
	Held    int64
	Stalled time.Duration // without progress
}

// Reserve reserves bytes for a connection, and returns the connections to cut for it.
func (b *Budget) Reserve(now time.Time, id ID, bytes int64) (Verdict, []Cut) {
	c := b.conns[id]
	if c == nil || c.cut {
		return Refused, nil
	}
	if b.held+bytes <= b.cfg.Total {
		c.held += bytes
		b.held += bytes
		return Granted, nil
	}
	missing := b.held + bytes - b.cfg.Total - b.ending
	if missing > b.cuttable(now, id) {
		return Refused, nil
	}
	var cuts []Cut
	for missing > 0 {
		victim := b.victim(now, id)
		cut := b.Cut(now, victim)
		missing -= cut.Held
		cuts = append(cuts, cut)
	}
	return Wait, cuts
}

// cuttable returns the bytes that cutting all connections but one would release.
func (b *Budget) cuttable(now time.Time, except ID) int64 {
	sum := int64(0)
	for id, c := range b.conns {
		if id != except && b.mayCut(now, c) {
			sum += c.held
		}
	}
	return sum
}

func (b *Budget) mayCut(now time.Time, c *connection) bool {
	return c.blocked > 0 && !c.cut && c.held > 0 && now.Sub(c.progress) >= b.cfg.MinStall
}

// victim returns the connection to cut next, or 0.
func (b *Budget) victim(now time.Time, except ID) ID {
	var found ID
	most := 0.0
	for id, c := range b.conns {
		if id == except || !b.mayCut(now, c) {
			continue
		}
		weight := float64(c.held) * now.Sub(c.progress).Seconds()
		if weight > most || weight == most && id < found {
			found, most = id, weight
		}
	}
	return found
}

// Cut marks a connection as cut. What it holds counts until it is released.
func (b *Budget) Cut(now time.Time, id ID) Cut {
	c := b.conns[id]
	if c == nil || c.cut {
		return Cut{ID: id}
	}
	c.cut = true
	b.ending += c.held
	return Cut{ID: id, Side: c.side, Held: c.held, Stalled: now.Sub(c.progress)}
}

// IsCut reports whether a connection was cut.
func (b *Budget) IsCut(id ID) bool {
	c := b.conns[id]
	return c != nil && c.cut
}

// Release returns bytes that a connection has reserved.
func (b *Budget) Release(id ID, bytes int64) {
	c := b.conns[id]
	if c == nil {
		return
	}
	bytes = min(bytes, c.held)
	c.held -= bytes
	b.held -= bytes
	if c.cut {
		b.ending -= bytes
	}
}

// Blocked records that a write of a connection makes no progress since a time.
func (b *Budget) Blocked(since time.Time, id ID, side Side) {
	if c := b.conns[id]; c != nil {
		if c.blocked == 0 {
			c.progress, c.side = since, side
		}
		c.blocked++
	}
}

// Progress records that a blocked write has passed on bytes.
func (b *Budget) Progress(now time.Time, id ID) {
	if c := b.conns[id]; c != nil && now.After(c.progress) {
		c.progress = now
	}
}

// Unblocked records the end of a write for which Blocked was called.
func (b *Budget) Unblocked(id ID) {
	if c := b.conns[id]; c != nil && c.blocked > 0 {
		c.blocked--
	}
}

// recentShare is how fast the size of a usual request decays: by a quarter with each smaller one.
const recentShare = 0.75

// Ended records the size of a request with its response.
func (b *Budget) Ended(id ID, bytes int64) {
	if c := b.conns[id]; c != nil {
		c.largest = max(bytes, int64(recentShare*float64(c.largest)))
	}
}

// MayReadOn reports whether a further request may be read from a connection on which some run, each
// of which may come to hold as much as earlier ones did.
func (b *Budget) MayReadOn(id ID, running int) bool {
	c := b.conns[id]
	if c == nil || running == 0 {
		return true
	}
	return max(c.held, int64(running+1)*c.largest) <= b.cfg.PerConnection
}
