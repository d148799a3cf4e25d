package buffering

import (
	"time"

	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"

	"heatherlock/node/lock"
	"heatherlock/steering/buffers"
)

const (
	// releaseWait is how long a reservation waits for the bytes of connections that were cut for it.
	// Closing a connection ends its write, which releases the bytes, within milliseconds.
	releaseWait = 100 * time.Millisecond
	// maxCutLines bounds the log lines of cuts per second.
	maxCutLines = 10
)

// Causes of cuts in logs and metrics, in front of the side that did not read.
const (
	causeMemory  = "memory"
	causeStalled = "stalled"
)

// VM counts the bytes that this VM holds. It is safe for concurrent use. A nil *VM counts nothing.
type VM struct {
	log   log.Logger
	scope tally.Scope

	mu       lock.Mutex
	budget   *buffers.Budget
	accounts map[buffers.ID]*Account
	released chan struct{} // closed and replaced when bytes are released while a reservation waits
	waiting  int
	logFrom  time.Time // start of the second in which lines are counted
	logged   int
}

// NewVM returns a VM that holds nothing.
func NewVM(cfg buffers.Config, logger log.Logger, scope tally.Scope) *VM {
	return &VM{log: logger, scope: scope, budget: buffers.New(cfg), accounts: make(map[buffers.ID]*Account), released: make(chan struct{})}
}

// UpdateGauges exports the current state.
func (v *VM) UpdateGauges() {
	held, heldBack := v.Held()
	v.scope.Gauge("gateway_held_bytes").Update(float64(held))
	v.scope.Gauge("gateway_connections_held_back").Update(float64(heldBack))
	v.mu.Lock()
	accounts := len(v.accounts)
	v.mu.Unlock()
	v.scope.Gauge("gateway_caller_accounts").Update(float64(accounts))
}

// Held returns the bytes that are held, and the number of connections that are held back.
func (v *VM) Held() (bytes int64, heldBack int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.budget.Held(), v.budget.HeldBack()
}

// release returns bytes to the budget. v.mu must be held.
func (v *VM) release(id buffers.ID, bytes int64) {
	v.budget.Release(id, bytes)
	if v.waiting > 0 && bytes > 0 {
		close(v.released)
		v.released = make(chan struct{})
	}
}

// closersOf returns the functions that close each connection that is cut. v.mu must be held.
func (v *VM) closersOf(cuts []buffers.Cut) [][]func() {
	all := make([][]func(), len(cuts))
	for n, cut := range cuts {
		a := v.accounts[cut.ID]
		all[n] = append(all[n], a.onCut)
		for w := range a.writers {
			all[n] = append(all[n], w.abort)
		}
	}
	return all
}

// cut closes a connection, and logs and counts why.
func (v *VM) cut(cause string, cut buffers.Cut, closers []func()) {
	for _, c := range closers {
		c()
	}
	cause += "_" + cut.Side.String()
	v.scope.Tagged(map[string]string{"cause": cause}).Counter("gateway_slow_reader_cuts").Inc(1)
	if v.mayLog() {
		_ = v.log.Log("msg", "slow reader cut", "cause", cause, "connection", cut.ID, "held_bytes", cut.Held, "no_progress_ms", cut.Stalled.Milliseconds()) // the log writer counts dropped lines
	}
}

func (v *VM) mayLog() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if now := time.Now(); now.Sub(v.logFrom) >= time.Second {
		v.logFrom, v.logged = now, 0
	}
	v.logged++
	return v.logged <= maxCutLines
}
