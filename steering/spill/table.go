package spill

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"heatherlock/steering"
)

// Params sets how hints count. Zero fields take the defaults.
type Params struct {
	// FadeAfter is the age at which a hint no longer counts.
	FadeAfter time.Duration
	// MinBackoff and MaxBackoff bound how long a refusal holds work back, and
	// FullBackoff how long one does that says that all slots are in use.
	MinBackoff  time.Duration
	FullBackoff time.Duration
	MaxBackoff  time.Duration
}

// Defaults of Params.
const (
	DefaultFadeAfter   = 5 * time.Second
	DefaultMinBackoff  = 20 * time.Millisecond
	DefaultFullBackoff = 50 * time.Millisecond
	DefaultMaxBackoff  = 5 * time.Second
)

const (
	// neutralWeight is the weight of a place nothing is known of: as if it had
	// two free slots.
	neutralWeight = 2.0
	// fullWeight keeps a place that is known to be full in the list, rarely
	// first, so that it is still tried when all are full.
	fullWeight = 0.05
	// maxDoublings bounds the growth of a backoff.
	maxDoublings = 10
)

// WithDefaults fills zero fields.
func (p Params) WithDefaults() Params {
	if p.FadeAfter <= 0 {
		p.FadeAfter = DefaultFadeAfter
	}
	if p.MinBackoff <= 0 {
		p.MinBackoff = DefaultMinBackoff
	}
	if p.FullBackoff <= 0 {
		p.FullBackoff = DefaultFullBackoff
	}
	if p.MaxBackoff <= 0 {
		p.MaxBackoff = DefaultMaxBackoff
	}
	return p
}

// Pool names the slots that a place has for a service.
type Pool struct {
	Place   steering.Place
	Service steering.Service
}

// hint is what is known of one pool.
type hint struct {
	free int
	// at is when free was true.
	at time.Time
	// sent counts the work sent there since.
	sent int
	// closedUntil is when a refusal ends, refusals how many came in a row.
	closedUntil time.Time
	refusals    int
}

// Table holds the hints of one sender. It is not safe for concurrent use.
type Table struct {
	params Params
	hints  map[Pool]*hint
	// turn makes successive orders differ; see score.
	turn uint64
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

// Learn takes in that a pool had free slots at a time. An older figure than
// the one known is ignored.
func (t *Table) Learn(pool Pool, free int, at time.Time) {
	h := t.hint(pool)
	if at.Before(h.at) {
		return
	}
	h.free, h.at, h.sent = free, at, 0
	if free > 0 {
		h.refusals = 0
	}
}

// Refused takes in that a pool refused work, why, and when to come back.
// Refusals in a row double the least pause.
//
// The time to come back that a full pool gives is for one caller among many.
// Slots come free within milliseconds; a sender that kept all its work back
// for that time would refuse its callers although other places had room.
func (t *Table) Refused(pool Pool, reason steering.Reason, retryAfter time.Duration, now time.Time) {
	h := t.hint(pool)
	longest := t.params.MaxBackoff
	if passesSoon(reason) {
		longest = t.params.FullBackoff
	}
	pause := t.params.MinBackoff << min(h.refusals, maxDoublings)
	pause = min(max(pause, retryAfter), longest)
	h.refusals++
	h.free, h.at, h.sent = 0, now, 0
	h.closedUntil = now.Add(pause)
}

// passesSoon says whether a reason ends with the next request that ends there.
func passesSoon(reason steering.Reason) bool {
	switch reason {
	case steering.ReasonNoSlot, steering.ReasonQueueFull, steering.ReasonShed, steering.ReasonLinkFull:
		return true
	}
	return false
}

// Sent counts work sent to a pool against its hint.
func (t *Table) Sent(pool Pool) { t.hint(pool).sent++ }

// Forget drops hints that no longer count.
func (t *Table) Forget(now time.Time) {
	for pool, h := range t.hints {
		if now.Sub(h.at) > t.params.FadeAfter && now.After(h.closedUntil) {
			delete(t.hints, pool)
		}
	}
}

// Candidate is a place that has targets for a service.
type Candidate struct {
	Place steering.Place
	// Distance orders candidates: nearer ones first, equal ones by headroom.
	Distance int
}

type ranked struct {
	place    steering.Place
	full     bool
	distance int
	score    float64
}

// Order returns the candidates that may be tried now, best first: places known
// to be full last, then by distance, then spread by headroom. Places that
// refused and whose time has not come are left out.
func (t *Table) Order(service steering.Service, candidates []Candidate, now time.Time) []steering.Place {
	t.turn++
	list := make([]ranked, 0, len(candidates))
	for _, c := range candidates {
		h := t.hints[Pool{Place: c.Place, Service: service}]
		if h != nil && now.Before(h.closedUntil) {
			continue
		}
		w := t.weight(h, now)
		list = append(list, ranked{place: c.Place, full: w <= fullWeight, distance: c.Distance, score: t.score(c.Place, w)})
	}
	slices.SortFunc(list, compare)
	places := make([]steering.Place, len(list))
	for i, r := range list {
		places[i] = r.place
	}
	return places
}

func compare(a, b ranked) int {
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

// weight is the headroom a hint stands for, faded by its age to neutral.
func (t *Table) weight(h *hint, now time.Time) float64 {
	if h == nil || h.at.IsZero() {
		return neutralWeight
	}
	age := now.Sub(h.at)
	if age >= t.params.FadeAfter {
		return neutralWeight
	}
	left := float64(h.free - h.sent)
	if left <= 0 {
		left = 0
	}
	fade := max(0, float64(age)/float64(t.params.FadeAfter))
	w := left*(1-fade) + neutralWeight*fade
	if left == 0 && fade < 0.5 {
		return fullWeight
	}
	return max(w, fullWeight)
}

// score draws an exponential number with rate w from the turn and the place:
// the lowest score falls on each place in proportion to its weight.
func (t *Table) score(place steering.Place, w float64) float64 {
	var d xxhash.Digest
	d.ResetWithSeed(t.turn)
	_, _ = d.WriteString(string(place))
	u := (float64(d.Sum64()>>11) + 0.5) / (1 << 53)
	return -math.Log(u) / w
}
