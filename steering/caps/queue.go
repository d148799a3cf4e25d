package caps

import "time"

// instant is a time on the process's monotonic clock, counted from when the holder was created.
// time.Time is not used, because rounding it strips the monotonic reading, and the recorded times
// would be affected by steps of the wall clock.
type instant = time.Duration

// batch is a number of permits that started to wait at the same time. They wait at least for wait,
// even if the terms become shorter meanwhile.
type batch struct {
	since   instant
	wait    time.Duration
	permits int
}

// end returns when the permits have waited for their own wait and for the given one.
func (b batch) end(wait time.Duration) instant { return b.since + max(b.wait, wait) }

// queue holds waiting permits in the order in which they started to wait. Times are rounded up to a
// multiple of the granularity and permits with equal times share a batch, so that the number of
// batches is bounded by the wait divided by the granularity, not by the number of permits.
type queue struct {
	batches []batch
	total   int
}

// push adds permits that wait from since on, at least for wait. A time before that of the last batch is replaced by
// it: the clock is monotonic, but concurrent callers may read it in one order and get the lock in
// another.
func (q *queue) push(since instant, granularity, wait time.Duration, permits int) {
	if permits <= 0 {
		return
	}
	q.total += permits
	since = (since + granularity - 1).Truncate(granularity)
	if last := len(q.batches) - 1; last >= 0 && q.batches[last].since >= since {
		q.batches[last].permits += permits
		q.batches[last].wait = max(q.batches[last].wait, wait)
		return
	}
	q.batches = append(q.batches, batch{since, wait, permits})
}

// pop removes the permits that have waited for their own wait and for the given one, and returns
// their number. Permits behind others that wait longer are removed together with those.
func (q *queue) pop(now instant, wait time.Duration) int {
	permits, i := 0, 0
	for ; i < len(q.batches) && q.batches[i].end(wait) <= now; i++ {
		permits += q.batches[i].permits
	}
	if i > 0 {
		q.batches = append(q.batches[:0], q.batches[i:]...)
		q.total -= permits
	}
	return permits
}

// drop removes up to the given number of permits, starting with those that have waited for the
// shortest time, and returns how many it removed.
func (q *queue) drop(permits int) int {
	dropped := 0
	for dropped < permits && len(q.batches) > 0 {
		last := &q.batches[len(q.batches)-1]
		take := min(last.permits, permits-dropped)
		last.permits -= take
		dropped += take
		if last.permits == 0 {
			q.batches = q.batches[:len(q.batches)-1]
		}
	}
	q.total -= dropped
	return dropped
}

// next returns when the next permits can be popped, and false if the queue is empty.
func (q *queue) next(wait time.Duration) (instant, bool) {
	if len(q.batches) == 0 {
		return 0, false
	}
	return q.batches[0].end(wait), true
}
