package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"syscall"
	"time"

	"heatherlock/platform"
	"heatherlock/standin/endpoint"
)

// part is a kind of load or fault with a random generator of its own, so that a seed stays the same for the others
// whether or not it is played.
type part struct {
	name string
	// prepare adds routes and targets before the entry VMs start; plan draws faults; run sends requests until the
	// run is over. Each may be nil.
	prepare func(*system) error
	plan    func(Options) []step
	run     func(*system, Options)
}

var allParts = []part{pipelines, uploads, owners, strays, chills, broken, versions}

// partNames returns the names of all parts.
func partNames() []string {
	var names []string
	for _, p := range allParts {
		names = append(names, p.name)
	}
	return names
}

// parts returns the parts that are played.
func (o Options) parts() []part {
	return slices.DeleteFunc(slices.Clone(allParts), func(p part) bool { return slices.Contains(o.Without, p.name) })
}

// addPartTarget starts a target of a service that one part uses alone.
func (s *system) addPartTarget(service string, n int, work time.Duration, listen func(string) (net.Listener, error)) error {
	name := fmt.Sprint(service, "-", n)
	e, err := endpoint.Start(endpoint.Config{ID: name, Slots: 8, Queue: 24, Work: work, WarmShare: 1, Keeps: 30})
	if err != nil {
		return err
	}
	p, err := newProxyListening(e.Address(), listen)
	if err != nil {
		return err
	}
	for vm, cut := range s.linksCut {
		if err := p.addLink(vm, cut); err != nil {
			return err
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := &target{Endpoint: e, name: name, service: service, proxy: p}
	s.partTargets, s.allTargets = append(s.partTargets, t), append(s.allTargets, t)
	if !slices.Contains(s.partServices, service) {
		s.partServices = append(s.partServices, service)
	}
	s.writeEntry(t)
	return nil
}

// partTargetsOf returns the targets of a service that one part uses alone.
func (s *system) partTargetsOf(service string) []*target {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(s.partTargets), func(t *target) bool { return t.service != service })
}

// services returns the services in the form of the stored configuration. The caller holds s.mu.
func (s *system) services() []any {
	all := []any{map[string]any{"name": serviceName, "healthPath": "/health", "maxConns": 200}}
	for _, name := range s.partServices {
		service := map[string]any{"name": name, "healthPath": "/health", "maxConns": 200}
		if name == loftService {
			service["coldStartS"], service["coldPerS"] = chillSpan.Seconds(), loftColdRate
		}
		all = append(all, service)
	}
	return all
}

// addPartRoute adds a route to the service of a part.
func (s *system) addPartRoute(name, kind, service string, aim, timeout time.Duration, rank int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.routes = append(s.routes, map[string]any{"name": name, "host": host, "pathPrefix": "/" + name + "/", "kind": kind, "timeoutMs": timeout.Milliseconds(),
		"targetLatencyMs": aim.Milliseconds(), "service": service, "maxAttempts": 2, "sticky": false, "priority": rank})
}

func listenPlain(address string) (net.Listener, error) { return net.Listen("tcp4", address) }

// listenNarrow opens a listener whose connections have the small windows of a distant target, so that a write is
// blocked soon after the target stops reading.
func listenNarrow(address string) (net.Listener, error) {
	options := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1200) // on an error the windows are wider
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 16<<10) // as above
		})
	}}
	return options.Listen(context.Background(), "tcp4", address)
}

// Checks on the processes themselves.
const (
	// answerBound is how long an entry VM without recent faults may take to answer a readiness probe.
	answerBound = 3 * time.Second
	// releaseBound is how long after the last caller has left an entry VM may still hold something for callers, beside
	// attempts that go on.
	releaseBound = 6 * time.Second
)

// watchDaemons checks until ended is closed that each entry VM without recent faults answers.
func (s *system) watchDaemons(ended <-chan struct{}) {
	client := http.Client{Timeout: answerBound, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		select {
		case <-ended:
			return
		case <-time.After(time.Second):
		}
		for _, d := range s.daemons {
			if d.overdue() {
				d.signal(syscall.SIGQUIT) // its goroutines are in its log then
				s.findings.add("%s goes on although it was told to stop", d.name)
			}
			boot, calm := d.undisturbed(quietPeriod)
			if !calm {
				continue
			}
			response, err := client.Get("http://" + d.address(s.ports[1]) + platform.PathReady)
			if err == nil {
				_ = response.Body.Close()
				continue
			}
			if now, calm := d.undisturbed(quietPeriod); calm && now == boot {
				s.findings.add("%s does not answer: %v", d.name, err)
			}
		}
	}
}

// checkReleased checks that entry VMs hold nothing for callers once these have left, and with settle that attempts have
// ended as well.
func (s *system) checkReleased(settle bool) {
	left := time.Now()
	if settle {
		time.Sleep(longestAttempt)
	}
	bound := time.Since(left) + releaseBound
	for _, d := range s.daemons {
		held := s.heldBy(d, time.Since(left))
		for len(held) > 0 && time.Since(left) < bound {
			time.Sleep(300 * time.Millisecond)
			held = s.heldBy(d, time.Since(left))
		}
		if len(held) > 0 {
			d.signal(syscall.SIGQUIT) // its goroutines are in its log then
			s.findings.add("%s holds something %v after the last caller has left: %v", d.name, bound, held)
		}
	}
}

// pause waits, and returns false if the run is over.
func (o Options) pause(began time.Time, d time.Duration) bool {
	time.Sleep(d)
	return time.Since(began) < o.Length
}

func (o Options) random(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(o.Seed, stream)) }
