package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"heatherlock/peer/peerpb"
	"heatherlock/steering"
)

// directPeers calls the suspect list of the other entry VM without a network.
type directPeers struct{ w *testbed }

type directPeer struct {
	peerpb.Peer
	to *entryVM
}

func (d directPeers) To(address string) peerpb.Peer {
	if address == peerB {
		return directPeer{to: d.w.b}
	}
	return directPeer{to: d.w.a}
}

func (d directPeer) Suspect(_ context.Context, in *peerpb.SuspectRequest) (*peerpb.SuspectReply, error) {
	d.to.suspects.(*RegionSuspects).MergeFacts(in.Facts)
	return &peerpb.SuspectReply{}, nil
}

// useRealSuspects configures both entry VMs, in one region, with the real suspect list.
func (w *testbed) useRealSuspects() {
	for _, e := range []*entryVM{w.a, w.b} {
		e.suspects = NewSuspects(SuspectsConfig{
			Self: e.self, Members: e, Peers: directPeers{w}, Dial: w.net.Dial, Scope: e.scope, Log: log.NewNopLogger(),
		})
	}
}

const restartTime = 500 * time.Millisecond

// crashingTarget is a target that crashes, with all requests it has in flight, on a request with
// "bad" in its body. It restarts after restartTime.
type crashingTarget struct {
	w       *testbed
	name    string
	crashes atomic.Int32
	mu      sync.Mutex
	server  *http.Server
}

func (w *testbed) crashingTarget(names ...string) []*crashingTarget {
	var all []*crashingTarget
	for _, name := range names {
		f := &crashingTarget{w: w, name: name}
		f.start()
		all = append(all, f)
	}
	return all
}

func (f *crashingTarget) start() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.server = &http.Server{Handler: f}
	f.w.mu.Lock()
	defer f.w.mu.Unlock()
	f.w.serve(targetAddress(f.name), f.server)
}

func (f *crashingTarget) crash() {
	f.crashes.Add(1)
	f.mu.Lock()
	_ = f.server.Close()
	f.mu.Unlock()
	time.AfterFunc(restartTime, f.start)
}

func (f *crashingTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(targetRequestID, r.Header.Get(targetRequestID))
	text, _ := io.ReadAll(r.Body)
	if strings.Contains(string(text), "bad") {
		f.crash()
		panic(http.ErrAbortHandler)
	}
	if strings.Contains(string(text), "slow") {
		time.Sleep(100 * time.Millisecond)
	}
	fmt.Fprintf(w, "%s", text)
}

func crashCount(targets []*crashingTarget) (n int32) {
	for _, f := range targets {
		n += f.crashes.Load()
	}
	return n
}

// send sends a request through one of the two entry VMs.
func (w *testbed) send(through *entryVM, method, content string) callerResult {
	address := callerA
	if through == w.b {
		address = callerB
	}
	r, _ := http.NewRequest(method, "http://"+address+"/run", strings.NewReader(content))
	r.Host = "tickets.example"
	res, err := w.client.Do(r)
	if err != nil {
		return callerResult{err: err}
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	return callerResult{text: string(text), reason: res.Header.Get(headerReason), ran: res.Header.Get(headerRan), status: res.StatusCode, err: err}
}

// Guards against a pool that loses target after target to the same request. The caller repeats a
// request that crashes targets through both entry VMs, at once and after the targets restarted; an
// entry VM must also know the targets that its peer lost.
func TestPoisonRequestCrashesAtMostTwoTargets(t *testing.T) {
	for _, method := range []string{"POST", "PUT"} {
		t.Run(method, func(t *testing.T) {
			inTestbed(t, func(t *testing.T, w *testbed) {
				w.useRealSuspects()
				targets := w.crashingTarget("t1", "t2", "t3")
				var last callerResult
				for i := range 10 {
					last = w.send([]*entryVM{w.a, w.b}[i%2], method, "bad")
					if i%3 == 2 {
						time.Sleep(2 * restartTime)
					}
				}
				assert.Equal(t, crashCount(targets), int32(2))
				assert.Equal(t, last.reason+" "+last.ran, "poison no")
				assert.Equal(t, w.send(w.a, method, "good").text, "good")
				time.Sleep(2 * restartTime)
			})
		})
	}
}

// Guards against refusing harmless requests as poison. They were in flight when another request
// crashed a target, and their callers repeat them while that request crashes a second target. Not
// every request in flight may count as the cause.
func TestHarmlessRequestsAreNotRefused(t *testing.T) {
	inTestbed(t, func(t *testing.T, w *testbed) {
		w.useRealSuspects()
		targets := w.crashingTarget("t1", "t2", "t3")
		var callers sync.WaitGroup
		for i := range 3 {
			callers.Go(func() {
				content := fmt.Sprintf("slow %d", i)
				for {
					got := w.send(w.a, "PUT", content)
					assert.Assert(t, got.reason != string(steering.ReasonPoison), "harmless request %d was refused", i)
					if got.text == content {
						return
					}
					time.Sleep(restartTime)
				}
			})
		}
		time.Sleep(50 * time.Millisecond)
		for range 40 {
			if w.send(w.a, "POST", "bad").reason == string(steering.ReasonPoison) {
				break
			}
			time.Sleep(restartTime / 10)
		}
		callers.Wait()
		assert.Equal(t, crashCount(targets), int32(2))
		time.Sleep(2 * restartTime)
	})
}

// Guards against refusing harmless requests as poison during a brownout: targets break connections
// without crashing, twice with the same request, or are too slow to respond to the probe. Neither
// may count as a lost target.
func TestBrokenConnectionIsNotTargetLoss(t *testing.T) {
	inTestbed(t, func(t *testing.T, w *testbed) {
		w.useRealSuspects()
		sick := func(rw http.ResponseWriter, r *http.Request) {
			if r.URL.Path == probePath {
				rw.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			breakConnection(rw, r)
		}
		w.target("t1", sick)
		w.target("t2", sick)
		w.target("t3", sick)
		for range 4 {
			assert.Equal(t, w.send(w.a, "POST", "1").reason, "target_died")
		}
		slowAndSick := func(rw http.ResponseWriter, r *http.Request) {
			if r.URL.Path == probePath {
				time.Sleep(2 * probeTimeout)
			}
			breakConnection(rw, r)
		}
		w.target("t1", slowAndSick)
		for range 4 {
			assert.Equal(t, w.send(w.a, "POST", "2").reason, "target_died")
		}
		time.Sleep(time.Second)
		assert.Equal(t, len(w.a.suspects.(*RegionSuspects).Facts()), 0)
	})
}
