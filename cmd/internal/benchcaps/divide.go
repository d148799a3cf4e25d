package benchcaps

import "time"

// redivideSeats recomputes the seats by max-min fairness from the demand since the
// last division: no seat can be larger without making an equal or smaller one
// smaller, and permits without demand are shared equally. The new seats take effect
// on all entry VMs at once and without messages, so the schemes that use it look
// better here than they are in a real system.
func (s *simulation) redivideSeats() {
	demands := make([]int, len(s.vms))
	for i, v := range s.vms {
		perWindow := float64(v.arrived) * float64(s.window) / float64(s.redivideInterval)
		demands[i] = int(perWindow + 1)
		v.arrived = 0
	}
	s.version++
	now := s.time()
	free := s.requests
	shares := maxMin(demands, s.requests)
	for i, v := range s.vms { // seats that shrink release their permits before others get them
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

// maxMin divides a total by max-min fairness: each share is its demand or an equal
// part of what is left, whichever is less, and the rest is shared equally.
func maxMin(demands []int, total int) []int {
	shares := make([]int, len(demands))
	for left := total; left > 0; {
		given := 0
		for i := range shares {
			if left > 0 && shares[i] < demands[i] {
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

// The intervals between two divisions of the seats that are compared. An entry VM
// keeps its seat for at least this long.
const (
	shortRedivideInterval = 10 * time.Second
	longRedivideInterval  = 30 * time.Second
)
