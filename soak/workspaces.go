package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"heatherlock/standin/endpoint"
	"heatherlock/steering"
)

const (
	// secretPrefix begins every API key, so that one that leaks is found anywhere.
	secretPrefix = "soak-secret-"
	// usualRate is far above what callers ask of one workspace, lowRate far below.
	usualRate = 2000
	lowRate   = 10
	// floodFor is how long a flood lasts, and floodPause the pause between its requests.
	floodFor   = 1500 * time.Millisecond
	floodPause = 3 * time.Millisecond
)

// workspaceNames are the workspaces of callers; each has a key of its own that stays.
var workspaceNames = []string{"museum", "spa", "pool"}

func workspaceOfCaller(n int) string { return workspaceNames[n%len(workspaceNames)] }

func keyOf(workspace string) string { return secretPrefix + workspace }

// tenants returns the workspaces as the store holds them. The site's lock is held.
func (s *site) tenants() []map[string]any {
	var all []map[string]any
	for _, name := range workspaceNames {
		keys := append([]string{keyOf(name)}, s.extraKeys[name]...)
		rate := usualRate
		if s.lowered == name {
			rate = lowRate
		}
		all = append(all, map[string]any{"name": name, "apiKeys": keys, "ratePerS": rate, "burst": rate, "homeRegions": []string{}})
	}
	return all
}

// workspaceFaults draws what happens to workspaces, apart from the plan of other faults, so
// that the plans of seeds stay as they are.
func workspaceFaults(seed uint64, length time.Duration) []step {
	r := rand.New(rand.NewPCG(seed, 11))
	var plan []step
	for at := 2500 * time.Millisecond; at < length-healTime; at += time.Duration(1500+r.IntN(2500)) * time.Millisecond {
		name := workspaceNames[r.IntN(len(workspaceNames))]
		switch r.IntN(3) {
		case 0:
			plan = append(plan, revocation(at, name)...)
		case 1:
			plan = append(plan, lowering(at, name, time.Duration(1000+r.IntN(1500))*time.Millisecond)...)
		case 2:
			plan = append(plan, step{at, fmt.Sprintf("workspace %s floods", name), func(s *site) { go s.flood(name) }})
		}
	}
	return plan
}

// revocation adds a key and takes it away shortly after.
func revocation(at time.Duration, name string) []step {
	key := fmt.Sprintf("%s%s-%d", secretPrefix, name, at.Milliseconds())
	return []step{
		{at, "workspace " + name + " gets a key", func(s *site) { s.setKeys(name, key) }},
		{at + 700*time.Millisecond, "workspace " + name + " loses it", func(s *site) {
			s.setKeys(name)
			go s.expectRevoked(name, key)
		}},
	}
}

func lowering(at time.Duration, name string, span time.Duration) []step {
	return []step{
		{at, "the allowance of " + name + " is lowered far", func(s *site) { s.lower(name) }},
		{at + span, "and raised again", func(s *site) { s.lower("") }},
	}
}

func (s *site) setKeys(name string, keys ...string) {
	s.mu.Lock()
	s.extraKeys[name] = keys
	s.mu.Unlock()
	s.configure()
}

func (s *site) lower(name string) {
	s.mu.Lock()
	s.lowered = name
	s.mu.Unlock()
	s.configure()
}

// flood asks for one workspace far more often than its callers do.
func (s *site) flood(name string) {
	for n, end := 0, time.Now().Add(floodFor); time.Now().Before(end); n++ {
		d := s.daemons[n%len(s.daemons)]
		go s.ask(d, keyOf(name), fmt.Sprintf("flood-%s-%d-%d", name, end.UnixMilli(), n))
		time.Sleep(floodPause)
	}
}

// ask sends a read with a key on a connection of its own; status is 0 without an answer.
func (s *site) ask(d *daemon, key, id string) (status int, reason steering.Reason) {
	request, err := http.NewRequest(http.MethodGet, "http://"+d.address(s.ports[0])+"/read/1", nil)
	if err != nil {
		return 0, ""
	}
	request.Host = host
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("Api-Key", key)
	response, err := (&http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	if err != nil {
		return 0, ""
	}
	_ = response.Body.Close()
	return response.StatusCode, steering.Reason(response.Header.Get(headerReason))
}

// expectRevoked checks that undisturbed entry VMs run nothing by a key that was taken away.
func (s *site) expectRevoked(name, key string) {
	time.Sleep(applyBound)
	if !s.storeWell(steadySpan) {
		return
	}
	for _, d := range s.daemons {
		if _, ok := d.undisturbed(steadySpan); !ok {
			continue
		}
		if status, _ := s.ask(d, key, "revoked"); status == http.StatusOK {
			s.findings.add("%s still runs requests by a key that %s has lost", d.name, name)
		}
	}
}

// checkIdentity compares what a target was told of a caller with who it is.
func (s *site) checkIdentity(run endpoint.Run) {
	if text := fmt.Sprint(run.Header); strings.Contains(text, secretPrefix) {
		s.findings.add("request %s took an API key to its target", run.ID)
	}
	var n int
	if _, err := fmt.Sscanf(run.ID, "c%d-", &n); err != nil {
		return
	}
	if told := run.Header["X-Tenant"]; len(told) != 1 || told[0] != workspaceOfCaller(n) {
		s.findings.add("request %s of workspace %s was told to be of %q", run.ID, workspaceOfCaller(n), told)
	}
}
