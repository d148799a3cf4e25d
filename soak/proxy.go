package soak

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Mode is what a proxy does with what passes.
type Mode int32

// Modes.
const (
	Pass Mode = iota
	// Delay holds each piece back for a while.
	Delay
	// Silence takes what comes and passes nothing on, either way.
	Silence
	// OneWay passes requests on and swallows answers.
	OneWay
	// Reset breaks each connection.
	Reset
)

var modeNames = [...]string{"pass", "delay", "silence", "one way", "reset"}

// String names the mode in plans and findings.
func (m Mode) String() string { return modeNames[m] }

// pieceDelay is what Delay adds to each piece.
const pieceDelay = 60 * time.Millisecond

// proxy passes TCP connections on to a target or the store.
type proxy struct {
	listener net.Listener
	to       atomic.Value // string
	mode     atomic.Int32

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// newProxy listens on a free loopback port.
func newProxy(to string) (*proxy, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, conns: make(map[net.Conn]struct{})}
	p.to.Store(to)
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// set changes the mode; Reset also breaks what is open.
func (p *proxy) set(m Mode) {
	p.mode.Store(int32(m))
	if m == Reset {
		p.breakAll()
	}
}

func (p *proxy) breakAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.breakAll()
}

func (p *proxy) accept() {
	for {
		from, err := p.listener.Accept()
		if err != nil {
			return
		}
		if Mode(p.mode.Load()) == Reset {
			_ = from.(*net.TCPConn).SetLinger(0)
			_ = from.Close()
			continue
		}
		go p.join(from)
	}
}

func (p *proxy) join(from net.Conn) {
	to, err := net.DialTimeout("tcp4", p.to.Load().(string), time.Second)
	if err != nil {
		_ = from.(*net.TCPConn).SetLinger(0)
		_ = from.Close()
		return
	}
	p.mu.Lock()
	p.conns[from], p.conns[to] = struct{}{}, struct{}{}
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.pass(to, from, false) })
	both.Go(func() { p.pass(from, to, true) })
	both.Wait()
	p.mu.Lock()
	delete(p.conns, from)
	delete(p.conns, to)
	p.mu.Unlock()
}

// pass copies one way. A reset on one side is passed on as one, an end as an end.
func (p *proxy) pass(to, from net.Conn, answers bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		switch mode := Mode(p.mode.Load()); {
		case mode == Silence || mode == OneWay && answers:
			n = 0
		case mode == Delay:
			time.Sleep(pieceDelay)
		}
		if n > 0 {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				err = failed
			}
		}
		if err == nil {
			continue
		}
		if err != io.EOF {
			_ = to.(*net.TCPConn).SetLinger(0)
		}
		_ = to.Close()
		_ = from.Close()
		return
	}
}
