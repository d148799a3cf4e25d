package soak

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"heatherlock/platform"
)

// daemon is one entry VM: a process that is restarted each time it exits.
type daemon struct {
	name, ip string
	// targetsIP is where the daemon finds all targets.
	targetsIP string
	dir       string
	binary    string
	settings  map[string]any

	mu      sync.Mutex
	process *os.Process
	// interruptedAt is when the process was last killed, paused or resumed. A request
	// that fails around that time is no finding.
	interruptedAt time.Time
	terminatedAt  time.Time // time of the last SIGTERM
	terminated    int       // the boot that got it
	signals       []time.Time
	pausedAt      time.Time // when it was last paused or resumed
	boots         int
	bootedAt      time.Time
	stopped       bool
	ended         chan struct{}
}

const (
	// stopBound is the time within which an entry VM ends that is told to stop: its grace time, and room for a busy machine.
	stopBound = 8 * time.Second
	// longestPause is longer than an entry VM is paused.
	longestPause = 4 * time.Second
)

// restartPause is the delay between the exit of a process and its restart.
const restartPause = 300 * time.Millisecond

func (d *daemon) address(port int) string { return fmt.Sprintf("%s:%d", d.ip, port) }

// writeSettings replaces the settings file atomically.
func (d *daemon) writeSettings() error {
	raw, err := json.Marshal(d.settings)
	if err != nil {
		return err
	}
	file := filepath.Join(d.dir, d.name+".json")
	if err := os.WriteFile(file+".new", raw, 0o600); err != nil {
		return err
	}
	return os.Rename(file+".new", file)
}

// run starts the process and restarts it after each exit, until stop is called. An exit
// without a recent signal is reported.
func (d *daemon) run(report func(format string, args ...any)) {
	defer close(d.ended)
	for {
		process, err := d.start()
		if errors.Is(err, errStopped) {
			return
		}
		if err != nil {
			report("%s did not start: %v", d.name, err)
			return
		}
		state, err := process.Wait()
		d.mu.Lock()
		unexpected := time.Since(d.interruptedAt) > 2*time.Second && time.Since(d.terminatedAt) > 10*time.Second && !d.stopped
		stopped := d.stopped
		d.process = nil
		d.mu.Unlock()
		if unexpected || failed(state) {
			report("%s ended by itself: %v %v; its last words:\n%s", d.name, state, err, d.lastWords())
		}
		if stopped {
			return
		}
		time.Sleep(restartPause)
	}
}

// failed reports whether a process ended with an error of its own: a panic, or two locks taken in both orders. It
// does whatever signals it got, unless one of them ended it.
func failed(state *os.ProcessState) bool { return state != nil && state.Exited() && !state.Success() }

// lastWordsBytes is how much of the end of a log is shown for a process that ended by itself.
const lastWordsBytes = 4 << 10

// lastWords returns the end of the daemon's log.
func (d *daemon) lastWords() string {
	log, err := os.ReadFile(filepath.Join(d.dir, d.name+".log"))
	if err != nil {
		return err.Error()
	}
	return string(log[max(len(log)-lastWordsBytes, 0):])
}

// errStopped reports that stop was called.
var errStopped = errors.New("soak: the run is over")

func (d *daemon) start() (*os.Process, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopped {
		return nil, errStopped
	}
	log, err := os.OpenFile(filepath.Join(d.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd := exec.Command(d.binary, "platform")
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+filepath.Join(d.dir, d.name+".json"), linkVariable+"="+d.targetsIP)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	d.process = cmd.Process
	d.boots++
	d.bootedAt = time.Now()
	return cmd.Process, nil
}

// signal sends a signal to the process if it is running.
func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s != syscall.SIGHUP {
		d.signals = append(d.signals, time.Now())
	}
	if s == syscall.SIGSTOP || s == syscall.SIGCONT {
		d.pausedAt = time.Now()
	}
	switch s {
	case syscall.SIGTERM:
		d.terminatedAt, d.terminated = time.Now(), d.boots
	case syscall.SIGKILL, syscall.SIGSTOP, syscall.SIGCONT:
		d.interruptedAt = time.Now()
	}
	if d.process != nil {
		_ = d.process.Signal(s) // the process may have just exited
	}
}

// stop kills the process, also when it is paused, and waits until run returns.
func (d *daemon) stop() {
	d.mu.Lock()
	d.stopped = true
	d.mu.Unlock()
	d.signal(syscall.SIGCONT)
	d.signal(syscall.SIGKILL)
	<-d.ended
}

// undisturbed reports whether the daemon is running and got no signal that kills, pauses
// or resumes it within a span, and no SIGTERM within that span and the 10 s before it. It
// also returns the number of the current boot.
func (d *daemon) undisturbed(span time.Duration) (boot int, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.boots, time.Since(d.interruptedAt) > span && time.Since(d.terminatedAt) > span+10*time.Second && d.process != nil
}

// overdue reports whether the daemon goes on although it was told to stop, and is not paused.
func (d *daemon) overdue() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.process != nil && d.terminated == d.boots && time.Since(d.terminatedAt) > stopBound && time.Since(d.interruptedAt) > longestPause
}

// signalledWithin reports whether the daemon got a signal that kills, stops, pauses or resumes it between
// two times, or so shortly before that it had not recovered yet.
func (d *daemon) signalledWithin(from, to time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.ContainsFunc(d.signals, func(at time.Time) bool { return at.After(from.Add(-linkCutKnown)) && at.Before(to) })
}

// startedAnew reports whether the process has got no signal since its start.
func (d *daemon) startedAnew() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.process != nil && d.bootedAt.After(d.interruptedAt) && d.bootedAt.After(d.terminatedAt)
}

// resumedWithin reports whether the daemon was paused or resumed within a span.
func (d *daemon) resumedWithin(span time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Since(d.pausedAt) < span
}

// wasInterrupted reports whether the daemon was killed, paused or resumed after a time.
func (d *daemon) wasInterrupted(since time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.interruptedAt.After(since)
}
