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

	"heatherlock/standin/witness"
)

// Headers of the data path.
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

// Bounds on what a caller does by itself.
const (
	// maxTries bounds the tries of one request.
	maxTries = 3
	// maxIdle is the number of idle connections kept to one entry VM.
	maxIdle = 32
	// minWait is the shortest pause before a repeat.
	minWait = 5 * time.Millisecond
	// answerGrace is how long after its deadline a caller still waits for the
	// system to say what became of the request.
	answerGrace = 500 * time.Millisecond
)

// Reporter takes the caller's word on each try.
type Reporter interface {
	Answered(witness.Try)
}

// Config describes a caller.
type Config struct {
	// Home is the place whose client block holds Source.
	Home   string
	Source netip.Addr
	// Bootstrap holds the callers' addresses of some entry VMs.
	Bootstrap []string
	Reporter  Reporter
	// Phase is the share of the time to live that has passed when the caller
	// first uses a look-up answer, 0 up to 1: callers that have used the system
	// for a while do not look up all at once.
	Phase float64
	// Excused says whether a planted fault killed one of the entry VMs named
	// (the first, and those of the Via header) between two times. May be nil.
	Excused func(entryVM, via string, from, to time.Time) bool
	// Link puts the caller's connections behind a link. May be nil.
	Link func(Dial) Dial
}

// Dial opens a connection.
type Dial = func(ctx context.Context, network, address string) (net.Conn, error)

// Caller is one client address.
type Caller struct {
	config Config
	client *http.Client
	book   *book
	keys   atomic.Int64
	// life makes keys unique: another process may send from the same address,
	// and a key that was used for another request is refused.
	life string
}

// New returns a caller. Close it when done.
func New(config Config) *Caller {
	dialer := &net.Dialer{Timeout: 2 * time.Second}
	if config.Source.IsValid() {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(config.Source, 0))
	}
	dial := dialer.DialContext
	if config.Link != nil {
		dial = config.Link(dial)
	}
	client := &http.Client{Transport: &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: maxIdle,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	}}
	return &Caller{config: config, client: client, life: rand.Text(), book: newBook(client, config.Bootstrap, config.Phase)}
}

// Close drops idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// Home returns the caller's place.
func (c *Caller) Home() string { return c.config.Home }

// Request is what a caller wants.
type Request struct {
	ID      string // unique
	Service string
	Kind    witness.Kind
	Timeout time.Duration
	// AnswerBytes is the size of the answer asked for.
	AnswerBytes int
	// UploadBytes and UploadTime describe an upload; its body is sent evenly
	// over UploadTime.
	UploadBytes int
	UploadTime  time.Duration
	// CrashMarker marks a request that crashes targets.
	CrashMarker string
}

// Result is how a request ended after all its tries.
type Result struct {
	Answer  witness.Answer
	Reason  string
	Ran     string
	Tries   int
	EntryVM string
}

// Do carries a request to its end: one try, and repeats by the rules.
func (c *Caller) Do(ctx context.Context, r Request) Result {
	ctx, cancel := context.WithTimeout(ctx, r.Timeout+answerGrace)
	defer cancel()
	e := &errand{caller: c, request: r, deadline: time.Now().Add(r.Timeout)}
	e.sum, e.size = r.uploadSum()
	for e.result.Tries < maxTries {
		again, wait := e.try(ctx)
		if !again || !e.pause(ctx, wait) {
			break
		}
	}
	return e.result
}

func (e *errand) pause(ctx context.Context, d time.Duration) bool {
	if time.Until(e.deadline) <= d {
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
	return fmt.Sprintf("%s.%s-%08d", prefix, c.life, c.keys.Add(1))
}

// Reach looks a service up, to see that an entry VM answers.
func (c *Caller) Reach(ctx context.Context, service string) error {
	_, err := c.book.entries(ctx, service)
	return err
}
