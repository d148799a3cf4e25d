package witness

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

var testCap = CapLimit{From: []string{"centro-a"}, To: []string{"sur-a"}, Requests: 2, Window: time.Second}

// newHealthyRun returns the records of a run in which every promise was exercised and
// held.
func newHealthyRun() *Witness {
	w := New()
	w.Declare("tickets-1", "sur-a", "tickets", 2)
	w.Declare("tickets-2", "sur-a", "tickets", 0)
	w.ConfigAccepted(7, at(0), []string{"vm-1", "vm-2"})
	w.ConfigSeen("vm-1", 7, at(100))
	w.ConfigSeen("vm-2", 7, at(200))
	for i := range 4 {
		w.run(fmt.Sprintf("p%d", i), "centro-a", 1000*i, 50, EndAnswered)
		w.Answered(Try{Request: fmt.Sprintf("p%d", i), Try: fmt.Sprintf("p%d/1", i), Kind: KindPurchase})
	}
	w.Answered(Try{Request: "p9", Try: "p9/1", Kind: KindPurchase, Answer: AnswerRefused, Reason: "no_slot", Ran: RanNo})
	e := w.run("u1", "sur-a", 3100, 900, EndAnswered)
	w.Received(e, 10, "sum")
	w.Answered(Try{Request: "u1", Try: "u1/1", Kind: KindUpload, SentBytes: 10, SentSum: "sum"})
	w.crash("crash")
	w.crash("crash")
	w.Stopped(Stop{Target: "tickets-1", Accepted: at(3500)})
	w.Finished(w.Started(Start{At: at(7000), Target: "tickets-2", Request: "r9", Try: "r9/1"}), at(7010), EndAnswered)
	return w
}

func (w *Witness) crash(request string) {
	w.Finished(w.Started(Start{At: at(60), Target: "tickets-1", Request: request}), at(70), EndCausedCrash)
}

func (w *Witness) run(request, home string, startMs, forMs int, how End) *Execution {
	w.Offered("tickets-1")
	e := w.Started(Start{At: at(startMs), Target: "tickets-1", Request: request, Try: request + "/1", Home: home})
	w.Finished(e, at(startMs+forMs), how)
	return e
}

var testPlan = Planned{Caps: []CapLimit{testCap}, Crashes: true}

func judge(w *Witness) Verdict { return w.Judge(at(9000), testPlan) }

func TestEveryPromiseHolds(t *testing.T) {
	v := judge(newHealthyRun())
	for _, f := range v.Findings {
		assert.Check(t, f.Held(), "%+v", f)
	}
	assert.Check(t, v.Held())
	assert.Check(t, !v.AnyBroken())
}

func TestNothingSeenIsNotHeld(t *testing.T) {
	v := judge(New())
	for _, f := range v.Findings {
		assert.Check(t, !f.Exercised && !f.Held(), "%+v", f)
	}
	assert.Check(t, !v.Held())
}

// Each row adds one violation to a run in which every promise holds. Guards against a
// check that cannot fail, so that a run exits 0 although a promise is broken.
func TestPlantedBreaches(t *testing.T) {
	breaches := []struct {
		name    string
		promise Promise
		inject  func(*Witness)
	}{
		{"third start in a window", PromiseCap, func(w *Witness) {
			w.run("x1", "centro-a", 1500, 10, EndAnswered)
			w.run("x2", "centro-a", 1999, 10, EndAnswered)
		}},
		{"more requests than the place has slots", PromiseOverload, func(w *Witness) {
			for i := range 2 {
				w.Started(Start{At: at(100), Target: "tickets-1", Request: fmt.Sprint("o", i)})
			}
			w.Offered("tickets-1")
		}},
		{"response to another request", PromiseWhole, func(w *Witness) {
			w.Answered(Try{Request: "r1", Try: "r1/1", Answer: AnswerWrong})
		}},
		{"refused as not run, then ran", PromiseNotRun, func(w *Witness) {
			w.run("p9", "sur-a", 5, 10, EndAnswered)
		}},
		{"purchase run twice", PromiseOnce, func(w *Witness) {
			w.run("p1", "sur-a", 5, 10, EndCrashed)
		}},
		{"new work after a stop", PromiseNoNewWork, func(w *Witness) {
			w.run("late", "sur-a", 6501, 10, EndAnswered)
		}},
		{"request cut on a stopping target", PromiseNoCut, func(w *Witness) {
			w.run("cut", "sur-a", 3400, 200, EndCancelled)
		}},
		{"upload with a broken connection", PromiseUploads, func(w *Witness) {
			w.Answered(Try{Request: "u2", Try: "u2/1", Kind: KindUpload, Answer: AnswerBroken, SentBytes: 5})
		}},
		{"upload acknowledged with other bytes", PromiseUploads, func(w *Witness) {
			e := w.run("u3", "sur-a", 10, 10, EndAnswered)
			w.Received(e, 4, "other")
			w.Answered(Try{Request: "u3", Try: "u3/1", Kind: KindUpload, SentBytes: 5, SentSum: "mine"})
		}},
		{"upload with other bytes, refused as answer cut", PromiseUploads, func(w *Witness) {
			e := w.run("u4", "sur-a", 10, 10, EndAnswered)
			w.Received(e, 4, "other")
			w.Answered(Try{Request: "u4", Try: "u4/1", Kind: KindUpload, Answer: AnswerRefused, Reason: "answer_cut", Ran: "unknown", SentBytes: 5, SentSum: "mine"})
		}},
		{"upload refused as home gone though nothing was killed", PromiseUploads, func(w *Witness) {
			w.Answered(Try{Request: "u6", Try: "u6/1", Kind: KindUpload, Answer: AnswerRefused, Reason: "home_gone", Ran: "unknown", SentBytes: 5})
		}},
		{"configuration late on one entry VM", PromiseConfigFast, func(w *Witness) {
			w.ConfigAccepted(9, at(1000), []string{"vm-1"})
			w.ConfigSeen("vm-1", 9, at(5001))
		}},
		{"configuration never seen", PromiseConfigFast, func(w *Witness) {
			w.ConfigAccepted(9, at(8000), []string{"vm-2"})
		}},
		{"one request crashes a third target", PromiseCrashLimit, func(w *Witness) { w.crash("crash") }},
		{"configuration reverts", PromiseNoRevert, func(w *Witness) {
			w.ConfigSeen("vm-1", 6, at(300))
		}},
	}
	for _, b := range breaches {
		t.Run(b.name, func(t *testing.T) {
			w := newHealthyRun()
			b.inject(w)
			v := judge(w)
			assert.Check(t, !v.Held())
			for _, f := range v.Findings {
				assert.Check(t, f.Held() == (f.Promise != b.promise), "%+v", f)
			}
		})
	}
}

func TestExcusedBreakIsNoCut(t *testing.T) {
	w := newHealthyRun()
	w.Answered(Try{Request: "u2", Try: "u2/1", Kind: KindUpload, Answer: AnswerBroken, Excused: true})
	v := judge(w)
	assert.Check(t, v.Held())
	assert.Equal(t, v.Excused, 1)
}

// Guards against counting an upload as cut only because its outcome is unknown to the
// caller. Here the upload arrives complete and runs, and the target then truncates its
// response.
func TestUploadWithTruncatedResponseIsNoCut(t *testing.T) {
	w := newHealthyRun()
	e := w.run("u5", "sur-a", 10, 10, EndAnswered)
	w.Received(e, 5, "mine")
	w.Answered(Try{Request: "u5", Try: "u5/1", Kind: KindUpload, Answer: AnswerRefused, Reason: "answer_cut", Ran: "unknown", SentBytes: 5, SentSum: "mine"})
	assert.Check(t, judge(w).Held())
}

// Guards against counting an upload as cut after the run itself killed an entry VM. The
// kill breaks the first try, which is excused; the caller repeats the upload through
// another entry VM, which refuses it because the home of the key is gone.
func TestRefusedRepeatAfterKillIsNoCut(t *testing.T) {
	w := newHealthyRun()
	first := Try{Request: "u7", Try: "u7/1", Kind: KindUpload, Answer: AnswerBroken, Excused: true, SentBytes: 5}
	w.Answered(first)
	w.Answered(Try{Request: "u7", Try: "u7/2", Kind: KindUpload, Answer: AnswerRefused, Reason: "home_gone", Ran: "unknown", SentBytes: 5})
	assert.Check(t, judge(w).Held())
}

func TestBodyDependsOnRequest(t *testing.T) {
	a, b := Body("r1", 2000), Body("r2", 2000)
	assert.Equal(t, len(a), 2000)
	assert.Check(t, string(a[10:]) != string(b[10:]))
	assert.DeepEqual(t, a, Body("r1", 2000))
	assert.Equal(t, string(Body("long", 0)), "long\n")
}
