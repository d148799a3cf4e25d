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

// scene is a run in which every promise was exercised and held.
func scene() *Witness {
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
	w.Finished(w.Started(Start{At: at(60), Target: "tickets-1", Request: request}), at(70), EndCulprit)
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
	v := judge(scene())
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

// Each row plants one breach into a run that otherwise holds. The symptom
// would be a run that exits 0 while the promise is broken; the cause, a
// judgement that cannot fail.
func TestPlantedBreaches(t *testing.T) {
	breaches := []struct {
		name    string
		promise Promise
		plant   func(*Witness)
	}{
		{"third start in a window", PromiseCap, func(w *Witness) {
			w.run("x1", "centro-a", 1500, 10, EndAnswered)
			w.run("x2", "centro-a", 1999, 10, EndAnswered)
		}},
		{"more offered than the place has slots", PromiseOverload, func(w *Witness) {
			for i := range 2 {
				w.Started(Start{At: at(100), Target: "tickets-1", Request: fmt.Sprint("o", i)})
			}
			w.Offered("tickets-1")
		}},
		{"answer of somebody else", PromiseWhole, func(w *Witness) {
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
		{"upload broken off", PromiseUploads, func(w *Witness) {
			w.Answered(Try{Request: "u2", Try: "u2/1", Kind: KindUpload, Answer: AnswerBroken, SentBytes: 5})
		}},
		{"upload acknowledged with other bytes", PromiseUploads, func(w *Witness) {
			e := w.run("u3", "sur-a", 10, 10, EndAnswered)
			w.Received(e, 4, "other")
			w.Answered(Try{Request: "u3", Try: "u3/1", Kind: KindUpload, SentBytes: 5, SentSum: "mine"})
		}},
		{"upload told cut in its answer, with other bytes", PromiseUploads, func(w *Witness) {
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
		{"one request crashes a third target", PromiseFewLost, func(w *Witness) { w.crash("crash") }},
		{"configuration reverts", PromiseNoRevert, func(w *Witness) {
			w.ConfigSeen("vm-1", 6, at(300))
		}},
	}
	for _, b := range breaches {
		t.Run(b.name, func(t *testing.T) {
			w := scene()
			b.plant(w)
			v := judge(w)
			assert.Check(t, !v.Held())
			for _, f := range v.Findings {
				assert.Check(t, f.Held() == (f.Promise != b.promise), "%+v", f)
			}
		})
	}
}

func TestExcusedBreakIsNoCut(t *testing.T) {
	w := scene()
	w.Answered(Try{Request: "u2", Try: "u2/1", Kind: KindUpload, Answer: AnswerBroken, Excused: true})
	v := judge(w)
	assert.Check(t, v.Held())
	assert.Equal(t, v.Excused, 1)
}

// Symptom: a run with targets that cut their answers is judged to cut uploads.
// Sequence: an upload arrives whole and runs; the target ends its answer
// early; the caller is told that the outcome is unknown. Cause: the judgement
// took any unknown outcome of an upload for one whose bytes were lost.
func TestUploadWithItsAnswerCutByTheTargetArrivedWhole(t *testing.T) {
	w := scene()
	e := w.run("u5", "sur-a", 10, 10, EndAnswered)
	w.Received(e, 5, "mine")
	w.Answered(Try{Request: "u5", Try: "u5/1", Kind: KindUpload, Answer: AnswerRefused, Reason: "answer_cut", Ran: "unknown", SentBytes: 5, SentSum: "mine"})
	assert.Check(t, judge(w).Held())
}

// Symptom: a run with a killed entry VM is judged to cut uploads. Sequence: the
// kill ends an upload's first try, which is excused; the caller repeats it
// through another entry VM and is told that the key's home is gone. Cause: the
// judgement took the repeat's refusal for a second cut.
func TestRepeatAfterAKillIsNoSecondCut(t *testing.T) {
	w := scene()
	first := Try{Request: "u7", Try: "u7/1", Kind: KindUpload, Answer: AnswerBroken, Excused: true, SentBytes: 5}
	w.Answered(first)
	w.Answered(Try{Request: "u7", Try: "u7/2", Kind: KindUpload, Answer: AnswerRefused, Reason: "home_gone", Ran: "unknown", SentBytes: 5})
	assert.Check(t, judge(w).Held())
}

func TestBodyIsItsOwn(t *testing.T) {
	a, b := Body("r1", 2000), Body("r2", 2000)
	assert.Equal(t, len(a), 2000)
	assert.Check(t, string(a[10:]) != string(b[10:]))
	assert.DeepEqual(t, a, Body("r1", 2000))
	assert.Equal(t, string(Body("long", 0)), "long\n")
}
