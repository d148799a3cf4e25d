package buffering

import (
	"context"
	"time"

	"heatherlock/steering/buffers"
)

// Account is the account of a caller's connection. It exists until the connection is closed and all
// claims have ended: an attempt that goes on after its caller left still holds bytes, and its writes
// may be cut. A nil *Account counts nothing.
type Account struct {
	vm *VM
	id buffers.ID
	// onCut closes the caller's connection.
	onCut func()
	// writers are the blocked writes of the connection, which are closed when it is cut.
	writers map[*Writer]struct{}
	// claims counts those that have not ended; closed is set by Close. Both are guarded by the VM's lock.
	claims int
	closed bool
	// running counts the claims that have not been answered, and is guarded by the VM's lock.
	running int
	// room is signalled when a request of the connection ends.
	room chan struct{}
}

// Open opens the account of a connection. onCut must close the connection and not block; it may be
// called after Close.
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

// Close closes the account once all its claims have ended.
func (a *Account) Close() {
	if a == nil {
		return
	}
	a.vm.mu.Lock()
	defer a.vm.mu.Unlock()
	a.closed = true
	a.removeUnused()
}

// removeUnused removes the account if its connection is closed and no claim is left. The VM's lock must be
// held.
func (a *Account) removeUnused() {
	if a.closed && a.claims == 0 {
		a.vm.budget.Close(a.id)
		delete(a.vm.accounts, a.id)
	}
}

// AwaitRoom waits until a further request may be read from the connection. It must not be called while a request
// is being read.
func (a *Account) AwaitRoom(ctx context.Context) {
	if a == nil {
		return
	}
	for {
		a.vm.mu.Lock()
		ok := a.vm.budget.MayReadOn(a.id, a.running)
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

// Claim holds the bytes of a request and its response. Whoever uses these bytes retains the claim, and
// they stay reserved until all have released it. A nil *Claim grants everything.
type Claim struct {
	account *Account
	// The fields below are guarded by the VM's lock.
	bytes int64
	// holders counts the request itself until End, and those that have retained the claim.
	holders int
	// answered is set by End.
	answered bool
	atEnd    []func()
}

// NewClaim returns a claim without bytes, to be ended with End.
func (a *Account) NewClaim() *Claim {
	if a == nil {
		return nil
	}
	a.vm.mu.Lock()
	defer a.vm.mu.Unlock()
	a.claims++
	a.running++
	return &Claim{account: a, holders: 1}
}

// Retain keeps the bytes reserved until Release. It returns false, and must not be followed by Release, if
// the claim has ended.
func (c *Claim) Retain() bool {
	if c == nil {
		return true
	}
	c.account.vm.mu.Lock()
	defer c.account.vm.mu.Unlock()
	if c.holders == 0 {
		return false
	}
	c.holders++
	return true
}

// Release ends the use of the bytes for which Retain was called. The last use that ends returns them.
func (c *Claim) Release() {
	if c == nil {
		return
	}
	c.account.vm.mu.Lock()
	c.drop()
	c.account.vm.mu.Unlock()
	c.account.signalRoom()
}

// drop removes a holder. The VM's lock must be held.
func (c *Claim) drop() {
	if c.holders--; c.holders > 0 {
		return
	}
	a := c.account
	a.vm.budget.Ended(a.id, c.bytes)
	a.vm.release(a.id, c.bytes)
	c.bytes = 0
	a.claims--
	a.removeUnused()
}

// Reserve reserves bytes, and reports whether they may be used. It waits a little if connections
// are cut for them. It returns false once the claim has ended.
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
	if c.holders == 0 {
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

// End records that the response was written or given up, and releases the claim for the request itself.
// Attempts that go on keep their bytes.
func (c *Claim) End() {
	if c == nil {
		return
	}
	v := c.account.vm
	v.mu.Lock()
	var atEnd []func()
	if !c.answered {
		c.answered = true
		c.account.running--
		c.drop()
		atEnd, c.atEnd = c.atEnd, nil
	}
	v.mu.Unlock()
	for _, f := range atEnd {
		f()
	}
	c.account.signalRoom()
}

// Answered reports whether the response was written or given up, so that no other response is kept.
func (c *Claim) Answered() bool {
	if c == nil {
		return false
	}
	c.account.vm.mu.Lock()
	defer c.account.vm.mu.Unlock()
	return c.answered
}

// AtEnd makes End call f, or calls it at once after End.
func (c *Claim) AtEnd(f func()) {
	if c == nil {
		return
	}
	c.account.vm.mu.Lock()
	answered := c.answered
	if !answered {
		c.atEnd = append(c.atEnd, f)
	}
	c.account.vm.mu.Unlock()
	if answered {
		f()
	}
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
