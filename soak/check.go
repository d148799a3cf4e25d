package soak

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"heatherlock/platform"
	"heatherlock/steering"
)

// headerReason is the response header in which an entry VM names the reason of a refusal.
const headerReason = "Heatherlock-Reason"

// Limits that the checks apply. They leave room for a busy machine.
const (
	// applyBound is the time within which a new configuration must be in force,
	// and drainBound the time after which a draining target must get no new request.
	applyBound = 4 * time.Second
	drainBound = 4 * time.Second
	// quietPeriod is how long an entry VM and the store must have been free of injected
	// faults before a check applies one of the limits above. A target is excluded if its
	// connections were disturbed after it began to drain.
	quietPeriod = 6 * time.Second
	// recoveryPhase is the part at the end of a run in which no new fault begins. In
	// its last allServedPhase, every request must be served.
	recoveryPhase = 9 * time.Second
	callDeadline  = 2500 * time.Millisecond
	// finalAnswerGrace is how long a caller waits for a response beyond its deadline.
	// A response later than half of it after the deadline is a finding.
	finalAnswerGrace = 2 * time.Second
)

// findings collects violations of the guarantees. It is safe for concurrent use.
type findings struct {
	mu    sync.Mutex
	began time.Time
	all   []string
}

func (f *findings) add(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.all = append(f.all, fmt.Sprintf("%6.2f s  ", time.Since(f.began).Seconds())+fmt.Sprintf(format, args...))
}

// caller sends requests one after another on a persistent connection, and opens a
// new one when that is closed.
type caller struct {
	system *system
	name   int
	random *rand.Rand
	daemon *daemon
	conn   net.Conn
	reader *bufio.Reader
	reused bool // a response has arrived on this connection
}

// outcome is the result of one request.
type outcome struct {
	id         string
	atMostOnce bool
	status     int // 0 without a response
}

// callLog counts the requests and responses of all callers, and holds the result by
// request ID for requests that must run at most once.
type callLog struct {
	mu      sync.Mutex
	refused map[string]int
	served  map[string]bool
	// sentTo holds the entry VM of each request, heard since when entry VMs have heard statements, and
	// limited when requests reached targets through VMs that had heard their limits.
	sentTo              map[string]*daemon
	heard               map[statement]time.Time
	limited             map[string][]time.Time
	tries               []firstTry
	requests            int
	answered            int
	failedAfterRecovery atomic.Int64 // failed requests in the last part of the run, when all must be served
}

// call sends the request numbered n and checks its outcome. With recovered set, every
// status but 200 is a finding.
func (c *caller) call(n int, l *callLog, recovered bool) {
	atMostOnce := c.random.IntN(3) == 0
	o := outcome{id: fmt.Sprintf("c%d-%d", c.name, n), atMostOnce: atMostOnce}
	sent := time.Now()
	if c.conn == nil && !c.connect() {
		return
	}
	d := c.daemon
	l.mu.Lock()
	l.sentTo[o.id] = d
	l.mu.Unlock()
	body, err := c.exchange(&o, func(h http.Header) { l.hear(c.system, o.id, d, sent, h) })
	if err != nil {
		c.closeConn()
		c.checkInterrupted(o, d, sent, err)
	}
	l.record(o, d, sent)
	if o.status >= 200 && o.status < 300 && !c.system.isCompleteAnswer(body) {
		c.system.findings.add("request %s got %q, which is no target's whole answer", o.id, body)
	}
	if recovered && o.status != http.StatusOK {
		l.failedAfterRecovery.Add(1)
		c.system.findings.add("request %s to %s got %d (%v) though all faults ended", o.id, d.name, o.status, err)
	}
	if took := time.Since(sent); took > callDeadline+finalAnswerGrace/2 && !d.wasInterrupted(sent) {
		c.system.findings.add("request %s to %s had no final answer for %v", o.id, d.name, took)
	}
}

// connect queries the directory of a random entry VM and connects to a random one of
// the addresses returned.
func (c *caller) connect() bool {
	directory := c.system.daemons[c.random.IntN(len(c.system.daemons))]
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + directory.address(c.system.ports[2]) + platform.PathDirectory + "?name=" + host + "&region=r-a&zone=a")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	var answer struct{ Addresses []string }
	if json.NewDecoder(response.Body).Decode(&answer) != nil || len(answer.Addresses) == 0 {
		return false
	}
	address := answer.Addresses[c.random.IntN(len(answer.Addresses))]
	for _, d := range c.system.daemons {
		if d.address(c.system.ports[0]) == address {
			c.daemon = d
		}
	}
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return false
	}
	c.conn, c.reader, c.reused = conn, bufio.NewReader(conn), false
	return true
}

func (c *caller) closeConn() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}

// exchange sends one request, reads its response and passes the headers of a target's to hear. It
// returns the body.
func (c *caller) exchange(o *outcome, hear func(http.Header)) (string, error) {
	method, path, body := "GET", "/read/", ""
	if o.atMostOnce {
		method, path, body = "POST", "/buy/", strings.Repeat("x", c.random.IntN(3000))
	}
	head := fmt.Sprintf("%s %s%d HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Affinity-Key: %d\r\nX-Deadline-Ms: %d\r\nApi-Key: %s\r\nX-Tenant: forged\r\nContent-Length: %d\r\n\r\n",
		method, path, c.random.IntN(50), host, o.id, c.random.IntN(30), callDeadline.Milliseconds(), apiKeyOf(workspaceOfCaller(c.name)), len(body))
	_ = c.conn.SetDeadline(time.Now().Add(callDeadline + finalAnswerGrace))
	if _, err := io.WriteString(c.conn, head+body); err != nil {
		return "", err
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return "", err
	}
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return "", err
	}
	o.status = response.StatusCode
	if response.Header.Get("X-Instance-Id") != "" {
		hear(response.Header)
	}
	if id := response.Header.Get("X-Request-Id"); id != "" && id != o.id {
		c.system.findings.add("request %s got the answer to %s", o.id, id)
	}
	c.reused = true
	if response.Close {
		c.closeConn()
	}
	return string(raw), nil
}

// checkInterrupted checks a request that got no response. It is a finding if the
// request ran on a target and the entry VM was neither killed nor paused in the
// meantime: the entry VM itself then broke the connection.
func (c *caller) checkInterrupted(o outcome, d *daemon, sent time.Time, err error) {
	if errors.Is(err, syscall.ECONNREFUSED) || d.wasInterrupted(sent.Add(-time.Second)) {
		return
	}
	time.Sleep(100 * time.Millisecond) // the connection may break just before interruptedAt is set
	if !d.wasInterrupted(sent.Add(-time.Second)) && c.system.runCount(o.id) > 0 {
		c.system.findings.add("request %s was cut by %s: %v", o.id, d.name, err)
	}
}

func (l *callLog) record(o outcome, d *daemon, sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tries = append(l.tries, firstTry{d, sent, o.status, o.status == http.StatusOK})
	l.requests++
	if o.status != 0 {
		l.answered++
	}
	if !o.atMostOnce {
		return
	}
	switch o.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		l.refused[o.id] = o.status
	case http.StatusOK:
		l.served[o.id] = true
	}
}

// isCompleteAnswer reports whether a body is the complete response of one of the
// targets of the service.
func (s *system) isCompleteAnswer(body string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.allTargets {
		if t.name != otherServiceName && body == t.Body() {
			return true
		}
	}
	return false
}

// runCount returns how many times a request ran on all targets together.
func (s *system) runCount(id string) int {
	s.mu.Lock()
	allTargets := append([]*target(nil), s.allTargets...)
	s.mu.Unlock()
	n := 0
	for _, t := range allTargets {
		for _, run := range t.Runs() {
			if run.ID == id {
				n++
			}
		}
	}
	return n
}

// checkRuns compares the requests that ran on targets with the responses that
// callers received. The caller holds s.mu.
func (s *system) checkRuns(l *callLog) {
	runs := make(map[string]int)
	for _, t := range s.allTargets {
		for _, run := range t.Runs() {
			runs[run.ID]++
			if run.Method == "POST" && runs[run.ID] == 2 {
				s.findings.add("request %s ran twice", run.ID)
			}
			s.checkIdentityHeaders(run)
			if t.name == otherServiceName {
				s.findings.add("request %s ran at another service", run.ID)
			}
			if !t.drainingSince.IsZero() && run.At.After(t.drainingSince.Add(drainBound)) && t.disturbedAt.Before(t.drainingSince) && s.storeHealthyAround(t.drainingSince) {
				s.findings.add("request %s ran at %s %v after it said that it leaves", run.ID, t.name, run.At.Sub(t.drainingSince))
			}
		}
	}
	for id, status := range l.refused {
		if runs[id] > 0 {
			s.findings.add("request %s was told %d and ran", id, status)
		}
	}
	for id := range l.served {
		if runs[id] != 1 {
			s.findings.add("request %s was answered and ran %d times", id, runs[id])
		}
	}
}

// storeHealthyAround reports whether the store had no injected fault from
// quietPeriod before a time until drainBound after it.
func (s *system) storeHealthyAround(at time.Time) bool {
	for _, bad := range s.storeDisturbedAt {
		if bad.After(at.Add(-quietPeriod)) && bad.Before(at.Add(drainBound)) {
			return false
		}
	}
	return true
}

// checkRouteApplied checks that entry VMs without recent faults know a new route
// within applyBound, and that none loses it again before its process restarts.
func (s *system) checkRouteApplied(name string) {
	time.Sleep(applyBound)
	boots := make(map[*daemon]int)
	for range 4 {
		if s.storeHealthy(quietPeriod) {
			for _, d := range s.daemons {
				s.probeRoute(d, name, boots)
			}
		}
		time.Sleep(700 * time.Millisecond)
	}
}

// probeRoute sends a request for a route to an entry VM. boots holds, for each entry
// VM, the boot in which it last knew the route: within that boot it must still know it.
func (s *system) probeRoute(d *daemon, name string, boots map[*daemon]int) {
	boot, ok := d.undisturbed(quietPeriod)
	if !ok && boots[d] != boot {
		return
	}
	request, err := http.NewRequest(http.MethodGet, "http://"+d.address(s.ports[0])+"/"+name+"/1", nil)
	if err != nil {
		return
	}
	request.Host = host
	request.Header.Set("X-Request-Id", "probe")
	request.Header.Set("Api-Key", apiKeyOf(workspaceNames[0]))
	response, err := (&http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	if err != nil {
		return
	}
	_ = response.Body.Close()
	configBehind := steering.Reason(response.Header.Get(headerReason)) == steering.ReasonConfigBehind
	if response.StatusCode == http.StatusNotFound || configBehind {
		s.findings.add("%s does not know route %s", d.name, name)
		return
	}
	boots[d] = boot
}
