package benchcaps

import "time"

// divide gives the seats anew, max-min by the demand since the last time: no
// seat can gain but by one that has less, and what nobody asked for is shared
// equally. It stands for a division that needs no messages and is known to all
// at once, so it flatters that way.
func (s *simulation) divide() {
	wants := make([]int, len(s.vms))
	for i, v := range s.vms {
		perWindow := float64(v.arrived) * float64(s.window) / float64(s.redivide)
		wants[i] = int(perWindow + 1)
		v.arrived = 0
	}
	s.version++
	now := s.time()
	free := s.requests
	shares := maxMin(wants, s.requests)
	for i, v := range s.vms { // those who give stop first
		if shares[i] < v.seat {
			v.seat = max(shares[i], v.holder.Shrink(now, shares[i]))
		}
		free -= v.seat
	}
	for i, v := range s.vms {
		more := min(free, max(0, shares[i]-v.seat))
		v.seat += more
		free -= more
		v.holder.ApplySeats(now, s.version, v.seat, s.window, false)
	}
}

// maxMin divides a total: each gets what it wants or an equal part of what is
// left, whichever is less, and the rest is shared equally.
func maxMin(wants []int, total int) []int {
	shares := make([]int, len(wants))
	for left := total; left > 0; {
		given := 0
		for i := range shares {
			if left > 0 && shares[i] < wants[i] {
				shares[i]++
				left--
				given++
			}
		}
		if given > 0 {
			continue
		}
		for i := range shares {
			if left > 0 {
				shares[i]++
				left--
			}
		}
	}
	return shares
}

// redivideEvery are the intervals compared: they are minimum holding times.
const (
	redivideOften  = 10 * time.Second
	redivideSeldom = 30 * time.Second
)
