package soak

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"heatherlock/platform"
)

// daemon is one entry VM: a process that is started again each time it ends.
type daemon struct {
	name, ip string
	dir      string
	binary   string
	settings map[string]any

	mu      sync.Mutex
	process *os.Process
	// cut is when it was last killed or paused; what a caller loses then is no
	// breach.
	cut     time.Time
	leaving time.Time // of the last SIGTERM
	boots   int
	stopped bool
	ended   chan struct{}
}

// restartPause is how long after its end a process is started again.
const restartPause = 300 * time.Millisecond

func (d *daemon) address(port int) string { return fmt.Sprintf("%s:%d", d.ip, port) }

// writeSettings replaces the settings file.
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

// run keeps the process running until stop.
func (d *daemon) run(report func(format string, args ...any)) {
	defer close(d.ended)
	for {
		process, err := d.start()
		if err != nil {
			report("%s did not start: %v", d.name, err)
			return
		}
		state, err := process.Wait()
		d.mu.Lock()
		unasked := time.Since(d.cut) > 2*time.Second && time.Since(d.leaving) > 10*time.Second && !d.stopped
		stopped := d.stopped
		d.process = nil
		d.mu.Unlock()
		if unasked {
			report("%s ended by itself: %v %v", d.name, state, err)
		}
		if stopped {
			return
		}
		time.Sleep(restartPause)
	}
}

func (d *daemon) start() (*os.Process, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(d.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd := exec.Command(d.binary, "platform")
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+filepath.Join(d.dir, d.name+".json"))
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	d.process = cmd.Process
	d.boots++
	return cmd.Process, nil
}

// signal sends a signal to the process, if it runs.
func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch s {
	case syscall.SIGTERM:
		d.leaving = time.Now()
	case syscall.SIGKILL, syscall.SIGSTOP, syscall.SIGCONT:
		d.cut = time.Now()
	}
	if d.process != nil {
		_ = d.process.Signal(s) // it may have ended just now
	}
}

// stop ends the process for good.
func (d *daemon) stop() {
	d.mu.Lock()
	d.stopped = true
	d.mu.Unlock()
	d.signal(syscall.SIGCONT)
	d.signal(syscall.SIGKILL)
	<-d.ended
}

// undisturbed reports whether the daemon was neither killed, paused nor told to
// leave within a span.
func (d *daemon) undisturbed(span time.Duration) (boot int, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.boots, time.Since(d.cut) > span && time.Since(d.leaving) > span+10*time.Second && d.process != nil
}

// wasCut reports whether the daemon was killed or paused since a time.
func (d *daemon) wasCut(since time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cut.After(since)
}
