package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"

	"heatherlock/platform"
)

// Options configures a run.
type Options struct {
	Seed uint64
	// Length is the duration of the run once all entry VMs are ready.
	Length  time.Duration
	Daemons int
	Targets int
	Callers int
	// Binary is the path of the daemon's executable.
	Binary string
	// BasePort is the first of eight consecutive ports used on the address of each entry VM.
	BasePort int
	// Without names the parts that are left out.
	Without []string
	// Settle waits until attempts whose callers have left must have ended, before it is checked what is held.
	Settle bool
	// Sparse leaves out all but one in so many faults of the plan; 0 and 1 leave out none. The faults of parts stay.
	Sparse int
	// Plain writes each configuration as one encoder does, and lets all of its changes be read, which earlier daemons need.
	Plain bool
	// LoseAll kills all entry VMs at once at the end, right after a configuration was confirmed.
	LoseAll bool
	// KeepLogs keeps the logs of the daemons. A run with findings keeps them in any case.
	KeepLogs bool
}

// Report is the result of a run.
type Report struct {
	Seed     uint64
	Plan     []string
	Requests int
	Answered int
	// Questions is how many requests showed by which version they were handled, and Required how many of them by one that had
	// to be in force.
	Questions, Required int
	Findings            []string
	// Logs is the directory with the logs of the daemons, or empty if it was removed.
	Logs string
}

// readyTimeout is how long Run waits until all entry VMs are ready.
const readyTimeout = 15 * time.Second

// Run starts a deployment, injects the faults planned for the seed while callers send
// requests, and checks the outcome. An error means that the run could not be carried out;
// violated guarantees are in the report.
func Run(o Options) (Report, error) {
	dir, err := os.MkdirTemp("", "heatherlock-soak-")
	if err != nil {
		return Report{}, fmt.Errorf("soak: create log directory: %w", err)
	}
	f := &findings{began: time.Now()}
	s, err := newSystem(o, dir, f)
	if err != nil {
		return Report{}, fmt.Errorf("soak: start deployment: %w", err)
	}
	defer s.close()
	if err := s.awaitReady(); err != nil {
		return Report{Logs: dir}, err
	}
	if err := s.noteGoroutines(); err != nil {
		return Report{Logs: dir}, err
	}
	f.mu.Lock()
	f.began = time.Now()
	f.mu.Unlock()
	l := &callLog{refused: make(map[string]int), served: make(map[string]bool),
		sentTo: make(map[string]*daemon), heard: make(map[statement]time.Time), limited: make(map[string][]time.Time)}
	plan := thin(newPlan(o.Seed, o.Length, o.Daemons), o.Sparse)
	for _, p := range o.parts() {
		if p.plan != nil {
			plan = append(plan, p.plan(o)...)
		}
	}
	sortPlan(plan)
	report := Report{Seed: o.Seed}
	var all sync.WaitGroup
	all.Go(func() { s.runPlan(plan, &report) })
	for n := range o.Callers {
		all.Go(func() { s.runCaller(n, o, l) })
	}
	for _, p := range o.parts() {
		if p.run != nil {
			all.Go(func() { p.run(s, o) })
		}
	}
	watched := make(chan struct{})
	go s.watchDaemons(watched)
	all.Wait()
	close(watched)
	if o.LoseAll {
		if err := s.loseAll(o); err != nil {
			return Report{Logs: dir}, err
		}
	}
	s.checkReleased(o.Settle)
	s.mu.Lock()
	s.checkRuns(l)
	s.checkStatements(l)
	s.checkLinkCuts(l)
	s.mu.Unlock()
	if s.versions != nil {
		report.Questions, report.Required = s.versions.Judged()
	}
	report.Requests, report.Answered, report.Findings = l.requests, l.answered, f.all
	if len(f.all) == 0 && !o.KeepLogs {
		return report, os.RemoveAll(dir)
	}
	report.Logs = dir
	return report, nil
}

func (s *system) awaitReady() error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, d := range s.daemons {
			response, err := client.Get("http://" + d.address(s.ports[1]) + platform.PathReady)
			if err != nil {
				continue
			}
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(s.daemons) {
			return nil
		}
	}
	return fmt.Errorf("soak: not all %d entry VMs became ready within %v", len(s.daemons), readyTimeout)
}

func (s *system) runPlan(plan []step, report *Report) {
	began := time.Now()
	for _, st := range plan {
		time.Sleep(time.Until(began.Add(st.at)))
		report.Plan = append(report.Plan, fmt.Sprintf("%6.2f s  %s", st.at.Seconds(), st.description))
		st.do(s)
	}
}

// meanCallPause is the mean pause of a caller between two requests.
const meanCallPause = 25 * time.Millisecond

// runCaller sends requests until the run is over. All faults end well before that, and
// in the last allServedPhase every request must be served.
func (s *system) runCaller(n int, o Options, l *callLog) {
	c := &caller{system: s, name: n, random: rand.New(rand.NewPCG(o.Seed, uint64(n)+100))}
	defer c.closeConn()
	began := time.Now()
	const allServedPhase = 2 * time.Second
	for i := 0; time.Since(began) < o.Length; i++ {
		c.call(i, l, time.Since(began) > o.Length-allServedPhase)
		time.Sleep(time.Duration(c.random.Int64N(int64(2 * meanCallPause))))
	}
}
