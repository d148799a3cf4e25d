package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// machine is an entry VM as the platform runs it. A process that ends is started again.
type machine struct {
	name, zone, ip string
	ports          ports
	dir            string
	command        []string
	record         *record

	mu      sync.Mutex
	process *os.Process
	started bool // run was called
	stopped bool // the rig ends it
	leaving bool // it got SIGTERM, and is not started again
	stops   []time.Time
	exits   []string
	ended   chan struct{}
}

// ports are the same on all machines of a run.
type ports struct{ front, ready, directory, control, peers, metrics int }

// freePorts returns ports that are free on all the addresses. Those for peers are three in a row.
func freePorts(ips []string) (ports, error) {
	for base := 21000 + os.Getpid()%800*40; base < 60000; base += 40 {
		if allFree(ips, base, 10) {
			return ports{base, base + 1, base + 2, base + 3, base + 4, base + 8}, nil
		}
	}
	return ports{}, fmt.Errorf("no free ports")
}

func allFree(ips []string, base, count int) bool {
	for _, ip := range ips {
		for p := base; p < base+count; p++ {
			l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, p))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (m *machine) at(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

var placeholder = regexp.MustCompile(`\{\{([A-Za-z.]+)\|json\}\}`)

// writeSettings renders the template of the deploy file with the platform's fields.
func (m *machine) writeSettings(template string, zones map[string]string, seeds []string, store string) error {
	raw, err := os.ReadFile(template)
	if err != nil {
		return err
	}
	fields := map[string]any{
		"nodeName": m.name, "zone": m.zone, "region": zones[m.zone], "zones": zones, "ip": m.ip,
		"listen.front": m.at(m.ports.front), "listen.ready": m.at(m.ports.ready), "listen.directory": m.at(m.ports.directory),
		"listen.control": m.at(m.ports.control), "internalPorts": []int{m.ports.peers, m.ports.peers + 3}, "seeds": seeds,
		"platform.address": store, "limits.memoryMb": 284, "limits.cpuShare": 0.32, "limits.linkMbps": 1000.0, "heartbeatMs": heartbeatInterval.Milliseconds(),
		"bounds": map[string]any{"seedLagS": 3, "reuseAfterS": 2, "stableWindowMs": 4000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2500, "graceS": graceTime.Seconds(),
			"lossSlackMs": 200, "configApplyMs": 2500, "rollbackSlackMs": 250, "maxStretchMs": 6000, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "retrySlack": 62,
			"coldOvershoot": 1.5, "coldSlack": 5, "evacuationMs": 5000, "recoveryS": 15, "ttl_max_s": 5, "maxShift": 0.15},
	}
	missing := ""
	text := placeholder.ReplaceAllStringFunc(string(raw), func(found string) string {
		name := placeholder.FindStringSubmatch(found)[1]
		value, known := fields[name]
		if !known {
			missing = name
		}
		encoded, _ := json.Marshal(value)
		return string(encoded)
	})
	if missing != "" {
		return fmt.Errorf("the template names %s, which this rig does not know", missing)
	}
	text = strings.Replace(text, `"metricsPort": 7630`, fmt.Sprintf(`"metricsPort": %d`, m.ports.metrics), 1)
	return os.WriteFile(m.settings(), []byte(text), 0o600)
}

func (m *machine) settings() string { return filepath.Join(m.dir, m.name+".json") }

var errStopped = errors.New("the run is over")

// restartPause is the delay between the end of a process and its next start.
const restartPause = 300 * time.Millisecond

// run starts the process, and again after each end, until stop or terminate is called.
func (m *machine) run() {
	defer close(m.ended)
	for {
		process, err := m.start()
		if err != nil {
			m.record.note("%s did not start: %v", m.name, err)
			return
		}
		state, _ := process.Wait()
		m.mu.Lock()
		m.process = nil
		last := m.stopped || m.leaving
		if !last {
			m.exits = append(m.exits, state.String())
		}
		m.mu.Unlock()
		m.record.note("%s ended: %v", m.name, state)
		if last {
			return
		}
		time.Sleep(restartPause)
	}
}

func (m *machine) start() (*os.Process, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped {
		return nil, errStopped
	}
	log, err := os.OpenFile(filepath.Join(m.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd := exec.Command(m.command[0], m.command[1:]...)
	cmd.Env = []string{"HEATHERLOCK_SETTINGS=" + m.settings(), "PATH=" + os.Getenv("PATH"), "HOME=" + m.dir}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	m.process = cmd.Process
	return cmd.Process, nil
}

// terminate sends SIGTERM, and SIGKILL after the grace time, as the platform does for a planned stop.
func (m *machine) terminate() {
	m.mu.Lock()
	m.leaving = true
	process := m.process
	m.mu.Unlock()
	if process == nil {
		return
	}
	m.record.note("SIGTERM to %s", m.name)
	_ = process.Signal(syscall.SIGTERM) // the process may have just ended
	time.AfterFunc(graceTime, func() { _ = process.Kill() })
}

// restart sends SIGTERM, and SIGKILL after the grace time. The process is started again when it has ended.
func (m *machine) restart() {
	m.mu.Lock()
	m.stops = append(m.stops, time.Now())
	process := m.process
	m.mu.Unlock()
	if process == nil {
		return
	}
	m.record.note("SIGTERM to %s, which is started again", m.name)
	_ = process.Signal(syscall.SIGTERM)                      // the process may have just ended
	time.AfterFunc(graceTime, func() { _ = process.Kill() }) // as above
}

// stoppedBefore returns the last SIGTERM before a time.
func (m *machine) stoppedBefore(at time.Time) (stop time.Time, found bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.stops {
		if s.Before(at) {
			stop, found = s, true
		}
	}
	return stop, found
}

// stop ends the process for good.
func (m *machine) stop() {
	m.mu.Lock()
	m.stopped = true
	started := m.started
	if m.process != nil {
		_ = m.process.Kill() // the process may have just ended
	}
	m.mu.Unlock()
	if started {
		<-m.ended
	}
}

// ownEnds returns how the process ended by itself.
func (m *machine) ownEnds() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]string(nil), m.exits...)
}

// lastPanic returns the lines of the process's log from its last panic on.
func (m *machine) lastPanic(lines int) []string {
	raw, err := os.ReadFile(filepath.Join(m.dir, m.name+".log"))
	if err != nil {
		return nil
	}
	at := strings.LastIndex(string(raw), "\npanic: ")
	if at < 0 {
		return nil
	}
	all := strings.Split(string(raw[at+1:]), "\n")
	return all[:min(len(all), lines)]
}
