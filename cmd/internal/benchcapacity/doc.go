// Package benchcapacity measures what taking part in control costs one entry
// VM, and how that grows with the fleet.
//
// It runs the membership and the spread of configuration of several fleet
// sizes in this process, over real connections on loopback and with the
// platform's stand-in, fits a line per figure and works the lines out at the
// size that the system is designed for.
//
// Limits: no callers and no targets take part; bytes are those inside TCP
// connections, without the packets' own headers; all members share one
// process, its garbage collector and this machine's processors.
package benchcapacity
