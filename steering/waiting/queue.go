package waiting

import (
	"cmp"
	"slices"
	"time"

	"heatherlock/steering"
)

// Entry is a request that waits.
type Entry struct {
	ID        uint64
	Service   steering.Service
	Rank      int
	Workspace steering.Workspace
	Arrived   time.Time
	// LatestStart is when the request has to be sent to its target at the latest.
	LatestStart time.Time
	// Late is set if the request can no longer be answered within its latency objective.
	Late bool
	// Returned is set if the caller was refused before.
	Returned bool
	Bytes    int

	// Target is the target that the request waits for, RoomAt when that is likely to have room, and Interval
	// the mean time between two runs that end there.
	Target   steering.Target
	RoomAt   time.Time
	Interval time.Duration
}

// compare orders the entries of a line; a negative result means that e leaves first. Rank comes before latest
// start: under a lasting overload, all that have waited for long have the nearest latest starts, and patient
// requests would go before the urgent ones that just came.
func (e *Entry) compare(o *Entry) int {
	return cmp.Or(compareFlags(o.Late, e.Late), cmp.Compare(e.Rank, o.Rank), e.LatestStart.Compare(o.LatestStart), compareFlags(e.Returned, o.Returned),
		e.Arrived.Compare(o.Arrived), cmp.Compare(e.ID, o.ID))
}

// compareFlags orders what has a flag set first.
func compareFlags(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

func (e *Entry) before(o *Entry) bool { return e.compare(o) < 0 }

// Limits bounds a queue.
type Limits struct {
	Entries int
	Bytes   int
}

const (
	// maxPlacing is how many requests of a service are being placed at a time. Placing takes well under a
	// millisecond, so that a few keep up with all targets that have room.
	maxPlacing = 8
	// lowRankShare is the part of the limits that requests of ranks above 0 may fill. The rest is left to the
	// highest rank, whose requests wait for a short time only.
	lowRankShare = 0.75
)

// Queue holds the requests that wait in one entry VM.
type Queue struct {
	limits   Limits
	bytes    int
	entries  map[uint64]*Entry
	services map[steering.Service]*service
}

// service holds the lines of a service.
type service struct {
	lines   map[steering.Target]*line
	placing int
	starts  startRate
}

// line holds the requests that wait for one target, in order.
type line struct {
	entries []*Entry
	// roomAt is when the target may have room.
	roomAt time.Time
	// placing is the entry that is being placed, or nil.
	placing *Entry
}

// NewQueue returns an empty queue.
func NewQueue(limits Limits) *Queue {
	return &Queue{limits: limits, entries: make(map[uint64]*Entry), services: make(map[steering.Service]*service)}
}

// Len returns the number of requests in the queue, and Bytes what they hold.
func (q *Queue) Len() int { return len(q.entries) }

// Bytes returns the sum of the sizes of the requests in the queue.
func (q *Queue) Bytes() int { return q.bytes }

// Offer holds a request until its target may have room, or refuses it. A request that Next returned and that
// found no room is offered again with the same ID. retryAfter is when room is expected for a refused request.
func (q *Queue) Offer(now time.Time, e Entry) (held bool, retryAfter time.Duration) {
	v := q.service(e.Service)
	again := q.take(e.ID) != nil
	expected := v.expectedStart(now, &e)
	if expected.After(e.LatestStart) || !again && !q.Fits(&e) {
		return false, retryAfterOf(expected.Sub(now), e.ID)
	}
	q.insert(v, &e)
	return true, 0
}

// Fits reports whether the limits allow one more request.
func (q *Queue) Fits(e *Entry) bool {
	count, bytes := q.limits.Entries, q.limits.Bytes
	if e.Rank > 0 {
		count, bytes = int(lowRankShare*float64(count)), int(lowRankShare*float64(bytes))
	}
	return len(q.entries) < count && q.bytes+e.Bytes <= bytes
}

func (q *Queue) service(name steering.Service) *service {
	v := q.services[name]
	if v == nil {
		v = &service{lines: make(map[steering.Target]*line)}
		q.services[name] = v
	}
	return v
}

func (q *Queue) insert(v *service, e *Entry) {
	q.entries[e.ID] = e
	q.bytes += e.Bytes
	l := v.lines[e.Target]
	if l == nil {
		l = &line{}
		v.lines[e.Target] = l
	}
	l.roomAt = e.RoomAt // the newest prediction
	l.entries = slices.Insert(l.entries, l.ahead(e), e)
}

// take removes a request and returns it, or nil if it is not in the queue.
func (q *Queue) take(id uint64) *Entry {
	e := q.entries[id]
	if e == nil {
		return nil
	}
	delete(q.entries, id)
	q.bytes -= e.Bytes
	v := q.services[e.Service]
	l := v.lines[e.Target]
	if l.placing == e {
		l.placing = nil
		v.placing--
	}
	l.entries = slices.DeleteFunc(l.entries, func(o *Entry) bool { return o == e })
	if len(l.entries) == 0 {
		delete(v.lines, e.Target)
	}
	return e
}

// Next returns the first request of a service that may start, and marks it as being placed. Started, Remove
// or Offer must follow.
func (q *Queue) Next(now time.Time, name steering.Service) (Entry, bool) {
	v := q.services[name]
	if v == nil || v.placing >= maxPlacing {
		return Entry{}, false
	}
	var first *line
	for _, l := range v.lines {
		if l.placing == nil && !now.Before(l.roomAt) && (first == nil || l.entries[0].before(first.entries[0])) {
			first = l
		}
	}
	if first == nil {
		return Entry{}, false
	}
	first.placing = first.entries[0]
	v.placing++
	return *first.placing, true
}

// Started removes a request that was placed. The next one of its line may start at once, since the target may
// have room for more.
func (q *Queue) Started(now time.Time, id uint64) {
	if e := q.take(id); e != nil {
		q.services[e.Service].starts.add(now)
	}
}

// Remove removes a request that ended otherwise.
func (q *Queue) Remove(id uint64) { q.take(id) }

// Room records that a target may have room now.
func (q *Queue) Room(now time.Time, name steering.Service, target steering.Target) {
	if v := q.services[name]; v != nil && v.lines[target] != nil {
		v.lines[target].roomAt = now
	}
}

// RoomAnywhere records that all targets may have room now, because the targets or the links to them changed.
func (q *Queue) RoomAnywhere(now time.Time) {
	for _, v := range q.services {
		for _, l := range v.lines {
			l.roomAt = now
		}
	}
}

// Expired removes and returns the requests whose latest start has passed and that are not being placed.
func (q *Queue) Expired(now time.Time) []Entry {
	var expired []Entry
	for _, v := range q.services {
		for _, l := range v.lines {
			for i := len(l.entries) - 1; i >= 0; i-- {
				if e := l.entries[i]; e != l.placing && !e.LatestStart.After(now) {
					q.take(e.ID)
					expired = append(expired, *e)
				}
			}
		}
	}
	slices.SortFunc(expired, func(a, b Entry) int { return a.compare(&b) })
	return expired
}

// Services returns the names of the services that have requests waiting.
func (q *Queue) Services() []steering.Service {
	var names []steering.Service
	for name, v := range q.services {
		if len(v.lines) > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// NextEvent returns when a request may start or expires next; ok is false if none waits. Requests that are
// being placed do not count, and those behind them only by their latest start.
func (q *Queue) NextEvent() (at time.Time, ok bool) {
	for _, v := range q.services {
		for _, l := range v.lines {
			for _, e := range l.entries {
				if e != l.placing {
					at, ok = earlier(at, ok, e.LatestStart)
				}
			}
			if l.placing == nil && v.placing < maxPlacing {
				at, ok = earlier(at, ok, l.roomAt)
			}
		}
	}
	return at, ok
}

func earlier(at time.Time, ok bool, other time.Time) (time.Time, bool) {
	if !ok || other.Before(at) {
		return other, true
	}
	return at, true
}
