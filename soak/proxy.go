package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"heatherlock/responses"
)

// Mode is how a proxy treats the traffic of its connections.
type Mode int32

const (
	// Pass forwards everything unchanged.
	Pass Mode = iota
	// Delay forwards each chunk after chunkDelay.
	Delay
	// Blackhole reads and drops everything, in both directions.
	Blackhole
	// OneWay forwards requests and drops responses.
	OneWay
	// Reset resets every connection, open or new.
	Reset
	// SlowRead reads requests in small pieces with pauses.
	SlowRead
	// Silent reads nothing and forwards nothing. Connections stay open.
	Silent
)

var modeNames = [...]string{"pass", "delay", "silence", "one way", "reset", "slow reading", "silent"}

// String returns the name of the mode as plans print it.
func (m Mode) String() string { return modeNames[m] }

// silentCheck is how often a silent proxy looks whether it still is.
const silentCheck = 20 * time.Millisecond

// chunkDelay is the delay that mode Delay adds to each chunk of up to 16 KiB.
const chunkDelay = 60 * time.Millisecond

// proxy forwards TCP connections to a target or the store.
type proxy struct {
	listener net.Listener
	// listen opens its listeners.
	listen   func(address string) (net.Listener, error)
	upstream atomic.Value // string
	mode     atomic.Int32

	mu     sync.Mutex
	closed bool
	conns  map[net.Conn]int // by the entry VM that opened them, or anyVM
	links  map[int]*link
}

// link is the way of one entry VM to a proxy.
type link struct {
	listener net.Listener // nil while the link is cut
	mode     Mode         // of the open connections during a cut
}

// anyVM stands for all entry VMs together.
const anyVM = -1

// newProxy starts a proxy to an upstream address on a free loopback port.
func newProxy(upstream string) (*proxy, error) {
	return newProxyListening(upstream, func(address string) (net.Listener, error) { return net.Listen("tcp4", address) })
}

func newProxyListening(upstream string, listen func(address string) (net.Listener, error)) (*proxy, error) {
	listener, err := listen("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, listen: listen, conns: make(map[net.Conn]int), links: make(map[int]*link)}
	p.upstream.Store(upstream)
	go p.accept(listener, anyVM)
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// set changes the mode. Reset also resets the open connections.
func (p *proxy) set(m Mode) {
	p.mode.Store(int32(m))
	if m == Reset {
		p.resetAll()
	}
}

func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resetWhere(func(int) bool { return true })
}

// resetWhere resets the connections of the entry VMs that match. p.mu must be held.
func (p *proxy) resetWhere(match func(vm int) bool) {
	for c, vm := range p.conns {
		if !match(vm) {
			continue
		}
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (p *proxy) isClosed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closed
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	p.closed = true
	for _, l := range p.links {
		if l.listener != nil {
			_ = l.listener.Close()
		}
	}
	p.mu.Unlock()
	p.resetAll()
}

// modeOf returns how the connections of an entry VM are treated.
func (p *proxy) modeOf(vm int) Mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.links[vm]; l != nil && l.mode != Pass {
		return l.mode
	}
	return Mode(p.mode.Load())
}

func (p *proxy) accept(listener net.Listener, vm int) {
	for {
		from, err := listener.Accept()
		if err != nil {
			return
		}
		if p.modeOf(vm) == Reset {
			_ = from.(*net.TCPConn).SetLinger(0)
			_ = from.Close()
			continue
		}
		go p.relay(from, vm)
	}
}

func (p *proxy) relay(from net.Conn, vm int) {
	upstream, err := net.DialTimeout("tcp4", p.upstream.Load().(string), time.Second)
	if err != nil {
		_ = from.(*net.TCPConn).SetLinger(0)
		_ = from.Close()
		return
	}
	p.mu.Lock()
	p.conns[from], p.conns[upstream] = vm, vm
	p.mu.Unlock()
	var copies sync.WaitGroup
	near, far := responses.NewConn(from), responses.NewConn(upstream)
	copies.Go(func() { p.copyOneWay(far, near, vm, false) })
	copies.Go(func() { p.copyOneWay(near, far, vm, true) })
	copies.Wait()
	p.mu.Lock()
	delete(p.conns, from)
	delete(p.conns, upstream)
	p.mu.Unlock()
}

// copyOneWay copies one direction of a connection; answers is set for the direction from
// the upstream. It forwards a reset as a reset and an orderly close as a close.
func (p *proxy) copyOneWay(to, from *responses.Conn, vm int, answers bool) {
	buffer := make([]byte, 16<<10)
	for {
		piece := buffer
		if !answers && p.modeOf(vm) == SlowRead {
			time.Sleep(slowPause)
			piece = buffer[:slowPiece]
		}
		for p.modeOf(vm) == Silent && !p.isClosed() {
			time.Sleep(silentCheck)
		}
		n, err := from.Read(piece)
		switch mode := p.modeOf(vm); {
		case mode == Blackhole || mode == OneWay && answers:
			n = 0
		case mode == Delay:
			time.Sleep(chunkDelay)
		}
		if n > 0 {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				err = failed
			}
		}
		if err == nil {
			continue
		}
		if err != io.EOF && !errors.Is(err, responses.ErrEnded) {
			_ = to.NetConn().(*net.TCPConn).SetLinger(0)
		}
		_ = to.Close()
		_ = from.Close()
		return
	}
}
