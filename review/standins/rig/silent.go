package main

import (
	"bufio"
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// Load of the scenario with silent endpoints. Uploads are as large as the largest that the site file names.
const (
	uploadBytes    = 300 << 10
	uploadInterval = 35 * time.Millisecond
	uploadDeadline = 2 * time.Second
	// leaveShare of the upload clients leave after leaveAfter, half of the objective.
	leaveShare = 0.3
	leaveAfter = 200 * time.Millisecond
	// silentFor is how long an endpoint is down, silentCycle the time from one to the next.
	silentFor      = 4500 * time.Millisecond
	silentCycle    = 9 * time.Second
	silentCycles   = 4
	bookers        = 36
	bookingBytes   = 4 << 10
	bookingTimeout = 1000 * time.Millisecond
	bookingTime    = 250 * time.Millisecond
)

// booker is a client that sends one unsafe request after the other on a connection that it keeps.
type booker struct {
	d     *deployment
	name  string
	calls *calls
	ended chan struct{}
}

func (c *booker) run() {
	var v view
	body := bytes.Repeat([]byte("b"), bookingBytes)
	for {
		if time.Since(v.at) > v.ttl {
			if next, err := c.d.resolve(nearZone, region); err == nil {
				v = next
			}
		}
		if len(v.addresses) == 0 {
			continue
		}
		address := v.addresses[rand.IntN(len(v.addresses))]
		conn, err := dialFront(address)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		in := bufio.NewReader(conn)
		for until := time.Now().Add(v.ttl); time.Now().Before(until); {
			select {
			case <-c.ended:
				_ = conn.Close()
				return
			default:
			}
			if !c.book(conn, in, c.d.byFront(address), body) {
				break
			}
		}
		_ = conn.Close()
	}
}

// book sends a request, and reports whether the connection stays open.
func (c *booker) book(conn net.Conn, in *bufio.Reader, m *machine, body []byte) bool {
	a := &call{id: newID(), machine: m.name, kept: true, sent: time.Now()}
	c.calls.add(a)
	c.d.record.note("%s sends %s to %s", c.name, a.id, m.name)
	_ = conn.SetDeadline(time.Now().Add(2500 * time.Millisecond))
	if _, err := conn.Write(requestText(http.MethodPost, "/book/2f", a.id, 2500*time.Millisecond, body)); err != nil {
		a.err, a.ended = err, time.Now()
		return false
	}
	response, _, err := readAnswer(in, http.MethodPost)
	a.ended, a.err = time.Now(), err
	if err != nil {
		c.d.record.note("%s gets no answer to %s: %v", c.name, a.id, err)
		return false
	}
	a.status = response.StatusCode
	c.d.record.note("%s gets %d to %s", c.name, a.status, a.id)
	return !response.Close
}

// upload sends one upload on a connection of its own. If it leaves, it closes that after leaveAfter.
func upload(d *deployment, v view, body []byte, leaves bool) {
	address := v.addresses[rand.IntN(len(v.addresses))]
	conn, err := dialFront(address)
	if err != nil {
		return
	}
	defer conn.Close()
	id := newID()
	d.record.note("an upload client sends %s to %s, leaves %v", id, d.byFront(address).name, leaves)
	limit := uploadDeadline
	if leaves {
		limit = leaveAfter
	}
	_ = conn.SetDeadline(time.Now().Add(limit))
	if _, err := conn.Write(requestText(http.MethodPost, "/upload/2f", id, uploadDeadline, body)); err != nil {
		d.record.note("the upload client has left %s: %v", id, err)
		return
	}
	response, _, err := readAnswer(bufio.NewReader(conn), http.MethodPost)
	if err != nil {
		d.record.note("the upload client has left %s: %v", id, err)
		return
	}
	d.record.note("the upload client gets %d to %s", response.StatusCode, id)
}

// leaveSilentEndpoints lets endpoints of the upload service fall silent in turn while some upload clients leave,
// and returns how many requests on kept connections were passed on to sound endpoints and got no answer.
func leaveSilentEndpoints(d *deployment, trouble bool) (lost int, err error) {
	var vault, dispatch []*endpoint
	for i := range 16 {
		zone := []string{nearZone, farZone}[i%2]
		service, slots, work, group := "dispatch", 4, bookingTime, &dispatch
		if i < 6 {
			service, slots, work, group = "vault", 3, runTime, &vault
		}
		e, err := startEndpoint(fmt.Sprintf("i-7f3a92%02d", i), service, zone, slots, work, d.record)
		if err != nil {
			return 0, err
		}
		*group = append(*group, e)
	}
	d.store.register(append(vault, dispatch...)...)
	d.store.writeConfig([]route{{"booking", "/book/", "unsafe", "dispatch", int(bookingTimeout.Milliseconds()), 400, 1},
		{"upload", "/upload/", "upload", "vault", int(uploadDeadline.Milliseconds()), 400, 1}}, []string{"dispatch", "vault"})
	if err := d.start(); err != nil {
		return 0, err
	}
	time.Sleep(4 * time.Second) // stableWindowMs

	made := &calls{}
	ended := make(chan struct{})
	var clients sync.WaitGroup
	for i := range bookers {
		c := &booker{d: d, name: fmt.Sprint("client ", i), calls: made, ended: ended}
		clients.Go(c.run)
	}
	clients.Go(func() { sendUploads(d, trouble, ended) })
	time.Sleep(5 * time.Second)
	for n := range silentCycles {
		if trouble {
			d.record.note("%s falls silent", vault[n].id)
			vault[n].setSilent(true)
			time.AfterFunc(silentFor, func() { vault[n].setSilent(false) })
		}
		time.Sleep(silentCycle)
	}
	close(ended)
	clients.Wait()

	for _, m := range d.machines {
		ends := m.ownEnds()
		if len(ends) == 0 {
			continue
		}
		d.record.note("%s ended by itself %d times: %v; its last words:", m.name, len(ends), ends)
		for _, line := range m.lastPanic(8) {
			d.record.note("  %s", line)
		}
	}
	for _, a := range made.list() {
		if r := d.record.runOf(a.id); a.err != nil && r.count > 0 && a.ended.Sub(a.sent) < bookingTimeout {
			lost++
			d.record.note("LOST %s: passed on by %s to a sound endpoint, its connection closed after %.0f ms without an answer", a.id, a.machine, a.ended.Sub(a.sent).Seconds()*1000)
		}
	}
	return lost, nil
}

func sendUploads(d *deployment, trouble bool, ended chan struct{}) {
	body := bytes.Repeat([]byte("u"), uploadBytes)
	var v view
	var running sync.WaitGroup
	defer running.Wait()
	for {
		select {
		case <-ended:
			return
		case <-time.After(uploadInterval):
		}
		if time.Since(v.at) > v.ttl {
			if next, err := d.resolve(nearZone, region); err == nil {
				v = next
			}
		}
		if len(v.addresses) == 0 {
			continue
		}
		use, leaves := v, trouble && rand.Float64() < leaveShare
		running.Go(func() { upload(d, use, body, leaves) })
	}
}
