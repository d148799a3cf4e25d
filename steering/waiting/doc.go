// Package waiting decides which requests wait in an entry VM until their target has room, in which order
// they leave, and which are refused at once.
//
// It answers a load in which routes with different latency objectives share targets whose queue is first
// come, first served. Patient requests in a target's queue would delay urgent ones beyond their objective.
// So the wait at targets is kept short (placement.Request.MaxQueue), and the requests wait here.
//
// Each request waits for the target of its key, in that target's line. Lines do not block each other. A line
// is ordered by whether the latency objective can still be met, then rank, latest start, who was refused
// before, and arrival. At most one request of a line, and few of a service, are being placed at a time, so
// that a target with one free slot does not wake all that wait for it. Nobody waits without end: latest
// starts are fixed, so each request becomes the first of its line or expires.
//
// A request is held only if it is likely to start in time: the time until its target has room, plus the runs
// that those ahead of it need, and the time in which the service has recently started as many requests as
// are ahead of it, must end before its latest start. Otherwise it is refused at once, with the expected
// time as Retry-After.
//
// A Queue has no goroutines, no clock and no lock: time is an argument, and the caller serializes calls.
package waiting
