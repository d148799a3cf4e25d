package forward

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"heatherlock/steering"
)

// latencyBuckets range from a hop over loopback to a slow target in another region.
var latencyBuckets = tally.DurationBuckets{
	500 * time.Microsecond, time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond,
	10 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond,
	200 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second,
	10 * time.Second, 30 * time.Second, 60 * time.Second,
}

// counters holds the metrics of the data path. They are created once, since looking up a tally
// counter by its labels costs more than forwarding a small header.
type counters struct {
	scope         tally.Scope
	refused       map[steering.Reason]tally.Counter
	retried       map[steering.Reason]tally.Counter
	spilled       tally.Counter
	handedOver    tally.Counter // to the owner of a key, or to a peer while this VM is leaving
	replayed      tally.Counter
	hedges        tally.Counter
	hedgesWon     tally.Counter
	aborted       tally.Counter // responses truncated after their header was sent
	cut           tally.Counter // tries that a planned stop canceled at its deadline
	inFlight      tally.Gauge
	inFlightCount atomic.Int64
	services      sync.Map // steering.Service -> *serviceCounters
}

// serviceCounters holds the metrics of one service's requests.
type serviceCounters struct {
	requests tally.Counter
	answered tally.Counter
	latency  tally.Histogram
}

func newCounters(scope tally.Scope) *counters {
	c := &counters{
		scope:      scope,
		refused:    make(map[steering.Reason]tally.Counter, len(steering.Reasons)),
		retried:    make(map[steering.Reason]tally.Counter, len(steering.Reasons)),
		spilled:    scope.Counter("spilled"),
		handedOver: scope.Counter("handed_over"),
		replayed:   scope.Counter("answers_replayed"),
		hedges:     scope.Counter("hedges"),
		hedgesWon:  scope.Counter("hedges_won"),
		aborted:    scope.Counter("answers_aborted"),
		cut:        scope.Counter("cut_by_stops"),
		inFlight:   scope.Gauge("in_flight"),
	}
	for reason := range steering.Reasons {
		tagged := scope.Tagged(map[string]string{"reason": string(reason)})
		c.refused[reason] = tagged.Counter("refusals")
		c.retried[reason] = tagged.Counter("retries")
	}
	return c
}

func (c *counters) service(name steering.Service) *serviceCounters {
	if known, ok := c.services.Load(name); ok {
		return known.(*serviceCounters)
	}
	tagged := c.scope.Tagged(map[string]string{"service": string(name)})
	made := &serviceCounters{
		requests: tagged.Counter("requests"),
		answered: tagged.Counter("answers"),
		latency:  tagged.Histogram("latency_seconds", latencyBuckets),
	}
	kept, _ := c.services.LoadOrStore(name, made)
	return kept.(*serviceCounters)
}

func (c *counters) refuse(reason steering.Reason) {
	if counter, ok := c.refused[reason]; ok {
		counter.Inc(1)
	}
}

func (c *counters) retry(reason steering.Reason) {
	if counter, ok := c.retried[reason]; ok {
		counter.Inc(1)
	}
}

func (c *counters) begin() { c.inFlight.Update(float64(c.inFlightCount.Add(1))) }

func (c *counters) end() { c.inFlight.Update(float64(c.inFlightCount.Add(-1))) }
