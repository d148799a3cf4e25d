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

// directPeers calls the other entry VM's suspects without a network.
type directPeers struct{ w *world }

type directPeer struct {
	peerpb.Peer
	to *entry
}

func (d directPeers) To(address string) peerpb.Peer {
	if address == peerB {
		return directPeer{to: d.w.b}
	}
	return directPeer{to: d.w.a}
}

func (d directPeer) Suspect(_ context.Context, in *peerpb.SuspectRequest) (*peerpb.SuspectReply, error) {
	d.to.suspects.(*RegionSuspects).Learn(in.Facts)
	return &peerpb.SuspectReply{}, nil
}

// keepSuspects gives both entry VMs the real suspects, in one region.
func (w *world) keepSuspects() {
	for _, e := range []*entry{w.a, w.b} {
		e.suspects = NewSuspects(SuspectsConfig{
			Self: e.self, Members: e, Peers: directPeers{w}, Dial: w.net.Dial, Scope: e.scope, Log: log.NewNopLogger(),
		})
	}
}

const restartTime = 500 * time.Millisecond

// fragile is a target whose process dies of a request with "bad" in its body,
// with all it has in hand, and comes back after restartTime.
type fragile struct {
	w       *world
	name    string
	crashes atomic.Int32
	mu      sync.Mutex
	server  *http.Server
}

func (w *world) fragile(names ...string) []*fragile {
	var all []*fragile
	for _, name := range names {
		f := &fragile{w: w, name: name}
		f.start()
		all = append(all, f)
	}
	return all
}

func (f *fragile) start() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.server = &http.Server{Handler: f}
	f.w.mu.Lock()
	defer f.w.mu.Unlock()
	f.w.serve(targetAddress(f.name), f.server)
}

func (f *fragile) crash() {
	f.crashes.Add(1)
	f.mu.Lock()
	_ = f.server.Close()
	f.mu.Unlock()
	time.AfterFunc(restartTime, f.start)
}

func (f *fragile) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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

func lost(targets []*fragile) (n int32) {
	for _, f := range targets {
		n += f.crashes.Load()
	}
	return n
}

// send sends a request through one of the two entry VMs.
func (w *world) send(through *entry, method, content string) told {
	address := callerA
	if through == w.b {
		address = callerB
	}
	r, _ := http.NewRequest(method, "http://"+address+"/run", strings.NewReader(content))
	r.Host = "tickets.example"
	res, err := w.client.Do(r)
	if err != nil {
		return told{err: err}
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	return told{text: string(text), reason: res.Header.Get(headerReason), ran: res.Header.Get(headerRan), status: res.StatusCode, err: err}
}

// Symptom: a pool loses target after target with the same request in hand.
// Sequence: a caller sends a request that crashes the target, and sends it again
// through the other entry VM at once and later, while crashed targets return.
// Cause: an entry VM knows only of the targets it lost itself.
func TestCulpritTakesDownTwoTargetsAtMost(t *testing.T) {
	for _, method := range []string{"POST", "PUT"} {
		t.Run(method, func(t *testing.T) {
			inWorld(t, func(t *testing.T, w *world) {
				w.keepSuspects()
				targets := w.fragile("t1", "t2", "t3")
				var last told
				for i := range 10 {
					last = w.send([]*entry{w.a, w.b}[i%2], method, "bad")
					if i%3 == 2 {
						time.Sleep(2 * restartTime)
					}
				}
				assert.Equal(t, lost(targets), int32(2))
				assert.Equal(t, last.reason+" "+last.ran, "poison no")
				assert.Equal(t, w.send(w.a, method, "good").text, "good")
				time.Sleep(2 * restartTime)
			})
		})
	}
}

// Symptom: callers whose requests did no harm are refused as culprits. Sequence:
// a target crashes with theirs in hand; they send them again; the culprit takes
// down a second target. Cause: every request in hand is held to be the culprit.
func TestInnocentsAreNotRefused(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.keepSuspects()
		targets := w.fragile("t1", "t2", "t3")
		var callers sync.WaitGroup
		for i := range 3 {
			callers.Go(func() {
				content := fmt.Sprintf("slow %d", i)
				for {
					got := w.send(w.a, "PUT", content)
					assert.Assert(t, got.reason != string(steering.ReasonPoison), "innocent %d", i)
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
		assert.Equal(t, lost(targets), int32(2))
		time.Sleep(2 * restartTime)
	})
}

// Symptom: in a brown-out innocent requests are refused as culprits. Sequence:
// targets break connections without dying, twice with the same request, or are
// too slow to say that they live. Cause: a broken connection, or an overloaded
// target, is taken for a lost one.
func TestBrokenConnectionIsNoLoss(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.keepSuspects()
		sick := func(rw http.ResponseWriter, r *http.Request) {
			if r.URL.Path == probePath {
				rw.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			die(rw, r)
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
			die(rw, r)
		}
		w.target("t1", slowAndSick)
		for range 4 {
			assert.Equal(t, w.send(w.a, "POST", "2").reason, "target_died")
		}
		time.Sleep(time.Second)
		assert.Equal(t, len(w.a.suspects.(*RegionSuspects).Facts()), 0)
	})
}
