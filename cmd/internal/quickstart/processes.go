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

// Endings of the files in the directory of --processes.
const (
	settingsSuffix = ".json"
	// downSuffix marks an entry VM that whoever runs the processes is about to
	// kill. The file goes away once the process is up again.
	downSuffix = ".down"
)

const (
	// processesTimeout bounds the wait for all processes to be started.
	processesTimeout = 60 * time.Second
	markPoll         = 20 * time.Millisecond
	// killWithin is how long after its mark a process is killed at the latest.
	killWithin = time.Second
)

// processes stands for entry VMs that run as processes of their own, as on
// their VMs. Nothing here starts them: it writes their settings to a directory
// and waits. So a run can be watched while somebody kills, freezes and
// restarts real daemons.
type processes struct {
	dir      string
	nextPort int
}

// expect writes the settings of an entry VM and takes it for started.
func (p *processes) expect(s *system, e deploy.EntryVM, life int) (*entryVM, error) {
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
	v := &entryVM{EntryVM: e, life: life, addresses: addresses, end: func() {}}
	s.add(v)
	return v, nil
}

func (p *processes) path(vm, suffix string) string { return filepath.Join(p.dir, vm+suffix) }

// Ports for processes lie below those that the system gives to outgoing
// connections, so that none is taken between the search and the daemon's start.
const (
	firstPort = 20000
	lastPort  = 32000
	// portStride keeps two runs at once apart.
	portStride = 40
)

// freeAddresses finds three addresses that are free now.
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

// wait waits until every process answers.
func (p *processes) wait(s *system) error {
	ctx, cancel := context.WithTimeout(context.Background(), processesTimeout)
	defer cancel()
	for _, v := range s.all() {
		for !healthy(ctx, v.addresses.Operator) {
			if ctx.Err() != nil {
				return fmt.Errorf("quickstart: entry VM %s does not answer; run heatherlockd --settings %s", v.Name, p.path(v.Name, settingsSuffix))
			}
			time.Sleep(markPoll)
		}
	}
	return nil
}

func healthy(ctx context.Context, operator string) bool { return says(ctx, operator, "/healthz") }

// follow notes processes that are killed and started again, until ctx ends.
func (p *processes) follow(ctx context.Context, s *system) {
	down := make(map[string]*entryVM)
	for ctx.Err() == nil {
		for _, e := range s.deployment.EntryVMs() {
			p.followOne(ctx, s, e.Name, down)
		}
		select {
		case <-ctx.Done():
		case <-time.After(markPoll):
		}
	}
}

func (p *processes) followOne(ctx context.Context, s *system, name string, down map[string]*entryVM) {
	_, err := os.Stat(p.path(name, downSuffix))
	marked := err == nil
	lost := down[name]
	switch {
	case marked && lost == nil:
		if v, ok := s.lose(name, time.Now()); ok {
			down[name] = v
		}
	case !marked && lost != nil && healthy(ctx, lost.addresses.Operator):
		s.add(&entryVM{EntryVM: lost.EntryVM, life: lost.life + 1, addresses: lost.addresses, end: func() {}})
		delete(down, name)
	}
}
