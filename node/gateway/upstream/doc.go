// Package upstream exchanges requests and responses with targets over pooled connections.
//
// It does not use the HTTP library's client, which hides what the relay's guarantees need: whether
// any byte of a request was sent (a purchase may be sent to another target only if none was), to
// which request a response belongs, bytes that arrive after a complete response, and a response
// that arrives before the body is sent. Requests are written and responses are read with the types
// and the codec of net/http.
//
// Each connection has one reader goroutine for its lifetime. While the connection is idle, the
// reader notices at once if the target closes it or sends bytes that belong to no request, so that
// no request is sent on a connection that is already closed. After a response to another request,
// the reader goes on to the next response, and the connection is closed after that one.
package upstream
