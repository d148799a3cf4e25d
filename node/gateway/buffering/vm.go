package buffering

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"

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

	mu       sync.Mutex
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
}

// Held returns the bytes that are held, and the number of connections that are held back.
func (v *VM) Held() (bytes int64, heldBack int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.budget.Held(), v.budget.HeldBack()
}

// Account is the account of a caller's connection. A nil *Account counts nothing.
type Account struct {
	vm *VM
	id buffers.ID
	// onCut closes the caller's connection.
	onCut func()
	// writers are the blocked writes of the connection, which are closed when it is cut.
	writers map[*Writer]struct{}
	// room is signalled when a request of the connection ends.
	room chan struct{}
}

// Open opens the account of a connection. onCut must close the connection and not block.
func (v *VM) Open(onCut func()) *Account {
	if v == nil {
		return nil
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	a := &Account{vm: v, id: v.budget.Open(), onCut: onCut, room: make(chan struct{}, 1)}
	v.accounts[a.id] = a
	return a
}

// Close closes the account once all claims have ended.
func (a *Account) Close() {
	if a == nil {
		return
	}
	a.vm.mu.Lock()
	defer a.vm.mu.Unlock()
	a.vm.budget.Close(a.id)
	delete(a.vm.accounts, a.id)
}

// AwaitRoom waits until a further request may be read from the connection. running returns the
// number of requests that run.
func (a *Account) AwaitRoom(ctx context.Context, running func() int) {
	if a == nil {
		return
	}
	for {
		a.vm.mu.Lock()
		ok := a.vm.budget.MayReadOn(a.id, running())
		a.vm.mu.Unlock()
		if ok {
			return
		}
		select {
		case <-a.room:
		case <-ctx.Done():
			return
		}
	}
}

// signalRoom lets AwaitRoom look again.
func (a *Account) signalRoom() {
	select {
	case a.room <- struct{}{}:
	default:
	}
}

// Claim holds the bytes of a request and its response. A nil *Claim grants everything.
type Claim struct {
	account *Account
	// bytes and ended are guarded by the VM's lock.
	bytes int64
	ended bool
	atEnd []func()
}

// NewClaim returns a claim without bytes.
func (a *Account) NewClaim() *Claim {
	if a == nil {
		return nil
	}
	return &Claim{account: a}
}

// Reserve reserves bytes, and reports whether they may be used. It waits a little if connections
// are cut for them. After End it returns false.
func (c *Claim) Reserve(bytes int64) bool {
	if c == nil || bytes <= 0 {
		return true
	}
	v := c.account.vm
	var limit <-chan time.Time
	for {
		verdict, released := c.try(bytes)
		if verdict != buffers.Wait {
			return verdict == buffers.Granted
		}
		if limit == nil {
			limit = time.After(releaseWait)
		}
		expired := false
		select {
		case <-released:
		case <-limit:
			expired = true
		}
		v.mu.Lock()
		v.waiting--
		v.mu.Unlock()
		if expired {
			return false
		}
	}
}

// try makes one attempt at a reservation. If it must wait, released is closed when bytes are
// released.
func (c *Claim) try(bytes int64) (verdict buffers.Verdict, released <-chan struct{}) {
	v := c.account.vm
	v.mu.Lock()
	if c.ended {
		v.mu.Unlock()
		return buffers.Refused, nil
	}
	verdict, cuts := v.budget.Reserve(time.Now(), c.account.id, bytes)
	switch verdict {
	case buffers.Granted:
		c.bytes += bytes
	case buffers.Wait:
		v.waiting++
		released = v.released
	}
	close := v.closersOf(cuts)
	v.mu.Unlock()
	for n, cut := range cuts {
		v.cut(causeMemory, cut, close[n])
	}
	return verdict, released
}

// Release returns bytes before the claim ends.
func (c *Claim) Release(bytes int64) {
	if c == nil || bytes <= 0 {
		return
	}
	v := c.account.vm
	v.mu.Lock()
	defer v.mu.Unlock()
	if !c.ended {
		c.bytes -= bytes
		v.release(c.account.id, bytes)
	}
}

// End releases all bytes of the claim.
func (c *Claim) End() {
	if c == nil {
		return
	}
	v := c.account.vm
	v.mu.Lock()
	var atEnd []func()
	if !c.ended {
		c.ended = true
		v.budget.Ended(c.account.id, c.bytes)
		v.release(c.account.id, c.bytes)
		atEnd, c.atEnd = c.atEnd, nil
	}
	v.mu.Unlock()
	for _, f := range atEnd {
		f()
	}
	c.account.signalRoom()
}

// Ended reports whether the response was written, so that nothing may be held for it any more.
func (c *Claim) Ended() bool {
	if c == nil {
		return false
	}
	c.account.vm.mu.Lock()
	defer c.account.vm.mu.Unlock()
	return c.ended
}

// AtEnd makes End call f, or calls it at once after End.
func (c *Claim) AtEnd(f func()) {
	if c == nil {
		return
	}
	c.account.vm.mu.Lock()
	ended := c.ended
	if !ended {
		c.atEnd = append(c.atEnd, f)
	}
	c.account.vm.mu.Unlock()
	if ended {
		f()
	}
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

type claimKey struct{}

// WithClaim returns a context that carries a claim.
func WithClaim(ctx context.Context, c *Claim) context.Context {
	if c == nil {
		return ctx
	}
	return context.WithValue(ctx, claimKey{}, c)
}

// ClaimOf returns the claim that a context carries, or nil.
func ClaimOf(ctx context.Context) *Claim {
	c, _ := ctx.Value(claimKey{}).(*Claim)
	return c
}
