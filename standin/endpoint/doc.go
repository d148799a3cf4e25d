// Package endpoint implements a fake of a target on the users' platform, for tests.
// It runs requests in slots with a queue, runs requests for recently used objects
// faster, reports its load, rejects requests that expect another instance of the
// target, and can inject the faults of failing targets, or send any bytes as a response.
package endpoint
