package soak

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// uploads are uploads of which some callers leave in the middle, at targets that fall silent with their connections
// open, or read a few bytes at a time.
var uploads = part{name: "uploads",
	prepare: func(s *system) error {
		s.addPartRoute("upload", "upload", uploadService, time.Second, 2*time.Second, 0)
		for n := range uploadTargets {
			if err := s.addPartTarget(uploadService, n, targetRunTime, listenNarrow); err != nil {
				return err
			}
		}
		return nil
	},
	plan: func(o Options) []step {
		r := o.random(19)
		var plan []step
		for at := 2 * time.Second; at < o.Length-recoveryPhase; at += time.Duration(1500+r.IntN(2000)) * time.Millisecond {
			n, mode, span := r.IntN(uploadTargets), []Mode{Silent, Silent, SlowRead}[r.IntN(3)], time.Duration(1500+r.IntN(2500))*time.Millisecond
			plan = append(plan, step{at, fmt.Sprintf("target %d of uploads: %s for %v", n, mode, span), func(s *system) {
				p := s.partTargetsOf(uploadService)[n].proxy
				p.set(mode)
				time.AfterFunc(span, func() { p.set(Pass) })
			}})
		}
		return plan
	},
	run: func(s *system, o Options) {
		var all sync.WaitGroup
		r := o.random(400)
		body := strings.Repeat("u", uploadBytes)
		for n, began := 0, time.Now(); o.pause(began, time.Duration(40+r.IntN(60))*time.Millisecond); n++ {
			d, leaveAfter := s.daemons[r.IntN(len(s.daemons))], time.Duration(0)
			if r.IntN(3) == 0 {
				leaveAfter = time.Duration(50+r.IntN(250)) * time.Millisecond
			}
			all.Go(func() { s.upload(d, fmt.Sprint("upload-", n), body, leaveAfter) })
		}
		all.Wait()
	}}

const (
	uploadService = "vault"
	uploadTargets = 4
	uploadBytes   = 300 << 10
)

// upload sends an upload. Its caller leaves after a time unless that is 0.
func (s *system) upload(d *daemon, id, body string, leaveAfter time.Duration) {
	conn, err := net.DialTimeout("tcp4", d.address(s.ports[0]), time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	limit := callDeadline + finalAnswerGrace
	if leaveAfter > 0 {
		limit = leaveAfter
	}
	_ = conn.SetDeadline(time.Now().Add(limit))
	if _, err := fmt.Fprintf(conn, "POST /upload/1 HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nApi-Key: %s\r\nContent-Length: %d\r\n\r\n%s",
		host, id, callDeadline.Milliseconds(), apiKeyOf(workspaceNames[1]), len(body), body); err != nil {
		return
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return
	}
	_ = response.Body.Close()
}
