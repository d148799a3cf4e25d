package quickstart

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"

	"heatherlock/node"
	"heatherlock/standin/deploy"
)

// Suffixes of the files in the directory given with --processes.
const (
	settingsSuffix = ".json"
	// downSuffix is the suffix of a marker file. Whoever runs the processes creates
	// it before killing the entry VM and removes it once the process is up again.
	downSuffix = ".down"
)

const (
	// processesTimeout limits the wait for all processes to be started.
	processesTimeout = 60 * time.Second
	// markerPollInterval is the interval of checks for marker files and process health.
	markerPollInterval = 20 * time.Millisecond
	// maxKillDelay is the maximum time between the creation of a marker file and the
	// kill of the process.
	maxKillDelay = time.Second
)

// processes manages entry VMs that run as separate daemon processes. It does not
// start them: it writes their settings to a directory and waits until they are up,
// so that whoever runs them can kill, freeze and restart real daemons during a run.
type processes struct {
	dir      string
	nextPort int
}

// prepare writes the settings of an entry VM and registers it as started.
func (p *processes) prepare(s *system, e deploy.EntryVM, incarnation int) (*entryVM, error) {
	addresses, err := p.freeAddresses()
	if err != nil {
		return nil, err
	}
	settings := s.settings(e)
	settings.CallerListen = addresses.Caller
	settings.PeerListen = addresses.Peer
	settings.OperatorListen = addresses.Operator
	settings.Log.Level = "info"
	text, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return nil, errors.Wrap(err, "quickstart: encode settings")
	}
	if err := os.WriteFile(p.path(e.Name, settingsSuffix), text, 0o600); err != nil {
		return nil, fmt.Errorf("quickstart: --processes: %w; name a directory that can be written", err)
	}
	v := &entryVM{EntryVM: e, incarnation: incarnation, addresses: addresses, end: func() {}}
	s.register(v)
	return v, nil
}

func (p *processes) path(vm, suffix string) string { return filepath.Join(p.dir, vm+suffix) }

// The ports of the processes are below the ephemeral port range of the operating
// system, so that no outgoing connection takes one between the search for a free
// port and the start of the daemon.
const (
	firstPort = 20000
	lastPort  = 32000
	// portStride separates the ports of concurrent runs.
	portStride = 40
)

// freeAddresses returns three loopback addresses that are currently free.
func (p *processes) freeAddresses() (node.Addresses, error) {
	var found [3]string
	for i := range found {
		address, err := p.freeAddress()
		if err != nil {
			return node.Addresses{}, err
		}
		found[i] = address
	}
	return node.Addresses{Caller: found[0], Peer: found[1], Operator: found[2]}, nil
}

func (p *processes) freeAddress() (string, error) {
	if p.nextPort == 0 {
		p.nextPort = firstPort + os.Getpid()*portStride%(lastPort-firstPort)
	}
	for range lastPort - firstPort {
		address := fmt.Sprintf("127.0.0.1:%d", p.nextPort)
		p.nextPort++
		if p.nextPort > lastPort {
			p.nextPort = firstPort
		}
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		return address, listener.Close()
	}
	return "", errors.New("quickstart: no free port for the entry VMs' processes; end what listens on them")
}

// wait waits until every process is healthy.
func (p *processes) wait(s *system) error {
	ctx, cancel := context.WithTimeout(context.Background(), processesTimeout)
	defer cancel()
	for _, v := range s.all() {
		for !healthy(ctx, v.addresses.Operator) {
			if ctx.Err() != nil {
				return fmt.Errorf("quickstart: entry VM %s does not answer; run heatherlockd --settings %s", v.Name, p.path(v.Name, settingsSuffix))
			}
			time.Sleep(markerPollInterval)
		}
	}
	return nil
}

func healthy(ctx context.Context, operator string) bool {
	return probeSucceeds(ctx, operator, "/healthz")
}

// followMarkers records which processes are killed and restarted, until ctx ends.
func (p *processes) followMarkers(ctx context.Context, s *system) {
	down := make(map[string]*entryVM)
	for ctx.Err() == nil {
		for _, e := range s.deployment.EntryVMs() {
			p.checkMarker(ctx, s, e.Name, down)
		}
		select {
		case <-ctx.Done():
		case <-time.After(markerPollInterval):
		}
	}
}

func (p *processes) checkMarker(ctx context.Context, s *system, name string, down map[string]*entryVM) {
	_, err := os.Stat(p.path(name, downSuffix))
	marked := err == nil
	killed := down[name]
	switch {
	case marked && killed == nil:
		if v, ok := s.markKilled(name, time.Now()); ok {
			down[name] = v
		}
	case !marked && killed != nil && healthy(ctx, killed.addresses.Operator):
		s.register(&entryVM{EntryVM: killed.EntryVM, incarnation: killed.incarnation + 1, addresses: killed.addresses, end: func() {}})
		delete(down, name)
	}
}
