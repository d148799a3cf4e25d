// Package drain monitors planned stops. It counts the requests that each still waits for, reports
// when one starts, passes its deadline or completes, and warns before a deadline while requests
// are in flight, because they are aborted at the deadline if the operator asked for it.
//
// Each component determines by itself what a stop takes out of service (see steering/drain); this
// package only observes. One entry VM per zone, the zone's reader, writes the log lines and
// updates the gauge and the counters.
package drain
