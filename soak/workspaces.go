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
	// secretPrefix starts every API key, so that a leaked key is found in any header.
	secretPrefix = "soak-secret-"
	// normalRate, in requests per second, is far above the rate of the callers of one
	// workspace, and lowRate far below.
	normalRate = 2000
	lowRate    = 10
	// floodDuration is how long a flood lasts, and floodInterval the pause between its
	// requests.
	floodDuration = 1500 * time.Millisecond
	floodInterval = 3 * time.Millisecond
)

// workspaceNames are the workspaces of callers; each has one permanent API key.
var workspaceNames = []string{"museum", "spa", "pool"}

func workspaceOfCaller(n int) string { return workspaceNames[n%len(workspaceNames)] }

func apiKeyOf(workspace string) string { return secretPrefix + workspace }

// tenants returns the workspaces in the form of the stored configuration. The caller holds
// s.mu.
func (s *system) tenants() []map[string]any {
	var all []map[string]any
	for _, name := range workspaceNames {
		keys := append([]string{apiKeyOf(name)}, s.extraKeys[name]...)
		rate := normalRate
		if s.loweredWorkspace == name {
			rate = lowRate
		}
		all = append(all, map[string]any{"name": name, "apiKeys": keys, "ratePerS": rate, "burst": rate, "homeRegions": []string{}})
	}
	return all
}

// workspaceFaults draws the faults of workspaces: revoked keys, reduced allowances and
// floods. It uses a random generator of its own, so that the other faults of a seed stay
// the same as without it.
func workspaceFaults(seed uint64, length time.Duration) []step {
	r := rand.New(rand.NewPCG(seed, 11))
	var plan []step
	for at := 2500 * time.Millisecond; at < length-recoveryPhase; at += time.Duration(1500+r.IntN(2500)) * time.Millisecond {
		name := workspaceNames[r.IntN(len(workspaceNames))]
		switch r.IntN(3) {
		case 0:
			plan = append(plan, keyRevocation(at, name)...)
		case 1:
			plan = append(plan, allowanceReduction(at, name, time.Duration(1000+r.IntN(1500))*time.Millisecond)...)
		case 2:
			plan = append(plan, step{at, fmt.Sprintf("workspace %s floods", name), func(s *system) { go s.flood(name) }})
		}
	}
	return plan
}

// keyRevocation adds an API key to a workspace and revokes it 700 ms later.
func keyRevocation(at time.Duration, name string) []step {
	key := fmt.Sprintf("%s%s-%d", secretPrefix, name, at.Milliseconds())
	return []step{
		{at, "workspace " + name + " gets a key", func(s *system) { s.setKeys(name, key) }},
		{at + 700*time.Millisecond, "workspace " + name + " loses it", func(s *system) {
			s.setKeys(name)
			go s.checkKeyRevoked(name, key)
		}},
	}
}

const allowanceRestored = "and raised again"

// allowanceReduction lowers the rate of a workspace to lowRate for a span.
func allowanceReduction(at time.Duration, name string, span time.Duration) []step {
	return []step{
		{at, "the allowance of " + name + " is lowered far", func(s *system) { s.reduceAllowance(name) }},
		{at + span, allowanceRestored, func(s *system) { s.reduceAllowance("") }},
	}
}

func (s *system) setKeys(name string, keys ...string) {
	s.mu.Lock()
	s.extraKeys[name] = keys
	s.mu.Unlock()
	s.writeConfig()
}

// reduceAllowance sets the workspace whose rate is lowRate. With an empty name none is
// reduced.
func (s *system) reduceAllowance(name string) {
	s.mu.Lock()
	s.loweredWorkspace = name
	s.mu.Unlock()
	s.writeConfig()
}

// flood sends requests of one workspace at a far higher rate than its callers do.
func (s *system) flood(name string) {
	for n, end := 0, time.Now().Add(floodDuration); time.Now().Before(end); n++ {
		d := s.daemons[n%len(s.daemons)]
		go s.sendRead(d, apiKeyOf(name), fmt.Sprintf("flood-%s-%d-%d", name, end.UnixMilli(), n))
		time.Sleep(floodInterval)
	}
}

// sendRead sends a read with an API key on a new connection. The status is 0 without a
// response.
func (s *system) sendRead(d *daemon, key, id string) (status int, reason steering.Reason) {
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

// checkKeyRevoked checks that entry VMs without recent faults reject a revoked API key once
// applyBound has passed.
func (s *system) checkKeyRevoked(name, key string) {
	time.Sleep(applyBound)
	if !s.storeHealthy(quietPeriod) {
		return
	}
	for _, d := range s.daemons {
		if _, ok := d.undisturbed(quietPeriod); !ok {
			continue
		}
		if status, _ := s.sendRead(d, key, "revoked"); status == http.StatusOK {
			s.findings.add("%s still runs requests by a key that %s has lost", d.name, name)
		}
	}
}

// checkIdentityHeaders checks the headers of a request as the target received them: they
// contain no API key, and X-Tenant names the workspace of the caller and not the value
// that the caller forged.
func (s *system) checkIdentityHeaders(run endpoint.Run) {
	if text := fmt.Sprint(run.Header); strings.Contains(text, secretPrefix) {
		s.findings.add("request %s took an API key to its target", run.ID)
	}
	var n int
	if _, err := fmt.Sscanf(run.ID, "c%d-", &n); err != nil {
		return
	}
	if got := run.Header["X-Tenant"]; len(got) != 1 || got[0] != workspaceOfCaller(n) {
		s.findings.add("request %s of workspace %s was told to be of %q", run.ID, workspaceOfCaller(n), got)
	}
}
