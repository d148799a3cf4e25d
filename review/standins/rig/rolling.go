package main

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"
)

// Load of the scenario with a rolling restart: a patient and an urgent kind of request share a service, well below
// what its endpoints can run.
const (
	patientTimeout  = 6 * time.Second
	patientDeadline = 15 * time.Second
	patientAim      = 4 * time.Second
	patientRate     = 40.0 // per second
	urgentTimeout   = 2500 * time.Millisecond
	urgentDeadline  = 4 * time.Second
	urgentAim       = 500 * time.Millisecond
	urgentRate      = 60.0
	liveDeskRun     = 400 * time.Millisecond
	tenantCount     = 4
	// rollGap is the time from one stop to the next, rollRounds how often each machine is stopped.
	rollGap    = 2 * time.Second
	rollRounds = 2
)

// visit sends one request on a connection of its own and waits for its answer until its deadline.
func (d *deployment) visit(v view, method, path, key string, deadline time.Duration, made *calls) {
	address := v.addresses[rand.IntN(len(v.addresses))]
	conn, err := dialFront(address)
	if err != nil {
		return // it would use another address
	}
	defer conn.Close()
	a := &call{id: newID(), machine: d.byFront(address).name, sent: time.Now()}
	made.add(a)
	d.record.note("a client sends %s %s as %s to %s", method, path, a.id, a.machine)
	_ = conn.SetDeadline(a.sent.Add(deadline))
	text := requestText(method, path, a.id, deadline, nil)
	text = append(text[:len(text)-2], []byte("Api-Key: "+key+"\r\n\r\n")...)
	_, _ = conn.Write(text) // the read shows an error
	response, _, err := readAnswer(bufio.NewReader(conn), method)
	a.ended, a.err = time.Now(), err
	a.left = errors.Is(err, os.ErrDeadlineExceeded)
	if err != nil {
		d.record.note("the client gets no answer to %s: %v", a.id, err)
		return
	}
	a.status = response.StatusCode
	d.record.note("the client gets %d to %s", a.status, a.id)
}

// sendAt sends requests at a rate until ended is closed. Each client keeps an answer of the directory for three times
// the stated time.
func (d *deployment) sendAt(perSecond float64, method, path string, deadline time.Duration, made *calls, ended chan struct{}) {
	var running sync.WaitGroup
	defer running.Wait()
	views := make([]view, 12)
	for n := 0; ; n++ {
		select {
		case <-ended:
			return
		case <-time.After(time.Duration(float64(time.Second) / perSecond)):
		}
		v := &views[n%len(views)]
		if time.Since(v.at) > longCache*v.ttl {
			if next, err := d.resolve([]string{nearZone, farZone}[n%2], region); err == nil {
				*v = next
			}
		}
		if len(v.addresses) == 0 {
			continue
		}
		use, key := *v, fmt.Sprint("key-", n%tenantCount)
		running.Go(func() { d.visit(use, method, path, key, deadline, made) })
	}
}

// restartInTurn stops and starts all machines in turn, and returns how many requests were lost.
func restartInTurn(d *deployment, trouble bool) (lost int, err error) {
	var all []*endpoint
	for i := range 12 {
		zone := []string{nearZone, farZone}[i%2]
		e, err := startEndpoint(fmt.Sprintf("i-7f3a94%02d", i), "live-desk", zone, 6, liveDeskRun, d.record)
		if err != nil {
			return 0, err
		}
		all = append(all, e)
	}
	d.store.register(all...)
	d.store.tenants = tenantCount
	d.store.writeConfig([]route{{"highlight-list", "/list/", "safe", "live-desk", int(patientTimeout.Milliseconds()), int(patientAim.Milliseconds()), 2},
		{"rights-clear", "/clear/", "unsafe", "live-desk", int(urgentTimeout.Milliseconds()), int(urgentAim.Milliseconds()), 0}}, []string{"live-desk"})
	if err := d.start(); err != nil {
		return 0, err
	}
	time.Sleep(4 * time.Second) // stableWindowMs

	patient, urgent := &calls{}, &calls{}
	ended := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() { d.sendAt(patientRate, http.MethodGet, "/list/2f", patientDeadline, patient, ended) })
	clients.Go(func() { d.sendAt(urgentRate, http.MethodPost, "/clear/2f", urgentDeadline, urgent, ended) })
	time.Sleep(8 * time.Second)
	for range rollRounds {
		for _, m := range d.machines {
			if trouble {
				m.restart()
			}
			time.Sleep(rollGap)
		}
		time.Sleep(graceTime)
	}
	close(ended)
	clients.Wait()

	for _, a := range append(patient.list(), urgent.list()...) {
		r := d.record.runOf(a.id)
		stop, stopping := d.byName(a.machine).stoppedBefore(a.ended)
		took := a.ended.Sub(a.sent)
		switch {
		case a.status != 0 && a.status != http.StatusBadGateway && a.status != http.StatusGatewayTimeout, a.left:
		case r.count == 0 || r.finishedAt.Before(a.ended) && r.finished:
			d.record.note("%s to %s got %d, and no endpoint was at work on it; it does not count", a.id, a.machine, a.status)
		case !stopping || a.ended.Sub(stop) > graceTime+time.Second:
			d.record.note("%s to %s got %d after %.0f ms, and that machine was not stopping; it does not count", a.id, a.machine, a.status, took.Seconds()*1000)
		case took >= urgentTimeout || a.ended.Sub(stop) > graceTime*5/6:
			d.record.note("%s to %s got %d after %.0f ms; it does not count", a.id, a.machine, a.status, took.Seconds()*1000)
		default:
			lost++
			d.record.note("LOST %s: %s, which got SIGTERM %.3f s before, broke it off after %.0f ms with %d while an endpoint was at work", a.id, a.machine, a.ended.Sub(stop).Seconds(), took.Seconds()*1000, a.status)
		}
	}
	return lost, nil
}
