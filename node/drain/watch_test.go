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

// world is a snapshot with one stop and what remains of it.
type world struct {
	mu       sync.Mutex
	snapshot *routing.Snapshot
	inFlight int
	lines    strings.Builder
}

func (w *world) Snapshot() *routing.Snapshot          { return w.snapshot }
func (w *world) Subscribe(func(*routing.Snapshot))    {}
func (w *world) set(n int)                            { w.mu.Lock(); defer w.mu.Unlock(); w.inFlight = n }
func (w *world) Write(line []byte) (n int, err error) { return w.lines.Write(line) }

func (w *world) remaining(string) (drain.Remaining, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return drain.Remaining{InFlight: w.inFlight, AllReported: true}, true
}

// messages returns state or message of each log line with its cut flag.
func (w *world) messages(t *testing.T) []string {
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

// Symptom: work is cut at a deadline and nobody had been told. Sequence: a stop
// that cuts waits for an upload that outlasts its deadline. Cause: a report
// that comes with the cut. The warning must come before the deadline, once.
func TestDeadlineIsToldBeforeAnythingIsCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		w := &world{inFlight: 2, snapshot: &routing.Snapshot{Stops: map[string]*routing.Stop{
			"s": {Name: "s", Version: 1, Kind: routing.StopPlace, Subject: "sur", Deadline: begun.Add(5 * time.Minute), AbortAtDeadline: true},
		}}}
		watch, err := New(Config{Configs: w, IsZoneReader: func() bool { return true }, Remaining: w.remaining, Log: log.NewJSONLogger(w)})
		assert.NilError(t, err)
		ctx, stop := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { _ = watch.Run(ctx) })
		time.Sleep(4*time.Minute - time.Second)
		synctest.Wait()
		assert.DeepEqual(t, w.messages(t), []string{"draining"})
		time.Sleep(30 * time.Second)
		synctest.Wait()
		assert.DeepEqual(t, w.messages(t), []string{"draining", "warning"})
		time.Sleep(time.Minute)
		w.set(0)
		time.Sleep(10 * time.Second)
		stop()
		running.Wait()
		assert.DeepEqual(t, w.messages(t), []string{"draining", "warning", "overdue", "drained"})
	})
}
