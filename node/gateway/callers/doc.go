// Package callers serves callers' connections.
//
// The HTTP library's own server is not used here: while a request runs it reads
// just one byte ahead, so that it no longer notices a caller that leaves after
// sending a further request, and it starts that further request only when the
// first is answered. Here a connection is read on while its requests run, up to
// a bound, and answers are written in the order of the requests. The library's
// codec is used for what is read, and bodies of usual size are read whole
// before the request is handed on, so that it can be sent a second time.
package callers
