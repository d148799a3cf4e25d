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

// Options are the choices of a run.
type Options struct {
	Seed    uint64
	Length  time.Duration
	Daemons int
	Targets int
	Callers int
	// Binary is the daemon to run.
	Binary string
	// BasePort is the first of seven ports in use on each entry VM's address.
	BasePort int
	// KeepLogs leaves the daemons' logs; a run with findings always does.
	KeepLogs bool
}

// Report is what a run showed.
type Report struct {
	Seed     uint64
	Plan     []string
	Asked    int
	Answered int
	Findings []string
	// Logs is the folder with the daemons' logs, if it was kept.
	Logs string
}

// readyWithin bounds the start of all entry VMs.
const readyWithin = 15 * time.Second

// Run plays a seed.
func Run(o Options) (Report, error) {
	dir, err := os.MkdirTemp("", "heatherlock-soak-")
	if err != nil {
		return Report{}, fmt.Errorf("soak: no folder for logs: %w", err)
	}
	f := &findings{began: time.Now()}
	s, err := newSite(o, dir, f)
	if err != nil {
		return Report{}, fmt.Errorf("soak: start: %w", err)
	}
	defer s.close()
	if err := s.awaitReady(); err != nil {
		return Report{Logs: dir}, err
	}
	f.mu.Lock()
	f.began = time.Now()
	f.mu.Unlock()
	l := &ledger{refused: make(map[string]int), served: make(map[string]bool)}
	plan := newPlan(o.Seed, o.Length, o.Daemons)
	report := Report{Seed: o.Seed}
	var all sync.WaitGroup
	all.Go(func() { s.play(plan, &report) })
	for n := range o.Callers {
		all.Go(func() { s.keepCalling(n, o, l) })
	}
	all.Wait()
	s.mu.Lock()
	s.checkRuns(l)
	s.mu.Unlock()
	report.Asked, report.Answered, report.Findings = l.asked, l.answered, f.all
	if len(f.all) == 0 && !o.KeepLogs {
		return report, os.RemoveAll(dir)
	}
	report.Logs = dir
	return report, nil
}

func (s *site) awaitReady() error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(readyWithin); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
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
	return fmt.Errorf("soak: not all of %d entry VMs were ready within %v", len(s.daemons), readyWithin)
}

func (s *site) play(plan []step, report *Report) {
	began := time.Now()
	for _, st := range plan {
		time.Sleep(time.Until(began.Add(st.at)))
		report.Plan = append(report.Plan, fmt.Sprintf("%6.2f s  %s", st.at.Seconds(), st.what))
		st.do(s)
	}
}

// callPause is the mean pause of a caller between two requests.
const callPause = 25 * time.Millisecond

// keepCalling sends requests until the run is over. In its last seconds all
// faults are over, and every request has to be served.
func (s *site) keepCalling(n int, o Options, l *ledger) {
	c := &caller{site: s, name: n, random: rand.New(rand.NewPCG(o.Seed, uint64(n)+100))}
	defer c.drop()
	began := time.Now()
	const healedFor = 2 * time.Second
	for i := 0; time.Since(began) < o.Length; i++ {
		c.call(i, l, time.Since(began) > o.Length-healedFor)
		time.Sleep(time.Duration(c.random.Int64N(int64(2 * callPause))))
	}
}
