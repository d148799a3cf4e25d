// Package callers serves the HTTP connections of callers.
//
// It does not use the server of net/http. While a request runs, that server reads one byte ahead
// and no more, so it no longer notices when a caller closes the connection after it has sent a
// further request, and it starts the further request only once the first is answered. Server keeps
// reading a connection while its requests run, up to a bound, and writes the responses in the order
// of the requests. Requests are parsed with net/http. A body of usual size, up to maxBufferedBody,
// is read whole before the request is passed to the Handler, so that the request can be sent a
// second time.
package callers
