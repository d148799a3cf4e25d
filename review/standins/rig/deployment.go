package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"time"
)

// graceTime is the time between SIGTERM and SIGKILL (graceS).
const graceTime = 6 * time.Second

// deployment is a small deployment on loopback addresses.
type deployment struct {
	dir      string
	record   *record
	store    *platformStore
	machines []*machine
}

// runCommand returns the command of the deploy file's role.
func runCommand() ([]string, error) {
	raw, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	found := regexp.MustCompile(`(?m)^run = "([^"]+)"`).FindStringSubmatch(string(raw))
	if found == nil {
		return nil, fmt.Errorf("deploy/system.toml names no command")
	}
	words := strings.Fields(found[1])
	if words[0], err = filepath.Abs(words[0]); err != nil {
		return nil, err
	}
	_, err = os.Stat(words[0])
	return words, err
}

// newDeployment starts a store and machines in the zones, of which each has a region.
func newDeployment(r *record, zones map[string]string, zoneOfMachine []string) (*deployment, error) {
	dir, err := os.MkdirTemp("", "heatherlock-review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{dir: dir, record: r, store: newPlatformStore()}
	command, err := runCommand()
	if err != nil {
		return d, err
	}
	var ips, seeds []string
	for i := range zoneOfMachine {
		ips = append(ips, fmt.Sprintf("127.%d.%d.%d", 20+os.Getpid()%200, os.Getpid()/200%250, 10+i))
	}
	p, err := freePorts(ips)
	if err != nil {
		return d, err
	}
	for i, zone := range zoneOfMachine {
		m := &machine{name: fmt.Sprintf("front-%s-%d", zone, i+1), zone: zone, ip: ips[i], ports: p, dir: dir, command: command, record: r, ended: make(chan struct{})}
		d.machines = append(d.machines, m)
		if i < 3 {
			seeds = append(seeds, m.at(p.control))
		}
	}
	for _, m := range d.machines {
		if err := m.writeSettings("deploy/settings.json", zones, seeds, d.store.address()); err != nil {
			return d, err
		}
	}
	return d, nil
}

// start starts all machines, and returns once all are ready.
func (d *deployment) start() error {
	for _, m := range d.machines {
		m.mu.Lock()
		m.started = true
		m.mu.Unlock()
		go m.run()
	}
	for limit := time.Now().Add(10 * time.Second); time.Now().Before(limit); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, m := range d.machines {
			if isReady(m) {
				ready++
			}
		}
		if ready == len(d.machines) {
			d.record.note("all %d machines are ready", ready)
			return nil
		}
	}
	return fmt.Errorf("not all machines became ready")
}

func isReady(m *machine) bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + m.at(m.ports.ready) + "/v1/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// stop ends all processes and removes the folder of the run.
func (d *deployment) stop() {
	for _, m := range d.machines {
		m.stop()
	}
	_ = os.RemoveAll(d.dir)
}

func (d *deployment) byName(name string) *machine {
	for _, m := range d.machines {
		if m.name == name {
			return m
		}
	}
	return nil
}

func (d *deployment) byFront(address string) *machine {
	for _, m := range d.machines {
		if m.at(m.ports.front) == address {
			return m
		}
	}
	return nil
}
