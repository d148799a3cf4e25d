// Package losses implements the subcommand that reads the logs of entry VMs and reports how
// many requests were not answered within their latency objective (the "aim"), and why.
//
// Each entry VM writes one log line per second with the counts of its requests by kind and
// cause (package heatherlock/steering/losses). Logs are read line by line. Memory use grows
// with the number of time windows, zones and kinds, not with the number of requests or VMs.
package losses
