package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"heatherlock/responses"
	"heatherlock/standin/endpoint"
)

// broken are purchases and uploads at targets whose responses break the protocol, or break off while an upload is written.
var broken = part{name: "broken",
	prepare: func(s *system) error {
		s.addPartRoute("brittle", "upload", brittleService, time.Second, 2*time.Second, 0)
		for n := range brittleTargets {
			if err := s.addPartTarget(brittleService, n, targetRunTime, listenPlain); err != nil {
				return err
			}
		}
		return nil
	},
	plan: func(o Options) []step {
		r := o.random(29)
		var plan []step
		for at := 2 * time.Second; at < o.Length-recoveryPhase; at += time.Duration(400+r.IntN(800)) * time.Millisecond {
			n, script, every, span := r.IntN(brittleTargets), r.IntN(len(brokenScripts)), 1+r.IntN(3), time.Duration(500+r.IntN(1000))*time.Millisecond
			plan = append(plan, step{at, fmt.Sprintf("brittle target %d answers one of %d with script %d for %v", n, every, script, span), func(s *system) {
				t := s.partTargetsOf(brittleService)[n]
				t.SetScript(brokenScripts[script])
				t.injectFault(endpoint.Scripted, every, span)
			}})
		}
		return plan
	},
	run: func(s *system, o Options) {
		var all sync.WaitGroup
		r := o.random(600)
		for n, began := 0, time.Now(); o.pause(began, time.Duration(15+r.IntN(25))*time.Millisecond); n++ {
			d, size, version := s.daemons[r.IntN(len(s.daemons))], []int{1, 400 << 10}[r.IntN(2)], []string{"1.0", "1.1"}[r.IntN(2)]
			all.Go(func() { s.sendBrittle(d, fmt.Sprint("brittle-", n), version, size) })
		}
		all.Wait()
	}}

const (
	brittleService = "kiln"
	brittleTargets = 2

	scriptNames = "X-Request-Id: {id}\r\nX-Response-Signature: proof\r\n"
	forged      = "HTTP/1.1 200 OK\r\n" + scriptNames + "Content-Length: 6\r\n\r\nforged"
)

var brokenScripts = []endpoint.Script{
	{Text: "HTTP/1.1 200 OK\r\n" + scriptNames + "\r\nthe whole", Early: true, End: endpoint.EndReset},
	{Text: "HTTP/1.1 200 OK\r\n" + scriptNames + "\r\nthe whole", End: endpoint.EndReset},
	{Text: "HTTP/1.1 200 OK\r\n" + scriptNames + "Content-Le"},
	{Text: "HTTP/1.1 200 OK\r\n" + scriptNames + "Content-Length : 4\r\n\r\nthe whole"},
	{Text: "HTTP/1.1 200 OK\r\n" + scriptNames + "X Bad: 1\r\nContent-Length: 4\r\n\r\nthe ", End: endpoint.EndOpen},
	{Text: "HTTP/1.1 000 None\r\n" + scriptNames + "\r\n" + forged},
	{Text: "HTTP/1.1 600 None\r\n" + scriptNames + "Content-Length: 4\r\n\r\nthe "},
	{Text: "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: other\r\n\r\n" + forged, End: endpoint.EndOpen},
	{Text: "HTTP/1.1 103 Early Hints\r\nX\x01Bad: 1\r\n\r\n" + forged},
	{Text: "HTTP/1.0 200 OK\r\n" + scriptNames + "Transfer-Encoding: chunked\r\n\r\n4\r\nthe \r\n0\r\n\r\n"},
}

// sendBrittle sends a request with a body, and checks that a success is the whole response of a target, and that it has not
// run if it is refused with that promise. It reads while it writes.
func (s *system) sendBrittle(d *daemon, id, version string, size int) {
	raw, err := net.DialTimeout("tcp4", d.address(s.ports[0]), time.Second)
	if err != nil {
		return
	}
	defer raw.Close()
	conn := responses.NewConn(raw)
	_ = conn.SetDeadline(time.Now().Add(callDeadline + finalAnswerGrace)) // without it the run would not end, which shows
	go func() {
		_, _ = fmt.Fprintf(conn, "POST /brittle/1 HTTP/%s\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nApi-Key: %s\r\nContent-Length: %d\r\n\r\n%s",
			version, host, id, callDeadline.Milliseconds(), apiKeyOf(workspaceNames[1]), size, strings.Repeat("x", size)) // the response may come before its end
	}()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return
	}
	time.Sleep(300 * time.Millisecond) // a refused request may run later
	ran := s.runCount(id)
	switch status := response.StatusCode; {
	case status < 300 && !s.isCompleteAnswer(string(body)):
		s.findings.add("request %s of %d bytes got %d from %s with a body of %d bytes that is no target's whole one: %.40q", id, size, status, d.name, len(body), body)
	case status > 599 || status < 200:
		s.findings.add("request %s got status %d from %s", id, status, d.name)
	case ran > 0 && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest):
		s.findings.add("request %s was refused by %s with %d and ran", id, d.name, status)
	}
	if ran > 1 {
		s.findings.add("request %s through %s ran %d times", id, d.name, ran)
	}
}
