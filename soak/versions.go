package soak

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"heatherlock/standin/metastore"
	"heatherlock/standin/witness"
	"heatherlock/steering"
)

// versions are requests to every entry VM for routes that are added, removed, added again, moved between services and
// split, and with headers that only some versions allow. Each is held against the versions that the operator wrote.
var versions = part{name: "versions",
	prepare: func(s *system) error {
		s.versions = witness.NewVersions(configApplyBound)
		s.store.Unreadable = func(kind string, revision int64) bool {
			return kind == "config" && !s.plain && revision%unreadableEvery == 0
		}
		s.changing = &changing{routes: make(map[string][]string), headerBytes: smallHeader, idle: 5 * time.Second, random: rand.New(rand.NewPCG(1, 29))}
		for n, service := range versionServices {
			for k := range 2 {
				if err := s.addPartTarget(service, k, targetRunTime, listenPlain); err != nil {
					return err
				}
			}
			s.changing.routes[fmt.Sprint("v", n)] = []string{service}
		}
		return nil
	},
	plan: func(o Options) []step {
		r := o.random(29)
		var plan []step
		for at := 2 * time.Second; at < o.Length-recoveryPhase; at += time.Duration(100+r.IntN(2500)+r.IntN(4)/3*longChangeGap) * time.Millisecond {
			for n := range 1 + r.IntN(2)*r.IntN(8) { // often one, sometimes a storm
				change := drawChange(r)
				plan = append(plan, step{at + time.Duration(n)*60*time.Millisecond, change.name, func(s *system) { s.change(change) }})
			}
		}
		return plan
	},
	run: func(s *system, o Options) { s.askRounds(o.random(30), o.Length) }}

var versionServices = []string{"granary", "dairy"}

const (
	// versionProbes is how many routes are asked for; the last ones never exist.
	versionProbes, neverProbes = 8, 2
	smallHeader, largeHeader   = 8192, 15000
	paddedHeader               = 11000 // between the two
	paddedProbe                = "padded"
	// configApplyBound is the time after which the settings of the daemons (configApplyMs) require a version to be in force.
	configApplyBound = 2500 * time.Millisecond
	// longChangeGap, in milliseconds, shows a version that is not in force before the next one replaces it.
	longChangeGap = 4000
	// unreadableEvery is how often a watch sends a change of the configuration without a readable name.
	unreadableEvery = 4
)

// changing is what the operator changes in the versions. Its lock is that of the system.
type changing struct {
	routes      map[string][]string // services by route
	headerBytes int
	idle        time.Duration
	timeout     int
	random      *rand.Rand
}

// change is one kind of change, drawn beforehand.
type change struct {
	name string
	do   func(*changing)
}

func drawChange(r *rand.Rand) change {
	route := fmt.Sprint("v", r.IntN(versionProbes-neverProbes))
	service := versionServices[r.IntN(len(versionServices))]
	switch r.IntN(7) {
	case 0, 1:
		return change{"route " + route + " is removed", func(c *changing) { delete(c.routes, route) }}
	case 2, 3:
		return change{"route " + route + " is at " + service, func(c *changing) { c.routes[route] = []string{service} }}
	case 4:
		return change{"route " + route + " is split", func(c *changing) { c.routes[route] = versionServices }}
	case 5:
		size, idle := []int{smallHeader, largeHeader}[r.IntN(2)], time.Duration(5+r.IntN(10))*time.Second
		return change{fmt.Sprintf("headers up to %d bytes, idle for %v", size, idle), func(c *changing) { c.headerBytes, c.idle = size, idle }}
	}
	return change{"time-outs change", func(c *changing) { c.timeout++ }}
}

func (s *system) change(c change) {
	s.mu.Lock()
	c.do(s.changing)
	s.mu.Unlock()
	s.writeConfig()
}

// addChanging adds the routes and limits of the versions to a configuration, and records it before it is written.
// The caller holds s.mu.
func (s *system) addChanging(config map[string]any) any {
	if s.changing == nil {
		return config
	}
	c := s.changing
	all := slices.Clone(s.routes)
	allowed := make(map[string][]witness.Handling)
	for n := range versionProbes {
		name := fmt.Sprint("v", n)
		services := c.routes[name]
		allowed[name] = handledBy(services)
		if services == nil {
			continue
		}
		route := map[string]any{"name": name, "host": host, "pathPrefix": "/" + name + "/", "kind": "safe", "timeoutMs": 1500 + c.timeout, "targetLatencyMs": 500, "maxAttempts": 2, "sticky": false, "trafficSplit": []any{}}
		if len(services) == 1 {
			route["service"] = services[0]
		} else {
			route["trafficSplit"] = []any{map[string]any{"service": services[0], "weight": 1}, map[string]any{"service": services[1], "weight": 2}}
		}
		all = append(all, route)
	}
	allowed[paddedProbe] = allowed["v0"]
	if c.headerBytes < paddedHeader {
		allowed[paddedProbe] = []witness.Handling{witness.HandlingTooLarge}
	}
	config = maps.Clone(config)
	config["routes"] = all
	config["limits"] = map[string]any{"maxHeaderBytes": c.headerBytes, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 2000, "idleTimeoutMs": c.idle.Milliseconds()}
	s.versions.Sent(s.version, allowed)
	if s.plain {
		return config
	}
	return metastore.Reencode(encode(config), c.random)
}

func handledBy(services []string) []witness.Handling {
	if services == nil {
		return []witness.Handling{witness.HandlingNoRoute}
	}
	var all []witness.Handling
	for _, name := range services {
		all = append(all, witness.Handling(name))
	}
	return all
}

// askRounds asks every entry VM for every route again and again: on a connection for each request, on one that is kept, and
// with a long header on one that is idle for seconds between the requests.
func (s *system) askRounds(r *rand.Rand, length time.Duration) {
	var all sync.WaitGroup
	began, pauses := time.Now(), make([]time.Duration, 0)
	for total := time.Duration(0); total < length; total += pauses[len(pauses)-1] {
		pauses = append(pauses, time.Duration(50+r.IntN(500))*time.Millisecond)
	}
	for _, d := range s.daemons {
		idlePause := time.Duration(3000+r.IntN(1000)) * time.Millisecond // longer than the apply bound, and within four fifths of the shortest idle timeout
		all.Go(func() {
			fresh, kept := &http.Transport{DisableKeepAlives: true}, &http.Transport{}
			defer kept.CloseIdleConnections()
			at := began
			for n, pause := range pauses {
				at = at.Add(pause)
				time.Sleep(time.Until(at))
				s.askRoutes(d, [...]*http.Transport{fresh, kept}[n%2])
			}
		})
		all.Go(func() {
			idle := &http.Transport{}
			defer idle.CloseIdleConnections()
			for time.Since(began) < length {
				s.ask(d, idle, "v0")
				time.Sleep(idlePause)
				s.ask(d, idle, paddedProbe)
			}
		})
	}
	all.Wait()
}

// askRoutes asks an entry VM for all routes, until a request gets no response.
func (s *system) askRoutes(d *daemon, by *http.Transport) {
	for n := range versionProbes {
		if !s.ask(d, by, fmt.Sprint("v", n)) {
			return
		}
	}
}

// ask sends one request, and reports whether a response came.
func (s *system) ask(d *daemon, by *http.Transport, probe string) bool {
	name, padding := probe, ""
	if probe == paddedProbe {
		name, padding = "v0", strings.Repeat("p", paddedHeader)
	}
	request, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/%s/%d", d.address(s.ports[0]), name, time.Now().UnixNano()%50), nil)
	if err != nil {
		return false
	}
	request.Host = host
	request.Header.Set("X-Padding", padding)
	request.Header.Set("Api-Key", apiKeyOf(workspaceNames[0]))
	request.Header.Set("X-Request-Id", fmt.Sprint("version-", time.Now().UnixNano()))
	boot, inTouch := s.inTouch(d)
	question := s.versions.Ask(fmt.Sprint(d.name, ", boot ", boot), probe, inTouch, time.Now())
	response, err := (&http.Client{Timeout: time.Second, Transport: by}).Do(request)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, response.Body) // a connection is kept only if all was read
	_ = response.Body.Close()
	if err != nil {
		return false
	}
	if now, _ := s.inTouch(d); now != boot {
		return false
	}
	if got, told := s.handling(response); told {
		if err := question.Answered(got); err != nil {
			s.findings.add("%v (request %s)", err, request.Header.Get("X-Request-Id"))
		}
	}
	return true
}

// handling returns how a request was handled. told is false if the response leaves that open.
func (s *system) handling(response *http.Response) (got witness.Handling, told bool) {
	service, _, _ := strings.Cut(response.Header.Get("X-Instance-Id"), "-")
	reason := steering.Reason(response.Header.Get(headerReason))
	switch {
	case slices.Contains(versionServices, service):
		return witness.Handling(service), true
	case service != "":
		return witness.Handling("of another route: " + service), true
	case response.StatusCode == http.StatusRequestHeaderFieldsTooLarge:
		return witness.HandlingTooLarge, true
	case response.StatusCode == http.StatusNotFound && reason == steering.ReasonNoService:
		return witness.HandlingNoRoute, true
	case response.StatusCode >= http.StatusInternalServerError, response.StatusCode == http.StatusTooManyRequests, response.StatusCode == http.StatusRequestTimeout:
		return "", false
	}
	return witness.Handling(fmt.Sprint(response.StatusCode, " ", reason)), true
}

// inTouch returns the boot of an entry VM, and whether it has to know what was confirmed: the store is well, and the VM was
// undisturbed, or has started since while no VM that may tell it older versions came back.
func (s *system) inTouch(d *daemon) (boot int, ok bool) {
	boot, calm := d.undisturbed(quietPeriod)
	if !calm {
		calm = d.startedAnew() && !slices.ContainsFunc(s.daemons, func(other *daemon) bool { return other.resumedWithin(quietPeriod) })
	}
	return boot, calm && s.storeHealthy(quietPeriod)
}

// lossRounds is how long entry VMs are asked after the loss of all at once.
const lossRounds = 8 * time.Second

// loseAll kills all entry VMs right after the store has confirmed a version that changes all routes, and checks what they know
// when they are back.
func (s *system) loseAll(o Options) error {
	if s.versions == nil {
		return nil
	}
	r := o.random(31)
	s.change(change{do: func(c *changing) {
		for n := range versionProbes - neverProbes {
			delete(c.routes, fmt.Sprint("v", n))
			if r.IntN(2) == 0 {
				c.routes[fmt.Sprint("v", n)] = []string{versionServices[r.IntN(2)]}
			}
		}
	}})
	for _, d := range s.daemons {
		d.signal(syscall.SIGKILL)
	}
	s.askRounds(r, lossRounds)
	if err := s.awaitReady(); err != nil {
		return errors.Join(errors.New("soak: after the loss of all entry VMs"), err)
	}
	return nil
}
