package caller

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"heatherlock/responses"
	"heatherlock/standin/witness"
)

// Names of request and response headers.
const (
	headerService    = "Heatherlock-Service"
	headerKey        = "Heatherlock-Key"
	headerTimeoutMs  = "Heatherlock-Timeout-Ms"
	headerReason     = "Heatherlock-Reason"
	headerRan        = "Heatherlock-Ran"
	headerRetryAfter = "Heatherlock-Retry-After-Ms"
	headerVia        = "Heatherlock-Via"
	headerCrash      = "Standin-Crash"
)

// Limits of the retries and connections of a caller.
const (
	// maxTries is the maximum number of tries of one request.
	maxTries = 3
	// maxIdle is the maximum number of idle connections to one entry VM.
	maxIdle = 32
	// minWait is the minimum delay before a retry.
	minWait = 5 * time.Millisecond
	// answerGrace is how long after the deadline a caller still waits for the system
	// to report the outcome of the request.
	answerGrace = 500 * time.Millisecond
)

// Reporter receives the result of each try as the caller saw it.
type Reporter interface {
	Answered(witness.Try)
}

// Config is the configuration of a caller.
type Config struct {
	// Home is the place whose client block contains Source.
	Home string
	// Source is the local address of the caller's connections. If it is not valid,
	// the operating system chooses one.
	Source netip.Addr
	// Bootstrap holds the caller addresses of the entry VMs to send look-ups to.
	Bootstrap []string
	// Reporter may be nil.
	Reporter Reporter
	// Phase is the share of the time to live, from 0 to 1, by which the caching of
	// the first look-up answer is shortened. With different phases, callers do not
	// all look up at the same time, like callers that have used the system for a
	// while.
	Phase float64
	// Excused reports whether an injected fault between two times may have interrupted
	// a try on a path through entryVM and the entry VMs in via, the value of the Via
	// header. It may be nil.
	Excused func(entryVM, via string, from, to time.Time) bool
	// WrapDial wraps the function that opens the caller's connections, for example to
	// add a delay. It may be nil.
	WrapDial func(Dial) Dial
}

// Dial is a function that opens a connection.
type Dial = func(ctx context.Context, network, address string) (net.Conn, error)

// Caller emulates the client at one address.
type Caller struct {
	config      Config
	client      *http.Client
	lookupCache *lookupCache
	keys        atomic.Int64
	// instanceID makes request keys unique: another process may send from the same
	// address, and a key that was already used for a different request is refused.
	instanceID string
}

// New returns a caller. It must be closed after use.
func New(config Config) *Caller {
	dialer := &net.Dialer{Timeout: 2 * time.Second}
	if config.Source.IsValid() {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(config.Source, 0))
	}
	dial := dialer.DialContext
	if config.WrapDial != nil {
		dial = config.WrapDial(dial)
	}
	client := &http.Client{Transport: responses.NewTransport(&http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: maxIdle,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	})}
	return &Caller{config: config, client: client, instanceID: rand.Text(), lookupCache: newLookupCache(client, config.Bootstrap, config.Phase)}
}

// Close closes idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// Home returns Config.Home.
func (c *Caller) Home() string { return c.config.Home }

// Request is a request of a caller.
type Request struct {
	ID      string // unique per request
	Service string
	Kind    witness.Kind
	Timeout time.Duration
	// AnswerBytes is the size of the requested answer.
	AnswerBytes int
	// UploadBytes and UploadTime describe an upload. Its body is sent at a constant
	// rate over UploadTime.
	UploadBytes int
	UploadTime  time.Duration
	// CrashMarker, if not empty, makes the request crash the targets that run it.
	CrashMarker string
}

// Result is the result of a request after all its tries. Answer, Reason, Ran and
// EntryVM are those of the last try.
type Result struct {
	Answer  witness.Answer
	Reason  string
	Ran     string
	Tries   int
	EntryVM string
}

// Do sends a request, retries it as far as that is safe, and returns the result.
func (c *Caller) Do(ctx context.Context, r Request) Result {
	ctx, cancel := context.WithTimeout(ctx, r.Timeout+answerGrace)
	defer cancel()
	current := &call{caller: c, request: r, deadline: time.Now().Add(r.Timeout)}
	current.bodySum, current.bodySize = r.uploadSum()
	for current.result.Tries < maxTries {
		again, wait := current.try(ctx)
		if !again || !current.waitForRetry(ctx, wait) {
			break
		}
	}
	return current.result
}

func (c *call) waitForRetry(ctx context.Context, d time.Duration) bool {
	if time.Until(c.deadline) <= d {
		return false
	}
	timer := time.NewTimer(max(d, minWait))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func drain(body io.ReadCloser) {
	_, _ = io.Copy(io.Discard, io.LimitReader(body, 1<<20))
	_ = body.Close()
}

func (c *Caller) nextKey(prefix string) string {
	if prefix == "" {
		return ""
	}
	return fmt.Sprintf("%s.%s-%08d", prefix, c.instanceID, c.keys.Add(1))
}

// Reach looks up a service and returns an error if no entry VM answers.
func (c *Caller) Reach(ctx context.Context, service string) error {
	_, err := c.lookupCache.entries(ctx, service)
	return err
}
