package endpoint

import (
	"context"
	"io"
	"net"
	"net/http"
)

// strayKey is the key of the stray bytes in the context of a connection.
type strayKey struct{}

// stray are bytes that a target with a fault sends on a connection although they belong to no request. The server
// handles one request of a connection at a time.
type stray struct {
	conn net.Conn
	due  string // to be sent where the next response is due
}

func withStray(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, strayKey{}, &stray{conn: c})
}

// sendStray sends what belongs to no request in front of the response to r, as the fault demands.
func (e *Endpoint) sendStray(r *http.Request, fault Fault) {
	s, ok := r.Context().Value(strayKey{}).(*stray)
	if !ok {
		return
	}
	text := s.due
	s.due = ""
	if fault == Unnamed {
		text += rejection("")
	}
	if fault == ShedTwice {
		s.due = rejection("X-Request-Id: " + r.Header.Get("X-Request-Id") + "\r\n")
	}
	_, _ = io.WriteString(s.conn, text) // the caller may have disconnected
}

func rejection(header string) string {
	return "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n" + header + "Content-Length: 0\r\n\r\n"
}
