package drain

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"heatherlock/steering/drain"
	"heatherlock/steering/routing"
)

// system is a snapshot with one stop, the number of its requests in flight, and the log.
type system struct {
	mu       sync.Mutex
	snapshot *routing.Snapshot
	inFlight int
	lines    strings.Builder
}

func (w *system) Snapshot() *routing.Snapshot          { return w.snapshot }
func (w *system) Subscribe(func(*routing.Snapshot))    {}
func (w *system) setInFlight(n int)                    { w.mu.Lock(); defer w.mu.Unlock(); w.inFlight = n }
func (w *system) Write(line []byte) (n int, err error) { return w.lines.Write(line) }

func (w *system) remaining(string) (drain.Remaining, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return drain.Remaining{InFlight: w.inFlight, AllReported: true}, true
}

// statesLogged returns the state that each log line reports, or "warning" if it has none.
func (w *system) statesLogged(t *testing.T) []string {
	var all []string
	for line := range strings.Lines(w.lines.String()) {
		var fields struct {
			Msg   string `json:"msg"`
			State string `json:"state"`
		}
		assert.NilError(t, json.Unmarshal([]byte(line), &fields))
		if fields.State == "" {
			fields.State = "warning"
		}
		all = append(all, fields.State)
	}
	return all
}

// Guards against requests that are aborted at a deadline without a previous warning. A stop that
// aborts at its deadline waits for an upload that takes longer. The warning must come before the
// deadline, and only once.
func TestDeadlineWarningComesBeforeTheCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		w := &system{inFlight: 2, snapshot: &routing.Snapshot{Stops: map[string]*routing.Stop{
			"s": {Name: "s", Version: 1, Kind: routing.StopPlace, Subject: "sur", Deadline: begun.Add(5 * time.Minute), AbortAtDeadline: true},
		}}}
		watch, err := New(Config{Configs: w, IsZoneReader: func() bool { return true }, Remaining: w.remaining, Log: log.NewJSONLogger(w)})
		assert.NilError(t, err)
		ctx, stop := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { _ = watch.Run(ctx) })
		time.Sleep(4*time.Minute - time.Second)
		synctest.Wait()
		assert.DeepEqual(t, w.statesLogged(t), []string{"draining"})
		time.Sleep(30 * time.Second)
		synctest.Wait()
		assert.DeepEqual(t, w.statesLogged(t), []string{"draining", "warning"})
		time.Sleep(time.Minute)
		w.setInFlight(0)
		time.Sleep(10 * time.Second)
		stop()
		running.Wait()
		assert.DeepEqual(t, w.statesLogged(t), []string{"draining", "warning", "overdue", "drained"})
	})
}
