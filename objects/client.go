package objects

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/uber-go/tally/v4"

	"heatherlock/responses"
)

// Headers of the platform's HTTP API.
const (
	HeaderClient       = "Platform-Client"
	HeaderZone         = "Platform-Zone"
	HeaderRetryAfterMs = "Retry-After-Ms"
	HeaderIfMatch      = "If-Match"
)

const (
	// DefaultTimeout is the timeout of a call if ClientConfig.Timeout is not set.
	DefaultTimeout = 2 * time.Second
	// maxReplyBytes bounds a response body. The largest one lists a whole configuration, with all
	// the shards of its client blocks.
	maxReplyBytes = 256 << 20
	// maxIdleConnections suffices for a watch, a lease renewal and an operator's write at the same
	// time.
	maxIdleConnections = 4
	idleTimeout        = 90 * time.Second
)

// ClientConfig configures a Client.
type ClientConfig struct {
	// URL is the platform's base URL, for example "http://10.0.0.1:8080".
	URL string
	// VM and Zone identify the calling entry VM to the platform.
	VM   string
	Zone string
	// Timeout bounds each call; a watch may take its wait time in addition. Zero means
	// DefaultTimeout.
	Timeout time.Duration
	// HTTP overrides the HTTP client; nil means a client that keeps at most a few idle
	// connections.
	HTTP *http.Client
	// Scope receives the call metrics; nil means that none are reported.
	Scope tally.Scope
}

// Client is an API that calls the platform over HTTP. It never retries a call: only its caller
// knows whether a retry is safe. It is safe for concurrent use.
type Client struct {
	base    *url.URL
	vm      string
	zone    string
	timeout time.Duration
	http    *http.Client
	metrics callMetrics
}

var _ API = (*Client)(nil)

// NewClient returns a Client for c. It fails with an *Error of kind Invalid if c.URL is not an http
// or https URL with a host.
func NewClient(c ClientConfig) (*Client, error) {
	base, err := url.Parse(c.URL)
	if err == nil && (base.Host == "" || (base.Scheme != "http" && base.Scheme != "https")) {
		err = errors.Errorf("want an http or https URL with a host, got %q", c.URL)
	}
	if err != nil {
		return nil, &Error{Kind: Invalid, Op: "client", Object: "platform.url", Err: err}
	}
	if c.Timeout <= 0 {
		c.Timeout = DefaultTimeout
	}
	if c.HTTP == nil {
		c.HTTP = newHTTPClient()
	}
	return &Client{base: base, vm: c.VM, zone: c.Zone, timeout: c.Timeout, http: c.HTTP, metrics: newCallMetrics(c.Scope)}, nil
}

func newHTTPClient() *http.Client {
	return &http.Client{Transport: responses.NewTransport(&http.Transport{
		DialContext:         (&net.Dialer{Timeout: DefaultTimeout}).DialContext,
		MaxIdleConns:        maxIdleConnections,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     idleTimeout,
		// The default of 10 MB is more than an entry VM can hold for each of several calls.
		MaxResponseHeaderBytes: 64 << 10,
	})}
}

// ListReply is the body of the response to a list call.
type ListReply struct {
	Revision int64    `json:"revision"`
	Objects  []Object `json:"objects"`
}

// WatchReply is the body of the response to a watch call.
type WatchReply struct {
	Revision int64   `json:"revision"`
	Events   []Event `json:"events"`
}

// RevisionReply is the body of the response to a delete call.
type RevisionReply struct {
	Revision int64 `json:"revision"`
}

// VMsReply is the body of the response that lists the entry VMs.
type VMsReply struct {
	VMs []VM `json:"vms"`
}

// call describes one HTTP request to the platform. The field wait extends the timeout of a watch.
type call struct {
	op      string
	method  string
	path    string
	object  string
	query   url.Values
	version int64
	body    []byte
	wait    time.Duration
}

// Get implements API.
func (c *Client) Get(ctx context.Context, kind, name string) (Object, error) {
	var o Object
	err := c.do(ctx, newObjectCall(OpGet, http.MethodGet, kind, name), &o)
	return o, err
}

// List implements API.
func (c *Client) List(ctx context.Context, kinds ...string) ([]Object, int64, error) {
	var reply ListReply
	err := c.do(ctx, call{op: OpList, method: http.MethodGet, path: "/objects", query: url.Values{"kind": kinds}}, &reply)
	return reply.Objects, reply.Revision, err
}

// Create implements API.
func (c *Client) Create(ctx context.Context, kind, name string, value json.RawMessage) (Object, error) {
	var o Object
	k := newObjectCall(OpCreate, http.MethodPost, kind, name)
	k.body = value
	err := c.write(ctx, k, &o)
	return o, err
}

// Update implements API.
func (c *Client) Update(ctx context.Context, kind, name string, version int64, value json.RawMessage) (Object, error) {
	var o Object
	k := newObjectCall(OpUpdate, http.MethodPut, kind, name)
	k.version = version
	k.body = value
	err := c.write(ctx, k, &o)
	return o, err
}

// Delete implements API.
func (c *Client) Delete(ctx context.Context, kind, name string, version int64) (int64, error) {
	var reply RevisionReply
	k := newObjectCall(OpDelete, http.MethodDelete, kind, name)
	k.version = version
	err := c.write(ctx, k, &reply)
	return reply.Revision, err
}

// Watch implements API.
func (c *Client) Watch(ctx context.Context, since int64, wait time.Duration, kinds ...string) ([]Event, int64, error) {
	query := url.Values{
		"kind":   kinds,
		"since":  {strconv.FormatInt(since, 10)},
		"waitMs": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var reply WatchReply
	err := c.do(ctx, call{op: OpWatch, method: http.MethodGet, path: "/watch", query: query, wait: wait}, &reply)
	return reply.Events, reply.Revision, err
}

// VMs implements API.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	var reply VMsReply
	err := c.do(ctx, call{op: OpVMs, method: http.MethodGet, path: "/vms"}, &reply)
	return reply.VMs, err
}

func newObjectCall(op, method, kind, name string) call {
	return call{op: op, method: method, object: kind + "/" + name,
		path: "/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)}
}

// write sends a call that changes an object. It rejects a value larger than MaxValueBytes, which
// the platform would not store, without sending it.
func (c *Client) write(ctx context.Context, k call, out any) error {
	if len(k.body) > MaxValueBytes {
		return &Error{Kind: TooLarge, Op: k.op, Object: k.object, Err: errors.Errorf("%d bytes, at most %d", len(k.body), MaxValueBytes)}
	}
	return c.do(ctx, k, out)
}

func (c *Client) do(ctx context.Context, k call, out any) error {
	started := time.Now()
	err := c.exchange(ctx, k, out)
	c.metrics.recordCall(k.op, time.Since(started), err)
	if err != nil {
		return err
	}
	return nil
}

func (c *Client) exchange(ctx context.Context, k call, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+k.wait)
	defer cancel()
	request, err := c.request(ctx, k)
	if err != nil {
		return &Error{Kind: Invalid, Op: k.op, Object: k.object, Err: err}
	}
	response, err := c.http.Do(request)
	if err != nil {
		return transportError(k, err)
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		return statusError(k, response)
	}
	body := &io.LimitedReader{R: response.Body, N: maxReplyBytes}
	if err := json.NewDecoder(body).Decode(out); err != nil {
		return decodeError(k, err, body.N <= 0)
	}
	return nil
}

func (c *Client) request(ctx context.Context, k call) (*http.Request, error) {
	target := c.base.JoinPath(k.path)
	target.RawQuery = k.query.Encode()
	var body io.Reader
	if k.body != nil {
		body = bytes.NewReader(k.body)
	}
	request, err := http.NewRequestWithContext(ctx, k.method, target.String(), body)
	if err != nil {
		return nil, err
	}
	request.Header.Set(HeaderClient, c.vm)
	request.Header.Set(HeaderZone, c.zone)
	if k.op == OpUpdate || k.op == OpDelete {
		request.Header.Set(HeaderIfMatch, strconv.FormatInt(k.version, 10))
	}
	return request, nil
}

// transportError classifies the error of a call that received no response. A write whose response
// is lost may have taken effect; if it were reported as failed, its caller would retry it or
// discard it. Only a failed dial proves that no byte was sent, so every other failed write is
// Unknown.
func transportError(k call, err error) error {
	kind := Unavailable
	if IsWrite(k.op) && !isDialError(err) {
		kind = Unknown
	}
	return &Error{Kind: kind, Op: k.op, Object: k.object, Err: err}
}

func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// decodeError classifies a call whose response cannot be read. A read may be repeated, and a write may have taken effect. The
// same watch would bring the same response if it is complete and malformed, or too large, so the objects have to be listed.
func decodeError(k call, err error, tooLarge bool) error {
	kind := Unavailable
	var syntax *json.SyntaxError
	var wrongType *json.UnmarshalTypeError
	switch {
	case IsWrite(k.op):
		kind = Unknown
	case k.op == OpWatch && (tooLarge || errors.As(err, &syntax) || errors.As(err, &wrongType)):
		kind = Gone
	}
	return &Error{Kind: kind, Op: k.op, Object: k.object, Err: errors.Wrap(err, "read response body")}
}

// statusKinds maps the platform's HTTP status codes to error kinds. Any other status is
// Unavailable for a read and Unknown for a write.
var statusKinds = map[int]ErrorKind{
	http.StatusBadRequest:            Invalid,
	http.StatusNotFound:              NotFound,
	http.StatusConflict:              Conflict,
	http.StatusGone:                  Gone,
	http.StatusRequestEntityTooLarge: TooLarge,
	http.StatusTooManyRequests:       Throttled,
	http.StatusServiceUnavailable:    Unavailable,
}

// maxDetailBytes bounds how much of the body of an error response goes into the error text.
const maxDetailBytes = 512

func statusError(k call, response *http.Response) error {
	kind, known := statusKinds[response.StatusCode]
	if !known {
		kind = Unavailable
		if IsWrite(k.op) {
			kind = Unknown
		}
	}
	detail, _ := io.ReadAll(io.LimitReader(response.Body, maxDetailBytes))
	return &Error{Kind: kind, Op: k.op, Object: k.object, RetryAfter: retryAfter(response),
		Err: errors.Errorf("status %d: %s", response.StatusCode, bytes.TrimSpace(detail))}
}

func retryAfter(response *http.Response) time.Duration {
	ms, err := strconv.ParseInt(response.Header.Get(HeaderRetryAfterMs), 10, 64)
	if err != nil || ms < 0 {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}
