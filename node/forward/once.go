package forward

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/uber-go/tally/v4"

	"heatherlock/node/static"
	"heatherlock/steering"
	"heatherlock/steering/once"
)

// recordingShare is the divisor of limits.outcomeBytes that bounds the responses still being
// received: they may take 1/4 of it in addition to the table. Without a bound, thousands of slow
// responses at once would take far more memory than the table itself.
const recordingShare = 4

// OutcomesConfig configures NewOutcomes.
type OutcomesConfig struct {
	Incarnation steering.Incarnation
	Started     time.Time
	Limits      static.Limits
	Scope       tally.Scope
}

// KeyOutcomes implements Outcomes with the table of package once. Repeats of a key that is running
// wait for its outcome. It is safe for concurrent use.
type KeyOutcomes struct {
	maxRecordingBytes int64
	recordingBytes    atomic.Int64
	decisions         map[once.DecisionKind]tally.Counter
	entries           tally.Gauge
	bytes             tally.Gauge
	evicted           tally.Counter
	evictedEarly      tally.Counter
	answersDropped    tally.Counter

	mu         sync.Mutex
	table      *once.Table
	executions map[steering.Key]*execution
	lastStats  once.Stats
}

// execution is a key that is being executed. Its result is set before done is closed.
type execution struct {
	done    chan struct{}
	answer  *Answer // nil if it is not kept
	refusal *steering.Refusal
}

var _ Outcomes = (*KeyOutcomes)(nil)

// NewOutcomes returns an empty table for the keys of one incarnation.
func NewOutcomes(c OutcomesConfig) *KeyOutcomes {
	names := map[once.DecisionKind]string{
		once.Execute: "execute", once.Join: "join", once.Replay: "replay", once.Refuse: "refuse", once.Foreign: "foreign",
	}
	o := &KeyOutcomes{
		maxRecordingBytes: c.Limits.OutcomeBytes / recordingShare,
		decisions:         make(map[once.DecisionKind]tally.Counter, len(names)),
		entries:           c.Scope.Gauge("key_entries"),
		bytes:             c.Scope.Gauge("key_bytes"),
		evicted:           c.Scope.Counter("key_evictions"),
		evictedEarly:      c.Scope.Counter("key_evictions_early"),
		answersDropped:    c.Scope.Counter("key_answers_dropped"),
		executions:        make(map[steering.Key]*execution),
		table: once.New(once.Config{
			Incarnation: c.Incarnation, Start: c.Started,
			MaxBytes: c.Limits.OutcomeBytes, KeepFor: c.Limits.OutcomeTTL(),
		}),
	}
	for kind, name := range names {
		o.decisions[kind] = c.Scope.Tagged(map[string]string{"decision": name}).Counter("key_decisions")
	}
	return o
}

// Claim implements Outcomes.
func (o *KeyOutcomes) Claim(ctx context.Context, key steering.Key, fingerprint uint64) (Recorder, *Answer, *steering.Refusal) {
	decision, running := o.begin(key, once.Fingerprint(fingerprint))
	switch decision.Kind {
	case once.Execute:
		return &keyRecorder{outcomes: o, run: decision.Run}, nil, nil
	case once.Join:
		return running.wait(ctx)
	case once.Replay:
		return nil, decision.Answer, nil
	case once.Foreign:
		return nil, nil, once.HomeGone(decision.Home)
	}
	return nil, nil, decision.Refusal
}

func (o *KeyOutcomes) begin(key steering.Key, fingerprint once.Fingerprint) (once.Decision, *execution) {
	o.mu.Lock()
	defer o.mu.Unlock()
	decision := o.table.Begin(time.Now(), key, fingerprint)
	o.decisions[decision.Kind].Inc(1)
	if decision.Kind == once.Execute {
		o.executions[key] = &execution{done: make(chan struct{})}
	}
	return decision, o.executions[key]
}

// wait returns the outcome of the running execution. A repeat shares it and never starts another
// execution, even if the first one provably did not run: the refusal says so, and the caller
// decides.
func (f *execution) wait(ctx context.Context) (Recorder, *Answer, *steering.Refusal) {
	select {
	case <-f.done:
		return nil, f.answer, f.refusal
	case <-ctx.Done():
	}
	if errors.Is(context.Cause(ctx), errDeadline) {
		refusal := steering.RefuseUnknown(steering.ReasonDeadline, "the same key is still running")
		refusal.RetryAfter = time.Second
		return nil, nil, refusal
	}
	return nil, nil, steering.RefuseUnknown(steering.ReasonCancelled, "the caller went away while the same key was running")
}

// finish records the outcome of a run and releases the repeats that wait for it.
func (o *KeyOutcomes) finish(run once.Run, outcome once.Outcome, refusal *steering.Refusal) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.table.Finish(time.Now(), run, outcome) {
		return
	}
	f := o.executions[run.Key]
	delete(o.executions, run.Key)
	f.answer, f.refusal = outcome.Answer, refusal
	close(f.done)
	o.updateMetrics()
}

func (o *KeyOutcomes) updateMetrics() {
	s := o.table.Stats()
	o.entries.Update(float64(s.Entries))
	o.bytes.Update(float64(s.Bytes))
	o.evicted.Inc(int64(s.Evicted - o.lastStats.Evicted))
	o.evictedEarly.Inc(int64(s.EvictedEarly - o.lastStats.EvictedEarly))
	o.answersDropped.Inc(int64(s.AnswersDropped - o.lastStats.AnswersDropped))
	o.lastStats = s
}

// keyRecorder records the one execution of a key. The response is only kept while it is small
// enough.
type keyRecorder struct {
	outcomes *KeyOutcomes
	run      once.Run
	answer   Answer
	tooBig   bool
	reserved int64
}

// Head implements Recorder.
func (r *keyRecorder) Head(status int, header http.Header) {
	r.answer.Status = status
	r.answer.Header = make(http.Header, len(header))
	copyEndToEnd(r.answer.Header, header)
}

// Body implements Recorder.
func (r *keyRecorder) Body(p []byte) {
	if r.tooBig {
		return
	}
	size := int64(len(r.answer.Body) + len(p))
	if size > once.DefaultMaxAnswerBytes || !r.reserve(int64(len(p))) {
		r.tooBig = true
		r.answer.Body = nil
		r.release()
		return
	}
	r.answer.Body = append(r.answer.Body, p...)
}

func (r *keyRecorder) reserve(n int64) bool {
	r.reserved += n
	return r.outcomes.recordingBytes.Add(n) <= r.outcomes.maxRecordingBytes
}

func (r *keyRecorder) release() {
	r.outcomes.recordingBytes.Add(-r.reserved)
	r.reserved = 0
}

// Complete implements Recorder.
func (r *keyRecorder) Complete(trailer http.Header) {
	r.release()
	r.answer.Trailer = trailer.Clone()
	if r.tooBig || r.answer.Size() > once.DefaultMaxAnswerBytes {
		r.outcomes.finish(r.run, once.Outcome{Kind: once.Done}, answerNotKept())
		return
	}
	answer := r.answer
	r.outcomes.finish(r.run, once.Outcome{Kind: once.Done, Answer: &answer}, nil)
}

func answerNotKept() *steering.Refusal {
	return &steering.Refusal{Reason: steering.ReasonResponseNotKept, Ran: steering.RanYes, Detail: "the request ran to its end"}
}

// Refused implements Recorder.
func (r *keyRecorder) Refused(refusal *steering.Refusal) {
	r.release()
	outcome := once.Outcome{Kind: once.Unknown, Refusal: refusal}
	if refusal.Ran == steering.RanNo {
		outcome = once.Outcome{Kind: once.NotRun}
	}
	r.outcomes.finish(r.run, outcome, refusal)
}
