package target

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/standin/witness"
)

func start(t *testing.T, c Config) (*Target, *witness.Witness) {
	t.Helper()
	c.Name, c.Service, c.Place = "t1", "tickets", "norte-a"
	if c.Slots == 0 {
		c.Slots = 1
	}
	c.Witness = witness.New()
	target, err := Start(c)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = target.Close() })
	return target, c.Witness
}

type call struct {
	id, deadlineMs, crash string
	body                  io.Reader
	ctx                   context.Context
}

func (c call) send(target *Target) (*http.Response, error) {
	if c.ctx == nil {
		c.ctx = context.Background()
	}
	r, err := http.NewRequestWithContext(c.ctx, http.MethodPost, "http://"+target.Address()+"/buy", c.body)
	if err != nil {
		return nil, err
	}
	r.Header.Set(HeaderRequestID, c.id)
	r.Header.Set(witness.HeaderRequest, c.id)
	r.Header.Set(HeaderDeadlineMs, c.deadlineMs)
	r.Header.Set(HeaderCrash, c.crash)
	return (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for range 2000 {
		if ok() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("condition not met in time: %s", what)
}

func TestAnswerIsWholeAndReportsLoad(t *testing.T) {
	target, _ := start(t, Config{Slots: 3})
	reply, err := call{id: "a"}.send(target)
	assert.NilError(t, err)
	body, err := io.ReadAll(reply.Body)
	assert.NilError(t, err)
	assert.DeepEqual(t, body, witness.Body("a", DefaultAnswerBytes))
	assert.Equal(t, reply.Header.Get(HeaderRequestID), "a")
	assert.Equal(t, reply.Header.Get(HeaderSlots), "3")
	load, err := http.Get("http://" + target.Address() + "/load")
	assert.NilError(t, err)
	var said Load
	assert.NilError(t, json.NewDecoder(load.Body).Decode(&said))
	assert.Equal(t, said, Load{Slots: 3})
}

// Guards against a refusal by a full target that has run the request or lacks the
// header Target-Not-Run: the caller would repeat the request and pay twice.
func TestFullTargetShedsWithoutRunning(t *testing.T) {
	target, w := start(t, Config{ServiceTime: time.Hour})
	ctx, cancel := context.WithCancel(t.Context())
	go func() { _, _ = call{id: "long", ctx: ctx}.send(target) }()
	eventually(t, "slot taken", func() bool { return target.InFlight() == 1 })
	reply, err := call{id: "late"}.send(target)
	assert.NilError(t, err)
	assert.Equal(t, reply.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, reply.Header.Get(HeaderNotRun), "true")
	assert.Equal(t, w.Executions(), 1)
	cancel()
	eventually(t, "cancelled request stops", func() bool { return target.InFlight() == 0 })
}

func TestDeadlineStopsWork(t *testing.T) {
	target, _ := start(t, Config{ServiceTime: time.Hour})
	reply, err := call{id: "a", deadlineMs: "5"}.send(target)
	assert.NilError(t, err)
	assert.Equal(t, reply.StatusCode, http.StatusGatewayTimeout)
	assert.Equal(t, target.InFlight(), 0)
}

func TestDrainRefusesNewWorkAndKeepsOld(t *testing.T) {
	target, w := start(t, Config{Slots: 2, ServiceTime: 50 * time.Millisecond})
	first := make(chan int, 1)
	go func() {
		reply, err := call{id: "old"}.send(target)
		if err != nil {
			first <- 0
			return
		}
		first <- reply.StatusCode
	}()
	eventually(t, "slot taken", func() bool { return target.InFlight() == 1 })
	target.Drain(true)
	reply, err := call{id: "new"}.send(target)
	assert.NilError(t, err)
	assert.Equal(t, reply.Header.Get(HeaderNotRun), "true")
	assert.Equal(t, <-first, http.StatusOK)
	assert.Equal(t, w.Executions(), 1)
}

// Checks the fault that tests need for requests that crash one target after another.
// A marker in a header, or in a body where it spans two reads, must close the listener
// and every connection, and the target must restart later on the same address.
func TestMarkedRequestCrashes(t *testing.T) {
	crashes := map[string]call{
		"header": {id: "a", crash: "boom"},
		"body":   {id: "b", body: io.MultiReader(strings.NewReader(strings.Repeat("x", 9000)+"bo"), strings.NewReader("om!"))},
	}
	for name, c := range crashes {
		t.Run(name, func(t *testing.T) {
			target, w := start(t, Config{Slots: 2, CrashMarker: "boom", Restart: 20 * time.Millisecond})
			_, err := c.send(target)
			assert.Check(t, err != nil)
			assert.Equal(t, target.Crashes(), 1)
			assert.Equal(t, w.Executions(), 1)
			eventually(t, "target restarted", func() bool {
				reply, err := call{id: "c"}.send(target)
				return err == nil && reply.StatusCode == http.StatusOK
			})
		})
	}
}

func TestFalseHealthAndLoad(t *testing.T) {
	target, _ := start(t, Config{Slots: 4, ServiceTime: time.Hour})
	target.SetFaults(Faults{Health: HealthBad, Load: &Load{InFlight: 9, Slots: 40}, WorkingSlots: 1})
	health, err := http.Get("http://" + target.Address() + "/healthz")
	assert.NilError(t, err)
	assert.Equal(t, health.StatusCode, http.StatusServiceUnavailable)
	go func() { _, _ = call{id: "a", ctx: t.Context()}.send(target) }()
	eventually(t, "slot taken", func() bool { return target.InFlight() == 1 })
	reply, err := call{id: "b"}.send(target)
	assert.NilError(t, err)
	assert.Equal(t, reply.Header.Get(HeaderNotRun), "true")
	assert.Equal(t, reply.Header.Get(HeaderSlots), "40")
}

// Checks the faults that tests need for targets with truncated or crossed responses,
// with which a caller would get half of its own ticket or another caller's ticket.
func TestShortAndCrossedAnswers(t *testing.T) {
	target, _ := start(t, Config{})
	target.SetFaults(Faults{ShortEvery: 1})
	reply, err := call{id: "a"}.send(target)
	assert.NilError(t, err)
	_, err = io.ReadAll(reply.Body)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	target.SetFaults(Faults{CrossedEvery: 1})
	reply, err = call{id: "b"}.send(target)
	assert.NilError(t, err)
	body, err := io.ReadAll(reply.Body)
	assert.NilError(t, err)
	assert.Equal(t, reply.Header.Get(HeaderRequestID), "a")
	assert.Check(t, bytes.HasPrefix(body, []byte("a\n")))
}

func TestColdStartWarmsWithRequests(t *testing.T) {
	w := newWarmup(Cold{Factor: 3, Warm: 2, Idle: time.Minute})
	now := time.Unix(0, 0)
	assert.Equal(t, w.factor(now), 3.0)
	assert.Equal(t, w.factor(now), 2.0)
	assert.Equal(t, w.factor(now), 1.0)
	assert.Equal(t, w.factor(now.Add(2*time.Minute)), 3.0)
}

func TestConnectionLimit(t *testing.T) {
	target, _ := start(t, Config{MaxConnections: 1})
	held, err := net.Dial("tcp", target.Address())
	assert.NilError(t, err)
	defer held.Close()
	excess, err := net.Dial("tcp", target.Address())
	assert.NilError(t, err)
	_, err = excess.Read(make([]byte, 1))
	assert.Check(t, err != nil)
}

func TestBadConfig(t *testing.T) {
	_, err := Start(Config{Slots: 1})
	assert.ErrorContains(t, err, "Name is empty")
	_, err = Start(Config{Name: "t"})
	assert.ErrorContains(t, err, "Slots is 0")
}
