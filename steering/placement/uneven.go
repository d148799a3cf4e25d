package placement

import "time"

// slowdownTTL is how long a service counts as one whose targets report how slow their machines are after the
// last such report.
const slowdownTTL = 30 * time.Second

// uneven reports whether the requests or the targets of a service differ so much that one mean run time does
// not describe them: its callers compete for slots (see Mixed), or its targets report how slow their machines
// are. Other services are placed by one mean.
func (v *serviceState) uneven(now time.Time) bool {
	return v.routes.mixed || v.sharesMachines(now)
}

// sharesMachines reports whether targets of the service reported lately how slow their machines are.
func (v *serviceState) sharesMachines(now time.Time) bool {
	return !v.slowdownAt.IsZero() && now.Sub(v.slowdownAt) < slowdownTTL
}
