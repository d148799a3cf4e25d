package callers

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"heatherlock/node/gateway/upstream"
	"heatherlock/steering/routes"
)

// Request is a caller's request.
type Request struct {
	Method string
	// Path is the request target exactly as sent.
	Path   string
	Host   string
	Header http.Header
	// Body is the whole body, or its beginning if BodyRest is set, which yields the remainder.
	Body     []byte
	BodyRest io.Reader
	// Length is the length of the whole body; it is negative for a chunked body.
	Length int64
	// HeadLength is the length in bytes of the request line and the header fields as they came.
	HeadLength int
	// Received is when the first byte of the request arrived.
	Received time.Time
	// Interim sends an interim response (102), unless the response or an earlier one of the connection is still to be
	// written or has been. Callers take one only if they are entry VMs. It may be nil.
	Interim func(http.Header)
}

// Response is a response to a caller.
type Response struct {
	Status int
	Header http.Header
	// Body is the whole body, or its beginning if BodyRest is set, which yields the remainder.
	Body     []byte
	BodyRest io.ReadCloser
	// Length is the length of the whole body, or negative if it is unknown. It is only used if
	// BodyRest is set or the request's method is HEAD.
	Length int64
	// Close closes the connection after the response.
	Close bool
	// BeforeWrite, if set, is called when all earlier responses on the connection have been
	// written.
	BeforeWrite func()
}

// Handler answers requests.
type Handler interface {
	// Serve returns the response to a request. ctx is done when the caller closes the connection.
	// If it returns nil, the connection is closed without a response.
	Serve(ctx context.Context, r *Request) *Response
	// Reject returns the response to a request that is not passed to Serve.
	Reject(r Rejection) *Response
}

// Rejection is a request that cannot be read, or that its head or the size of its body rules out.
type Rejection struct {
	// Status is that of the response, and Detail what is wrong.
	Status int
	Detail string
	// Host, Path and Header are those of the request; they are empty if its head could not be read.
	Host, Path string
	Header     http.Header
}

// ErrStopped is the cause of a request's context that is done because the server stops, not because the caller
// left.
var ErrStopped = errors.New("callers: the server stops")

// LimitsFunc returns the limits in force. Limits without HeaderBytes mean that no configuration is
// known yet.
type LimitsFunc func() routes.Limits

// defaultLimits protect this VM until a configuration is known, whose limits then apply to the requests that wait for it.
var defaultLimits = routes.Limits{HeaderBytes: 256 << 10, BodyBytes: 64 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

const (
	// maxPipelined is how many requests of one connection run at the same time.
	maxPipelined = 16
	// maxBufferedBody is the largest body in bytes that is read whole before the request is passed
	// to the Handler. Requests with bodies up to this size can be sent a second time.
	maxBufferedBody = 512 << 10
	// bodyTimeout is how long a caller may take to send a body.
	bodyTimeout = 10 * time.Second
	// firstBodyBuffer is the part of a body for which memory is reserved before any of it has
	// arrived. A caller that states a length and sends nothing holds no more than this.
	firstBodyBuffer = 64 << 10
	// sendBufferSize bounds what the kernel holds for a caller that does not read; without it, the
	// kernel takes several megabytes. It sends 64 MB/s over a round trip of 2 ms within a region.
	sendBufferSize = 128 << 10
	// receiveBufferSize bounds what the kernel receives of a caller before it is read, as much as it sends
	// to a target of a body that is streamed (upstream.StreamSendBuffer): 4 MB/s over a round trip of 60 ms.
	receiveBufferSize = upstream.StreamSendBuffer
	// streamReserve is what the kernel may hold of a body that is streamed: on its way from the caller, and
	// to the target.
	streamReserve = receiveBufferSize + upstream.StreamSendBuffer
	// interimTimeout is how long another entry VM may take to accept an interim response: twice the longest round trip
	// between regions.
	interimTimeout = 200 * time.Millisecond
	// continueTimeout is how long the caller may take to accept 100 Continue.
	continueTimeout = 10 * time.Second
	// lingerTimeout is how long the remainder of an unwanted body is read and discarded, so that a
	// connection reset does not discard the response.
	lingerTimeout  = time.Second
	readBufferSize = 4 << 10
)
