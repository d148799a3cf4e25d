package buffering

import (
	"net"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"heatherlock/steering/buffers"
)

var testBounds = buffers.Config{Total: 1000, PerConnection: 300, MinStall: time.Millisecond, MaxStall: 10 * time.Millisecond}

// claimModel is what the reference knows of a claim.
type claimModel struct {
	*Claim
	account  int
	bytes    int64
	holders  int
	answered bool
	writers  []*Writer
}

// model is a VM with its reference: a list of accounts, and the claims on each.
type model struct {
	t        *rapid.T
	vm       *VM
	accounts []*Account
	open     []bool
	claims   []*claimModel
}

// Guards against bytes that are given back while an attempt still uses them, or never, and against a process
// that ends because a connection is cut whose caller has left: a victim, or one with a blocked write.
func TestClaimsAgainstReference(t *testing.T) {
	rapid.Check(t, testClaims)
}

func testClaims(t *rapid.T) {
	m := &model{t: t, vm: NewVM(testBounds, log.NewNopLogger(), tally.NoopScope)}
	t.Repeat(map[string]func(*rapid.T){
		"connect": func(*rapid.T) {
			m.accounts, m.open = append(m.accounts, m.vm.Open(func() {})), append(m.open, true)
		},
		"close": func(t *rapid.T) {
			n := m.pickAccount(t)
			m.accounts[n].Close()
			m.open[n] = false
		},
		"request": func(t *rapid.T) {
			n := m.pickAccount(t)
			m.claims = append(m.claims, &claimModel{Claim: m.accounts[n].NewClaim(), account: n, holders: 1})
		},
		"retain": func(t *rapid.T) {
			if c := m.pickClaim(t); c.Retain() {
				c.holders++
			} else {
				assert.Equal(t, c.holders, 0)
			}
		},
		"release": func(t *rapid.T) {
			c := m.pickClaim(t)
			if c.attempts() == 0 {
				t.Skip("no attempt")
			}
			if len(c.writers) == c.attempts() {
				c.endWrites(1)
			}
			c.Release()
			c.holders--
		},
		"answer": func(t *rapid.T) {
			c := m.pickClaim(t)
			c.End()
			if !c.answered {
				c.answered = true
				c.holders--
			}
		},
		"reserve": func(t *rapid.T) {
			c, bytes := m.pickClaim(t), rapid.Int64Range(1, 600).Draw(t, "bytes")
			if c.Reserve(bytes) {
				assert.Check(t, c.holders > 0, "nothing is reserved for a request that has ended")
				c.bytes += bytes
			}
		},
		"block": func(t *rapid.T) {
			c := m.pickClaim(t)
			if len(c.writers) == c.attempts() {
				t.Skip("no attempt that does not write yet")
			}
			conn, other := net.Pipe()
			_ = other.Close()
			w := &Writer{Conn: conn, Claim: c.Claim, Side: buffers.Target, progress: time.Now()}
			w.begin()
			c.writers = append(c.writers, w)
		},
		"check": func(t *rapid.T) {
			c := m.pickClaim(t)
			if len(c.writers) == 0 {
				t.Skip("no blocked write")
			}
			w := c.writers[0]
			before := w.counted
			w.unsent += int64(rapid.IntRange(0, 300).Draw(t, "unsent"))
			if c.check(w, time.Now(), false) != nil {
				c.endWrites(len(c.writers))
			}
			c.bytes += w.counted - before
		},
		"wait": func(t *rapid.T) {
			time.Sleep(time.Duration(rapid.IntRange(1, 3000).Draw(t, "µs")) * time.Microsecond)
		},
		"": func(*rapid.T) { m.check() },
	})
	m.endAll()
}

// attempts returns how many hold the claim besides the request itself.
func (c *claimModel) attempts() int {
	if c.answered {
		return c.holders
	}
	return c.holders - 1
}

// endWrites ends blocked writes of the claim, n at most.
func (c *claimModel) endWrites(n int) {
	for ; n > 0 && len(c.writers) > 0; n-- {
		c.writers[0].unblocked()
		c.writers = c.writers[1:]
	}
}

func (m *model) pickAccount(t *rapid.T) int {
	var open []int
	for n := range m.accounts {
		if m.open[n] {
			open = append(open, n)
		}
	}
	if len(open) == 0 {
		t.Skip("no connection")
	}
	return rapid.SampledFrom(open).Draw(t, "connection")
}

func (m *model) pickClaim(t *rapid.T) *claimModel {
	if len(m.claims) == 0 {
		t.Skip("no request")
	}
	return rapid.SampledFrom(m.claims).Draw(t, "request")
}

// check compares what is held with the reference.
func (m *model) check() {
	held, used := int64(0), make(map[int]bool)
	for _, c := range m.claims {
		if c.holders > 0 {
			held += c.bytes
			used[c.account] = true
		}
	}
	got, _ := m.vm.Held()
	assert.Equal(m.t, got, held)
	for n, a := range m.accounts {
		assert.Equal(m.t, m.vm.accounts[a.id] != nil, m.open[n] || used[n])
	}
}

func (m *model) endAll() {
	for _, c := range m.claims {
		for c.attempts() > 0 {
			c.endWrites(len(c.writers))
			c.Release()
			c.holders--
		}
		c.End()
	}
	for _, a := range m.accounts {
		a.Close()
	}
	held, heldBack := m.vm.Held()
	assert.Equal(m.t, held, int64(0))
	assert.Equal(m.t, heldBack, 0)
	assert.Equal(m.t, len(m.vm.accounts), 0)
}
