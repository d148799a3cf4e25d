// Package benchcapacity measures the cost of the control plane for one entry VM
// and how it grows with the size of the fleet.
//
// It runs the membership protocol and the distribution of configuration for
// several fleet sizes in this process, over real loopback connections and with
// the simulated platform. It fits a line to each metric and extrapolates it to
// the fleet size that the system is designed for. [Run] performs the
// measurements, and [Command] is the `bench capacity` command.
//
// The measurements have limits: there are no callers and no targets, bytes are
// counted inside TCP connections without packet headers, and all members share
// one process, its garbage collector and the processors of this machine.
package benchcapacity
