package spill

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"heatherlock/steering"
)

// Params configures a [Table]. Zero fields take the defaults.
type Params struct {
	// HintTTL is the age at which a hint has decayed completely and is ignored.
	HintTTL time.Duration
	// MinBackoff and MaxBackoff bound the backoff after a refusal. MaxFullBackoff is the upper
	// bound instead of MaxBackoff if the refusal says that the pool is at its limit.
	MinBackoff     time.Duration
	MaxFullBackoff time.Duration
	MaxBackoff     time.Duration
}

// Defaults of Params.
const (
	DefaultHintTTL        = 5 * time.Second
	DefaultMinBackoff     = 20 * time.Millisecond
	DefaultMaxFullBackoff = 50 * time.Millisecond
	DefaultMaxBackoff     = 5 * time.Second
)

const (
	// neutralWeight is the weight of a place without a valid hint, equal to two free slots.
	neutralWeight = 2.0
	// fullWeight is the weight of a place that is known to be full. It is above zero so that the
	// place stays in the list, rarely first, and is still tried when all places are full.
	fullWeight = 0.05
	// maxDoublings limits the exponential growth of the backoff.
	maxDoublings = 10
)

// WithDefaults returns p with zero and negative fields set to the defaults.
func (p Params) WithDefaults() Params {
	if p.HintTTL <= 0 {
		p.HintTTL = DefaultHintTTL
	}
	if p.MinBackoff <= 0 {
		p.MinBackoff = DefaultMinBackoff
	}
	if p.MaxFullBackoff <= 0 {
		p.MaxFullBackoff = DefaultMaxFullBackoff
	}
	if p.MaxBackoff <= 0 {
		p.MaxBackoff = DefaultMaxBackoff
	}
	return p
}

// Pool identifies the slots of a service at a place.
type Pool struct {
	Place   steering.Place
	Service steering.Service
}

// hint is the state of a pool as known to the sender.
type hint struct {
	free int
	// at is the time at which free was measured.
	at time.Time
	// sent counts the requests sent to the pool since then.
	sent int
	// backoffUntil is the end of the backoff after the last refusal. refusals counts consecutive
	// refusals.
	backoffUntil time.Time
	refusals     int
}

// Table holds the hints of one sender. It is not safe for concurrent use.
type Table struct {
	params Params
	hints  map[Pool]*hint
	// orderSeed differs for each call of Order, so that successive calls return different orders;
	// see score.
	orderSeed uint64
}

// NewTable returns an empty table.
func NewTable(p Params) *Table {
	return &Table{params: p.WithDefaults(), hints: map[Pool]*hint{}}
}

func (t *Table) hint(pool Pool) *hint {
	h, ok := t.hints[pool]
	if !ok {
		h = &hint{}
		t.hints[pool] = h
	}
	return h
}

// RecordFree records the number of free slots that a pool had at the given time. It ignores figures
// older than the current one.
func (t *Table) RecordFree(pool Pool, free int, at time.Time) {
	h := t.hint(pool)
	if at.Before(h.at) {
		return
	}
	h.free, h.at, h.sent = free, at, 0
	if free > 0 {
		h.refusals = 0
	}
}

// RecordRefusal records that a pool refused a request, with the reason and the requested retry
// delay. The sender backs off for the retry delay or for MinBackoff, whichever is longer;
// MinBackoff doubles with each consecutive refusal.
//
// The backoff from a full pool is limited to MaxFullBackoff, because the retry delay in such a
// refusal is meant for a single caller among many. Slots become free within milliseconds, and a
// sender that stopped all its requests for the whole delay would refuse its callers although other
// places had free capacity.
func (t *Table) RecordRefusal(pool Pool, reason steering.Reason, retryAfter time.Duration, now time.Time) {
	h := t.hint(pool)
	longest := t.params.MaxBackoff
	if isTransient(reason) {
		longest = t.params.MaxFullBackoff
	}
	pause := t.params.MinBackoff << min(h.refusals, maxDoublings)
	pause = min(max(pause, retryAfter), longest)
	h.refusals++
	h.free, h.at, h.sent = 0, now, 0
	h.backoffUntil = now.Add(pause)
}

// isTransient reports whether the condition behind a refusal can end as soon as the next running
// request ends.
func isTransient(reason steering.Reason) bool {
	switch reason {
	case steering.ReasonNoSlot, steering.ReasonQueueFull, steering.ReasonShed, steering.ReasonLinkFull:
		return true
	}
	return false
}

// RecordSent subtracts one request, just sent to the pool, from the pool's hint.
func (t *Table) RecordSent(pool Pool) { t.hint(pool).sent++ }

// RemoveExpired removes hints that have expired and whose backoff has ended.
func (t *Table) RemoveExpired(now time.Time) {
	for pool, h := range t.hints {
		if now.Sub(h.at) > t.params.HintTTL && now.After(h.backoffUntil) {
			delete(t.hints, pool)
		}
	}
}

// Candidate is a place that has targets for a service.
type Candidate struct {
	Place steering.Place
	// Distance orders candidates, nearest first. Candidates at equal distance are ordered by free
	// capacity.
	Distance int
}

type rankedCandidate struct {
	place    steering.Place
	full     bool
	distance int
	score    float64
}

// Order returns the candidates that may be tried now, in order of preference. Places known to be
// full are last; the others are sorted by distance and, at equal distance, in a random order
// weighted by free capacity. Places in backoff are left out.
func (t *Table) Order(service steering.Service, candidates []Candidate, now time.Time) []steering.Place {
	t.orderSeed++
	list := make([]rankedCandidate, 0, len(candidates))
	for _, c := range candidates {
		h := t.hints[Pool{Place: c.Place, Service: service}]
		if h != nil && now.Before(h.backoffUntil) {
			continue
		}
		w := t.weight(h, now)
		list = append(list, rankedCandidate{place: c.Place, full: w <= fullWeight, distance: c.Distance, score: t.score(c.Place, w)})
	}
	slices.SortFunc(list, compareCandidates)
	places := make([]steering.Place, len(list))
	for i, r := range list {
		places[i] = r.place
	}
	return places
}

func compareCandidates(a, b rankedCandidate) int {
	switch {
	case a.full != b.full && a.full:
		return 1
	case a.full != b.full:
		return -1
	case a.distance != b.distance:
		return a.distance - b.distance
	case a.score < b.score:
		return -1
	case a.score > b.score:
		return 1
	}
	return 0
}

// weight returns the free capacity according to the hint, moved towards neutralWeight with the
// hint's age.
func (t *Table) weight(h *hint, now time.Time) float64 {
	if h == nil || h.at.IsZero() {
		return neutralWeight
	}
	age := now.Sub(h.at)
	if age >= t.params.HintTTL {
		return neutralWeight
	}
	left := float64(h.free - h.sent)
	if left <= 0 {
		left = 0
	}
	fade := max(0, float64(age)/float64(t.params.HintTTL))
	w := left*(1-fade) + neutralWeight*fade
	if left == 0 && fade < 0.5 {
		return fullWeight
	}
	return max(w, fullWeight)
}

// score returns an exponentially distributed pseudorandom number with rate w, derived from
// orderSeed and the place. Each place gets the lowest score with a probability proportional to its
// weight.
func (t *Table) score(place steering.Place, w float64) float64 {
	var d xxhash.Digest
	d.ResetWithSeed(t.orderSeed)
	_, _ = d.WriteString(string(place))
	u := (float64(d.Sum64()>>11) + 0.5) / (1 << 53)
	return -math.Log(u) / w
}
