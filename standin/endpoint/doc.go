// Package endpoint is a stand-in for a target on the users' platform, for tests.
// It runs requests in slots with a short queue, is faster for objects that it
// handled recently, reports its load, refuses what is meant for another start of
// a target, and can be made to misbehave as bad targets do.
package endpoint
