package target

import (
	"fmt"
	"net"
	"time"

	"github.com/go-faster/errors"

	"heatherlock/standin/witness"
)

// Default values of Config fields and of the answer size.
const (
	// DefaultMaxConnections is the largest number of open connections.
	DefaultMaxConnections = 400
	// DefaultAnswerBytes is the size of a response body if the caller requests no size.
	DefaultAnswerBytes = 1024
	// DefaultRestart is the time between a crash and the restart of the target.
	DefaultRestart = 500 * time.Millisecond
)

// Config configures a target.
type Config struct {
	Name    string
	Service string
	Place   string
	// Listen is the address to listen on. Empty means "127.0.0.1:0", a free port.
	Listen string
	// Listener opens the listening socket; nil means net.Listen.
	Listener func(network, address string) (net.Listener, error)
	// Slots is the number of concurrent requests that the target reports as its capacity.
	Slots int
	// MaxConnections is the largest number of open connections; further ones are
	// closed immediately. Zero means DefaultMaxConnections.
	MaxConnections int
	// ServiceTime is the median service time of a request on a warm target; zero
	// means no delay. Sigma is the standard deviation of the logarithm of the
	// service time, which has a log-normal distribution.
	ServiceTime time.Duration
	Sigma       float64
	Cold        Cold
	// Restart is the time between a crash and the restart; zero means
	// DefaultRestart.
	Restart time.Duration
	// CrashMarker is the text that crashes the target if a request's HeaderCrash
	// header equals it or the request's body contains it. Empty disables it.
	CrashMarker string
	Seed        uint64
	Witness     *witness.Witness
}

// Cold configures the cold start. The first request takes Factor times as long
// as on a warm target, and the factor falls linearly to one over Warm requests. After
// Idle without a request the target is cold again; zero Idle means never.
type Cold struct {
	Factor float64
	Warm   int
	Idle   time.Duration
}

func (c Config) withDefaults() Config {
	if c.MaxConnections == 0 {
		c.MaxConnections = DefaultMaxConnections
	}
	if c.Restart == 0 {
		c.Restart = DefaultRestart
	}
	if c.Witness == nil {
		c.Witness = witness.New()
	}
	if c.Listener == nil {
		c.Listener = net.Listen
	}
	if c.Listen == "" {
		c.Listen = "127.0.0.1:0"
	}
	return c
}

func (c Config) check() error {
	if c.Name == "" {
		return errors.New("target: Config.Name is empty; set a name for each target")
	}
	if c.Slots < 1 {
		return fmt.Errorf("target: %s: Config.Slots is %d; must be at least 1", c.Name, c.Slots)
	}
	return nil
}

// Faults selects how a target fails or reports false health and load. The zero
// value means no faults.
type Faults struct {
	// WorkingSlots, if above zero, is the number of slots that accept requests,
	// whatever number the target reports.
	WorkingSlots int
	// Health, if not HealthTrue, fixes the response of /healthz.
	Health HealthMode
	// Load, if not nil, replaces the load in /load and in response headers.
	Load *Load
	// Late delays each response after the execution has ended.
	Late time.Duration
	// ShortEvery truncates every n-th response body below its Content-Length;
	// zero disables it.
	ShortEvery int
	// CrossedEvery answers every n-th request with the request id and body of
	// the previous response; zero disables it.
	CrossedEvery int
	// FailEvery answers every n-th request with status 500 after its execution;
	// zero disables it.
	FailEvery int
}

// HealthMode selects the response of /healthz.
type HealthMode uint8

// Health modes.
const (
	HealthTrue HealthMode = iota // 503 while draining, 200 otherwise
	HealthGood                   // always 200
	HealthBad                    // always 503
)

// Load is the load that a target reports.
type Load struct {
	InFlight int  `json:"inFlight"`
	Slots    int  `json:"slots"`
	Draining bool `json:"draining"`
}
