// Package upstream exchanges requests with targets over connections that it
// keeps.
//
// The HTTP library's own client is not used here, since it hides what the
// promises need: whether any byte of a request left (a purchase may go
// elsewhere only if none did), which request an answer belongs to, bytes that
// arrive after a complete answer, and an answer that comes before the body is
// sent. Its codec is: requests are written and answers read with net/http's
// types.
//
// A connection has one reader for life. While idle, the reader notices at once
// that the target closed it or sent bytes that belong to no request, so that
// no request is sent on a connection that is already gone. After an answer for
// another request the reader goes on to the next one, and the connection is
// closed behind it.
package upstream
