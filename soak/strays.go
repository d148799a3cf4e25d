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

	"heatherlock/standin/endpoint"
)

// strays are purchases at targets that send what belongs to no request, or a head that does not end, and reads at targets
// that fall silent for longer than a stop takes, with a quick request behind each on its connection.
var strays = part{name: "strays",
	prepare: func(s *system) error {
		s.addPartRoute("stow", "unsafe", stowService, time.Second, 2*time.Second, 0)
		s.addPartRoute("linger", "safe", lingerService, time.Second, 20*time.Second, 0)
		for n := range strayTargets {
			for _, service := range []string{stowService, lingerService} {
				if err := s.addPartTarget(service, n, targetRunTime, listenPlain); err != nil {
					return err
				}
			}
		}
		for _, t := range s.partTargetsOf(lingerService) {
			t.SetFault(func(r *http.Request) endpoint.Fault {
				if strings.HasSuffix(r.URL.Path, "/silent") {
					return endpoint.Dark
				}
				return endpoint.None
			})
		}
		return nil
	},
	plan: func(o Options) []step {
		r := o.random(23)
		kinds := []endpoint.Fault{endpoint.Unnamed, endpoint.ShedTwice, endpoint.EndlessHead, endpoint.EndlessLine, endpoint.EndlessInterim}
		var plan []step
		for at := 2 * time.Second; at < o.Length-recoveryPhase; at += time.Duration(800+r.IntN(1500)) * time.Millisecond {
			n, f, every, span := r.IntN(strayTargets), kinds[r.IntN(len(kinds))], 1+r.IntN(3), time.Duration(1000+r.IntN(1500))*time.Millisecond
			plan = append(plan, step{at, fmt.Sprintf("target %d of purchases spoils one of %d (fault %d) for %v", n, every, f, span), func(s *system) {
				s.partTargetsOf(stowService)[n].injectFault(f, every, span)
			}})
		}
		return plan
	},
	run: func(s *system, o Options) {
		var all sync.WaitGroup
		r := o.random(500)
		for n, began := 0, time.Now(); o.pause(began, time.Duration(15+r.IntN(25))*time.Millisecond); n++ {
			d := s.daemons[r.IntN(len(s.daemons))]
			all.Go(func() { s.stow(d, fmt.Sprint("stow-", n)) })
			if n%8 == 0 && time.Since(began) < o.Length-lingerDeadline-time.Second {
				all.Go(func() { s.linger(d, fmt.Sprint("linger-", n)) })
			}
		}
		all.Wait()
	}}

const (
	stowService, lingerService = "cellar", "well"
	strayTargets               = 2
	// lingerDeadline is longer than the time between SIGTERM and SIGKILL.
	lingerDeadline = 9 * time.Second
)

// stow sends a purchase, and checks that it has not run if it is refused with that promise.
func (s *system) stow(d *daemon, id string) {
	conn, err := net.DialTimeout("tcp4", d.address(s.ports[0]), time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(callDeadline + finalAnswerGrace))
	if _, err := fmt.Fprintf(conn, "POST /stow/1 HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nApi-Key: %s\r\nContent-Length: 1\r\n\r\nx", host, id, callDeadline.Milliseconds(), apiKeyOf(workspaceNames[1])); err != nil {
		return
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return
	}
	_ = response.Body.Close()
	time.Sleep(300 * time.Millisecond) // a refused purchase may run later
	ran := s.runCount(id)
	switch response.StatusCode {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if ran > 0 {
			s.findings.add("purchase %s was refused by %s with %d and ran", id, d.name, response.StatusCode)
		}
	}
	if ran > 1 {
		s.findings.add("purchase %s through %s ran %d times", id, d.name, ran)
	}
}

// linger sends a request to a silent target and a quick one behind it, and checks that both are answered although the
// entry VM is told to stop.
func (s *system) linger(d *daemon, name string) {
	conn, err := net.DialTimeout("tcp4", d.address(s.ports[0]), time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	sent := time.Now()
	ids := []string{name + "-silent", name + "-quick"}
	for n, path := range []string{"silent", "quick"} {
		if _, err := fmt.Fprintf(conn, "GET /linger/%s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nApi-Key: %s\r\n\r\n", path, host, ids[n], lingerDeadline.Milliseconds(), apiKeyOf(workspaceNames[0])); err != nil {
			return
		}
	}
	_ = conn.SetReadDeadline(sent.Add(lingerDeadline + finalAnswerGrace))
	in := bufio.NewReader(conn)
	for _, id := range ids {
		response, err := http.ReadResponse(in, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
		}
		if err != nil {
			time.Sleep(100 * time.Millisecond) // the connection may break just before the signal is noted
			if !d.wasInterrupted(sent.Add(-time.Second)) && s.runCount(id) > 0 {
				s.findings.add("request %s to %s ended without an answer after %v: %v", id, d.name, time.Since(sent), err)
			}
			return
		}
		if response.Close {
			return
		}
	}
}
