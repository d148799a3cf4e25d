package caps

import "time"

// demand counts the requests that arrived at this entry VM, admitted or not.
type demand struct {
	windowStart   instant
	now, previous int // requests in the current and in the previous window
}

func (d *demand) count(now instant, window time.Duration) {
	d.advance(now, window)
	d.now++
}

func (d *demand) advance(now instant, window time.Duration) {
	switch age := now - d.windowStart; {
	case age < window:
	case age < 2*window:
		d.windowStart, d.previous, d.now = d.windowStart+window, d.now, 0
	default:
		d.windowStart, d.previous, d.now = now, 0, 0
	}
}

// perWindow estimates the number of requests that arrive here in the next window.
func (d *demand) perWindow(now instant, window time.Duration) int {
	d.advance(now, window)
	return max(d.previous, d.now)
}
