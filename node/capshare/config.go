package capshare

import (
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"

	"heatherlock/node/seam"
	"heatherlock/objects"
	"heatherlock/peer/peerpb"
)

// DefaultListLag is the assumed upper bound on how far the platform's list of VMs lags.
const DefaultListLag = time.Minute

// Config configures Caps.
type Config struct {
	Configs  seam.Configs
	Members  seam.Members
	Platform objects.API
	// Peer returns a client for the entry VM at a peer address.
	Peer func(address string) peerpb.Peer
	// IsZoneReader reports whether this entry VM is currently its zone's reader.
	IsZoneReader func() bool
	// ConfirmedSincePause reports whether the state of this process is newer than its last
	// pause. Nil means that it always is.
	ConfirmedSincePause func() bool
	// ListLag is the longest that the platform's list of VMs may lag. Zero means DefaultListLag.
	ListLag time.Duration
	// Random returns a number in [0,1) for jitter. Nil means math/rand/v2.
	Random func() float64
	Scope  tally.Scope
	Log    log.Logger
}

func (c Config) withDefaults() (Config, error) {
	switch {
	case c.Configs == nil:
		return c, errors.New("capshare: no configuration given; set Config.Configs")
	case c.Members == nil:
		return c, errors.New("capshare: no members given; set Config.Members")
	case c.Platform == nil:
		return c, errors.New("capshare: no platform given; set Config.Platform")
	case c.Peer == nil:
		return c, errors.New("capshare: no peer clients given; set Config.Peer")
	case c.IsZoneReader == nil:
		return c, errors.New("capshare: no check for the zone reader given; set Config.Leading")
	}
	if c.ConfirmedSincePause == nil {
		c.ConfirmedSincePause = func() bool { return true }
	}
	if c.ListLag <= 0 {
		c.ListLag = DefaultListLag
	}
	if c.Random == nil {
		c.Random = rand.Float64
	}
	if c.Scope == nil {
		c.Scope = tally.NoopScope
	}
	if c.Log == nil {
		c.Log = log.NewNopLogger()
	}
	return c, nil
}
