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

// headerReason tells why an entry VM refused a request.
const headerReason = "Heatherlock-Reason"

// Bounds that are checked, with room for a busy machine.
const (
	// applyBound is how soon a configuration is in force, drainBound how soon a
	// leaving target gets nothing new.
	applyBound = 4 * time.Second
	drainBound = 4 * time.Second
	// steadySpan is how long a VM, the store and targets must be undisturbed to
	// be held to a bound.
	steadySpan = 6 * time.Second
	// healTime is the part at the end of a run without faults, and healedWithin
	// when all requests must be served again.
	healTime     = 9 * time.Second
	callDeadline = 2500 * time.Millisecond
	// finalWait bounds a caller's wait for its answer, beyond its deadline.
	finalWait = 2 * time.Second
)

// findings collects breaches. It is safe for concurrent use.
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

// caller sends requests on connections that it keeps until they end.
type caller struct {
	site   *site
	name   int
	random *rand.Rand
	daemon *daemon
	conn   net.Conn
	in     *bufio.Reader
	kept   bool // an answer came on the connection before
}

// outcome is what became of one request.
type outcome struct {
	id     string
	once   bool
	status int // 0 without an answer
}

// ledger holds what callers were told of requests that run at most once.
type ledger struct {
	mu       sync.Mutex
	refused  map[string]int
	served   map[string]bool
	asked    int
	answered int
	healed   atomic.Int64 // failures after the faults ended
}

func (c *caller) call(n int, l *ledger, healing bool) {
	once := c.random.IntN(3) == 0
	o := outcome{id: fmt.Sprintf("c%d-%d", c.name, n), once: once}
	sent := time.Now()
	if c.conn == nil && !c.connect() {
		return
	}
	body, err := c.exchange(&o)
	d := c.daemon
	if err != nil {
		c.drop()
		c.judgeCut(o, d, sent, err)
	}
	l.note(o)
	if o.status >= 200 && o.status < 300 && !c.site.isAnswer(body) {
		c.site.findings.add("request %s got %q, which is no target's whole answer", o.id, body)
	}
	if healing && o.status != http.StatusOK {
		l.healed.Add(1)
		c.site.findings.add("request %s to %s got %d (%v) though all faults ended", o.id, d.name, o.status, err)
	}
	if took := time.Since(sent); took > callDeadline+finalWait/2 && !d.wasCut(sent) {
		c.site.findings.add("request %s to %s had no final answer for %v", o.id, d.name, took)
	}
}

// connect asks the directory of some entry VM and takes one of those it names.
func (c *caller) connect() bool {
	ask := c.site.daemons[c.random.IntN(len(c.site.daemons))]
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + ask.address(c.site.ports[2]) + platform.PathDirectory + "?name=" + host + "&region=r-a&zone=a")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	var answer struct{ Addresses []string }
	if json.NewDecoder(response.Body).Decode(&answer) != nil || len(answer.Addresses) == 0 {
		return false
	}
	address := answer.Addresses[c.random.IntN(len(answer.Addresses))]
	for _, d := range c.site.daemons {
		if d.address(c.site.ports[0]) == address {
			c.daemon = d
		}
	}
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return false
	}
	c.conn, c.in, c.kept = conn, bufio.NewReader(conn), false
	return true
}

func (c *caller) drop() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}

func (c *caller) exchange(o *outcome) (string, error) {
	method, path, body := "GET", "/read/", ""
	if o.once {
		method, path, body = "POST", "/buy/", strings.Repeat("x", c.random.IntN(3000))
	}
	head := fmt.Sprintf("%s %s%d HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Affinity-Key: %d\r\nX-Deadline-Ms: %d\r\nApi-Key: %s\r\nX-Tenant: forged\r\nContent-Length: %d\r\n\r\n",
		method, path, c.random.IntN(50), host, o.id, c.random.IntN(30), callDeadline.Milliseconds(), keyOf(workspaceOfCaller(c.name)), len(body))
	_ = c.conn.SetDeadline(time.Now().Add(callDeadline + finalWait))
	if _, err := io.WriteString(c.conn, head+body); err != nil {
		return "", err
	}
	response, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return "", err
	}
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return "", err
	}
	o.status = response.StatusCode
	if id := response.Header.Get("X-Request-Id"); id != "" && id != o.id {
		c.site.findings.add("request %s got the answer to %s", o.id, id)
	}
	c.kept = true
	if response.Close {
		c.drop()
	}
	return string(raw), nil
}

// judgeCut decides whether a request that got no answer was cut by the entry VM:
// it ran, and the entry VM was neither killed nor paused meanwhile.
func (c *caller) judgeCut(o outcome, d *daemon, sent time.Time, err error) {
	if errors.Is(err, syscall.ECONNREFUSED) || d.wasCut(sent.Add(-time.Second)) {
		return
	}
	time.Sleep(100 * time.Millisecond) // a kill may be noted just after its effect
	if !d.wasCut(sent.Add(-time.Second)) && c.site.ran(o.id) > 0 {
		c.site.findings.add("request %s was cut by %s: %v", o.id, d.name, err)
	}
}

func (l *ledger) note(o outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asked++
	if o.status != 0 {
		l.answered++
	}
	if !o.once {
		return
	}
	switch o.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		l.refused[o.id] = o.status
	case http.StatusOK:
		l.served[o.id] = true
	}
}

func (s *site) isAnswer(body string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.all {
		if t.name != otherName && body == t.Body() {
			return true
		}
	}
	return false
}

// ran returns how often a request ran, on all targets.
func (s *site) ran(id string) int {
	s.mu.Lock()
	all := append([]*target(nil), s.all...)
	s.mu.Unlock()
	n := 0
	for _, t := range all {
		for _, run := range t.Runs() {
			if run.ID == id {
				n++
			}
		}
	}
	return n
}

// checkRuns compares what ran with what callers were told.
func (s *site) checkRuns(l *ledger) {
	runs := make(map[string]int)
	for _, t := range s.all {
		for _, run := range t.Runs() {
			runs[run.ID]++
			if run.Method == "POST" && runs[run.ID] == 2 {
				s.findings.add("request %s ran twice", run.ID)
			}
			s.checkIdentity(run)
			if t.name == otherName {
				s.findings.add("request %s ran at another service", run.ID)
			}
			if !t.leaving.IsZero() && run.At.After(t.leaving.Add(drainBound)) && t.harmed.Before(t.leaving) && s.wellAround(t.leaving) {
				s.findings.add("request %s ran at %s %v after it said that it leaves", run.ID, t.name, run.At.Sub(t.leaving))
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

// wellAround reports whether the store was not harmed from before a time until
// the bound for leaving targets was over.
func (s *site) wellAround(at time.Time) bool {
	for _, bad := range s.storeBad {
		if bad.After(at.Add(-steadySpan)) && bad.Before(at.Add(drainBound)) {
			return false
		}
	}
	return true
}

// expectRoute checks that undisturbed entry VMs know a route in time, and never
// forget it within a boot.
func (s *site) expectRoute(name string) {
	time.Sleep(applyBound)
	boots := make(map[*daemon]int)
	for range 4 {
		if s.storeWell(steadySpan) {
			for _, d := range s.daemons {
				s.probe(d, name, boots)
			}
		}
		time.Sleep(700 * time.Millisecond)
	}
}

func (s *site) probe(d *daemon, name string, boots map[*daemon]int) {
	boot, ok := d.undisturbed(steadySpan)
	if !ok && boots[d] != boot {
		return
	}
	request, err := http.NewRequest(http.MethodGet, "http://"+d.address(s.ports[0])+"/"+name+"/1", nil)
	if err != nil {
		return
	}
	request.Host = host
	request.Header.Set("X-Request-Id", "probe")
	request.Header.Set("Api-Key", keyOf(workspaceNames[0]))
	response, err := (&http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	if err != nil {
		return
	}
	_ = response.Body.Close()
	waits := steering.Reason(response.Header.Get(headerReason)) == steering.ReasonConfigBehind
	if response.StatusCode == http.StatusNotFound || waits {
		s.findings.add("%s does not know route %s", d.name, name)
		return
	}
	boots[d] = boot
}
