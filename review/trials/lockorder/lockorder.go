// Package lockorder holds a mutex for trials on a scratch copy. It reports, to the file that
// LOCKORDER_FILE names, which locks are taken while others are held, and orders that contradict each
// other: two goroutines that follow them may wait for each other for ever.
package lockorder

import (
	"bytes"
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"time"
)

// longHold is the time from which on holding a lock is reported.
const longHold = 100 * time.Millisecond

// Mutex replaces sync.Mutex.
type Mutex struct{ mu sync.Mutex }

type holding struct {
	m     *Mutex
	owner string
	since time.Time
}

// edge says that the lock of the second owner was taken while that of the first was held.
type edge [2]string

var (
	out = open()

	guard sync.Mutex
	held  = map[uint64][]holding{} // by goroutine
	edges = map[edge]string{}      // with the stack that was first seen
	named = map[*Mutex]string{}    // the type whose method locked it first
)

func open() *os.File {
	f, err := os.OpenFile(os.Getenv("LOCKORDER_FILE"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return os.Stderr
	}
	return f
}

// Lock locks m.
func (m *Mutex) Lock() {
	id := goroutine()
	guard.Lock()
	owner, ok := named[m]
	if !ok {
		owner = callerType()
		named[m] = owner
	}
	for _, h := range held[id] {
		note(h, m, owner)
	}
	guard.Unlock()
	m.mu.Lock()
	guard.Lock()
	held[id] = append(held[id], holding{m, owner, time.Now()})
	guard.Unlock()
}

func note(h holding, m *Mutex, owner string) {
	e := edge{h.owner, owner}
	if h.m == m {
		fmt.Fprintf(out, "locked twice: %s\n%s\n", owner, stack())
		return
	}
	if _, known := edges[e]; known || h.owner == owner {
		return
	}
	edges[e] = stack()
	fmt.Fprintf(out, "order: %s, then %s\n", h.owner, owner)
	back := pathBetween(owner, h.owner, map[string]bool{})
	if back == nil {
		return
	}
	fmt.Fprintf(out, "contradiction: %s, then %s; elsewhere %s\n%s\n", h.owner, owner, strings.Join(back, ", then "), edges[e])
	for i := range len(back) - 1 {
		fmt.Fprintf(out, "elsewhere:\n%s\n", edges[edge{back[i], back[i+1]}])
	}
}

// pathBetween returns the owners from one to another along the edges seen, or nil.
func pathBetween(from, to string, seen map[string]bool) []string {
	if from == to {
		return []string{to}
	}
	seen[from] = true
	for e := range edges {
		if e[0] == from && !seen[e[1]] {
			if rest := pathBetween(e[1], to, seen); rest != nil {
				return append([]string{from}, rest...)
			}
		}
	}
	return nil
}

// Unlock unlocks m.
func (m *Mutex) Unlock() {
	guard.Lock()
	if !release(goroutine(), m) {
		for id := range held { // locked by another goroutine
			if release(id, m) {
				break
			}
		}
	}
	guard.Unlock()
	m.mu.Unlock()
}

func release(id uint64, m *Mutex) bool {
	for i, h := range held[id] {
		if h.m != m {
			continue
		}
		if d := time.Since(h.since); d > longHold {
			fmt.Fprintf(out, "held for %v: %s\n", d, h.owner)
		}
		held[id] = append(held[id][:i], held[id][i+1:]...)
		if len(held[id]) == 0 {
			delete(held, id)
		}
		return true
	}
	return false
}

func goroutine() uint64 {
	var b [40]byte
	id, _ := strconv.ParseUint(string(bytes.Fields(b[:runtime.Stack(b[:], false)])[1]), 10, 64) // the format is stable
	return id
}

// callerType returns the type whose method called Lock.
func callerType() string {
	var pcs [4]uintptr
	frame, _ := runtime.CallersFrames(pcs[:runtime.Callers(3, pcs[:])]).Next()
	name := frame.Function
	if i := strings.LastIndex(name, ")"); i >= 0 {
		return name[:i+1]
	}
	return name
}

func stack() string {
	b := make([]byte, 8<<10)
	return string(b[:runtime.Stack(b, false)])
}
