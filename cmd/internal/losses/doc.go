// Package losses adds up what entry VMs' logs tell of requests that were not answered
// within their aim, and why.
//
// Each entry VM writes one line a second with the sums of its requests by kind and cause
// (package heatherlock/steering/losses). Logs are read line by line; what is kept grows
// with windows of time, zones and kinds, not with requests or VMs.
package losses
