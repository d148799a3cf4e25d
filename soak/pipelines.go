package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// pipelines are callers that always have a request behind the one being answered, on connections that they use until
// a response closes them or the process is gone.
var pipelines = part{name: "pipelines",
	prepare: func(s *system) error {
		s.addPartRoute("shelf", "safe", pipelineService, time.Second, 2*time.Second, 0)
		for n := range pipelineTargets {
			if err := s.addPartTarget(pipelineService, n, pipelineRun, listenPlain); err != nil {
				return err
			}
		}
		return nil
	},
	run: func(s *system, o Options) {
		var all sync.WaitGroup
		for n := range pipelineCallers {
			all.Go(func() { s.runPipelines(o, n) })
		}
		all.Wait()
	}}

const (
	pipelineService = "shelf"
	pipelineTargets = 4
	pipelineRun     = 60 * time.Millisecond
	pipelineCallers = 4
	// pipelineInterval is so short that several requests are always without a response.
	pipelineInterval = 15 * time.Millisecond
	pipelineAhead    = 12
)

func (s *system) runPipelines(o Options, caller int) {
	r := o.random(uint64(caller) + 300)
	c := &pipeliner{system: s, random: r, name: fmt.Sprint("pipe", caller)}
	for began := time.Now(); o.pause(began, time.Duration(r.IntN(100))*time.Millisecond); {
		c.useConnection(began.Add(o.Length))
	}
}

// pipeliner is a caller with several requests on one connection.
type pipeliner struct {
	system *system
	random *rand.Rand
	name   string
	sent   int
}

// useConnection sends requests on one connection until it ends.
func (c *pipeliner) useConnection(until time.Time) {
	d := c.system.daemons[c.random.IntN(len(c.system.daemons))]
	conn, err := net.DialTimeout("tcp4", d.address(c.system.ports[0]), time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	var mu sync.Mutex
	var waiting []string
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(pipelineInterval):
			}
			mu.Lock()
			if len(waiting) < pipelineAhead && time.Now().Before(until) {
				c.sent++
				id := fmt.Sprint(c.name, "-", c.sent)
				waiting = append(waiting, id)
				_, _ = fmt.Fprintf(conn, "GET /shelf/1 HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nApi-Key: %s\r\n\r\n", host, id, callDeadline.Milliseconds(), apiKeyOf(workspaceNames[0])) // what was answered is still read
			}
			mu.Unlock()
		}
	}()
	c.readAnswers(conn, d, func() (id string, left int) {
		mu.Lock()
		defer mu.Unlock()
		if len(waiting) == 0 {
			return "", 0
		}
		id = waiting[0]
		waiting = waiting[1:]
		return id, len(waiting)
	}, until)
}

// readAnswers reads responses. next returns the request to which the next one belongs.
func (c *pipeliner) readAnswers(conn net.Conn, d *daemon, next func() (string, int), until time.Time) {
	in := bufio.NewReader(conn)
	for {
		began := time.Now()
		_ = conn.SetReadDeadline(began.Add(callDeadline + finalAnswerGrace))
		response, err := http.ReadResponse(in, nil)
		var body []byte
		if err == nil {
			body, err = io.ReadAll(response.Body)
		}
		id, left := next()
		if err != nil {
			c.checkCut(d, id, began, err)
			return
		}
		got := response.Header.Get("X-Request-Id")
		if response.StatusCode == http.StatusOK && (got != id || !c.system.isCompleteAnswer(string(body))) {
			c.system.findings.add("pipelined request %s got the answer to %s: %q", id, got, body)
		}
		if response.Close || left == 0 && time.Now().After(until) {
			return
		}
	}
}

// checkCut checks a connection that ended without the response to its oldest request.
func (c *pipeliner) checkCut(d *daemon, id string, since time.Time, err error) {
	if id == "" || d.wasInterrupted(since.Add(-time.Second)) {
		return
	}
	time.Sleep(100 * time.Millisecond) // the connection may break just before the signal is noted
	if !d.wasInterrupted(since.Add(-time.Second)) && c.system.runCount(id) > 0 {
		c.system.findings.add("pipelined request %s was cut by %s: %v", id, d.name, err)
	}
}
