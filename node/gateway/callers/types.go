package callers

import (
	"context"
	"io"
	"net/http"
	"time"

	"heatherlock/steering/routes"
)

// Request is a caller's request.
type Request struct {
	Method string
	// Path is the request target exactly as sent.
	Path   string
	Host   string
	Header http.Header
	// Body is the body, or its beginning when Rest holds more.
	Body []byte
	Rest io.Reader
	// Length is the body's length; negative for one sent in chunks.
	Length int64
	// Received is when the first byte of the request was here.
	Received time.Time
}

// Response is an answer to a caller.
type Response struct {
	Status int
	Header http.Header
	// Body is the body, or its beginning when Rest holds more.
	Body []byte
	Rest io.ReadCloser
	// Length is the stated length; negative if none is known. It counts only
	// with Rest.
	Length int64
	// Close ends the connection behind the answer.
	Close bool
	// Turn, if set, is called when the answers before it on its connection are written.
	Turn func()
}

// Handler answers requests. ctx ends when the caller leaves.
type Handler interface {
	Serve(ctx context.Context, r *Request) *Response
	// Problem makes the answer to a request that cannot be read.
	Problem(status int, detail string) *Response
}

// LimitsFunc returns the limits in force.
type LimitsFunc func() routes.Limits

// Fallbacks hold until a configuration is known.
var fallback = routes.Limits{HeaderBytes: 16 << 10, BodyBytes: 64 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

const (
	// maxAhead is how many requests of one connection run at once.
	maxAhead = 16
	// maxHeld is the largest body that is read whole before the request is
	// handed on. Uploads of this size can be sent a second time.
	maxHeld = 512 << 10
	// bodyTimeout bounds the time a caller takes for a body.
	bodyTimeout = 10 * time.Second
	// writeTimeout bounds the time a caller takes to accept a part of an answer.
	writeTimeout = 10 * time.Second
	// lingerTime is how long the rest of an unwanted body is read, so that the
	// answer is not lost in a reset.
	lingerTime = time.Second
	readBuffer = 4 << 10
)
