// Package drain follows planned stops: it counts what is left of each, tells
// when one started, fell due or came to its end, and warns before a deadline at
// which the operator asked for work to be cut.
//
// What a stop takes out of service is worked out by every part for itself (see
// steering/drain); this package only observes. One entry VM per zone writes the
// log lines, its zone's reader; gauges and counters are kept there too.
package drain
