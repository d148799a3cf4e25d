package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// The deployment of the scenario: one region of two zones with two machines each.
const (
	region      = "manitoba"
	nearZone    = "wpg-a"
	farZone     = "wpg-b"
	readTimeout = 800 * time.Millisecond
	deadline    = 2 * time.Second
	runTime     = 60 * time.Millisecond
	// sendInterval is the time between two requests of a client on its connection, and mostWaiting how many
	// it sends at most without an answer.
	sendInterval = 20 * time.Millisecond
	mostWaiting  = 14
	// longCache is how many times the stated time some clients keep an answer of the directory.
	longCache = 3
)

var zonesOfRegion = map[string]string{nearZone: region, farZone: region}

// pipeliner is a client that sends further safe requests before the first has been answered.
type pipeliner struct {
	d     *deployment
	name  string
	calls *calls
	view  view
	ended chan struct{} // closed when the client is to stop
}

// run uses connections one after the other until the client is to stop.
func (c *pipeliner) run() {
	for !c.isEnded() {
		if !c.refresh() {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		address := c.view.addresses[rand.IntN(len(c.view.addresses))]
		conn, err := dialFront(address)
		if err != nil {
			c.view.at = time.Time{}
			continue
		}
		c.use(conn, address)
		_ = conn.Close()
	}
}

func (c *pipeliner) isEnded() bool {
	select {
	case <-c.ended:
		return true
	default:
		return false
	}
}

// refresh asks the directory again once the last answer is too old.
func (c *pipeliner) refresh() bool {
	if time.Since(c.view.at) < longCache*c.view.ttl {
		return true
	}
	next, err := c.d.resolve(nearZone, region)
	if err != nil {
		return len(c.view.addresses) > 0 // it is kept for longer if there is no new one
	}
	c.view = next
	c.d.record.note("%s is told %v for %v", c.name, next.addresses, next.ttl)
	return true
}

// pipeline is a connection with the requests on it that wait for their answers.
type pipeline struct {
	net.Conn
	mu      sync.Mutex
	waiting []*call
	closing bool // no further request is sent
}

// use sends requests on a connection until an answer closes it, the directory no longer names the address, or
// the connection ends.
func (c *pipeliner) use(conn net.Conn, address string) {
	p := &pipeline{Conn: conn}
	machine := c.d.byFront(address).name
	var sender sync.WaitGroup
	sender.Go(func() { c.send(p, machine, address) })
	in := bufio.NewReader(conn)
	for c.readNext(p, in) {
	}
	p.mu.Lock()
	p.closing = true
	p.mu.Unlock()
	sender.Wait()
}

// send sends requests, whether or not the earlier ones are answered.
func (c *pipeliner) send(p *pipeline, machine, address string) {
	for {
		leave := c.isEnded() || !c.refresh() || !slices.Contains(c.view.addresses, address)
		p.mu.Lock()
		if leave && len(p.waiting) == 0 {
			_ = p.Close()
		}
		p.closing = p.closing || leave
		if p.closing {
			p.mu.Unlock()
			return
		}
		if len(p.waiting) < mostWaiting {
			a := &call{id: newID(), machine: machine, kept: true, sent: time.Now()}
			p.waiting = append(p.waiting, a)
			c.calls.add(a)
			c.d.record.note("%s sends %s to %s", c.name, a.id, machine)
			_, _ = p.Write(requestText(http.MethodGet, "/read/2f", a.id, deadline, nil)) // what was answered is still read
		}
		p.mu.Unlock()
		time.Sleep(sendInterval)
	}
}

// readNext reads an answer, and reports whether the connection stays in use.
func (c *pipeliner) readNext(p *pipeline, in *bufio.Reader) bool {
	_ = p.SetReadDeadline(time.Now().Add(deadline))
	response, _, err := readAnswer(in, http.MethodGet)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil || len(p.waiting) == 0 {
		c.fail(p.waiting, err)
		return false
	}
	first := p.waiting[0]
	p.waiting = p.waiting[1:]
	first.status, first.ended = response.StatusCode, time.Now()
	c.d.record.note("%s gets %d to %s, close %v", c.name, first.status, first.id, response.Close)
	if response.Close {
		for _, a := range p.waiting { // they count as not read
			a.left, a.ended = true, time.Now()
		}
		return false
	}
	return !p.closing || len(p.waiting) > 0
}

// fail records that a connection ended without the answers to the requests that wait.
func (c *pipeliner) fail(waiting []*call, err error) {
	for _, a := range waiting {
		a.ended, a.err = time.Now(), err
		c.d.record.note("%s gets no answer to %s: %v", c.name, a.id, err)
	}
}

// stopUnderPipelines stops one machine as planned while clients keep several requests on each of their
// connections, and returns how many requests were lost.
func stopUnderPipelines(d *deployment, trouble bool) (lost int, err error) {
	var all []*endpoint
	for i := range 12 {
		zone := []string{nearZone, farZone}[i%2]
		e, err := startEndpoint(fmt.Sprintf("i-7f3a91%02d", i), "availability", zone, 4, runTime, d.record)
		if err != nil {
			return 0, err
		}
		all = append(all, e)
	}
	d.store.register(all...)
	d.store.writeConfig([]route{{"lookup", "/read/", "safe", "availability", int(readTimeout.Milliseconds()), 300, 2}}, []string{"availability"})
	if err := d.start(); err != nil {
		return 0, err
	}
	time.Sleep(4 * time.Second) // stableWindowMs

	made := &calls{}
	ended := make(chan struct{})
	var clients sync.WaitGroup
	for i := range 8 {
		c := &pipeliner{d: d, name: fmt.Sprint("client ", i), calls: made, ended: ended}
		clients.Go(c.run)
	}
	time.Sleep(longCache*2*time.Second + 300*time.Millisecond) // all have just asked the directory again
	stopped := d.machines[0]
	began := time.Now()
	if trouble {
		stopped.terminate()
	}
	time.Sleep(graceTime + 2*time.Second)
	close(ended)
	clients.Wait()

	for _, a := range made.list() {
		r := d.record.runOf(a.id)
		switch {
		case a.err == nil || a.left || a.sent.Before(began.Add(-time.Second)):
		case trouble && a.machine != stopped.name:
			d.record.note("%s to %s failed, which was not stopped: %v", a.id, a.machine, a.err)
		case r.count == 0:
			d.record.note("%s was not passed on; it does not count", a.id)
		case a.ended.Sub(a.sent) >= readTimeout:
			d.record.note("%s reached the timeout of its route; it does not count", a.id)
		case trouble && a.sent.Before(began.Add(3*time.Second)):
			d.record.note("%s was sent in the first 3 s; it does not count", a.id)
		default:
			lost++
			d.record.note("LOST %s: sent %.3f s after SIGTERM, passed on to an endpoint, cut %.0f ms later without an answer", a.id, a.sent.Sub(began).Seconds(), a.ended.Sub(a.sent).Seconds()*1000)
		}
	}
	return lost, nil
}
