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

// DefaultListLag is the longest that the platform's list of VMs is taken to
// lag behind.
const DefaultListLag = time.Minute

// Config holds what a Caps needs.
type Config struct {
	Configs  seam.Configs
	Members  seam.Members
	Platform objects.API
	// Peer returns the client of the entry VM at a peer address.
	Peer func(address string) peerpb.Peer
	// IsZoneReader says whether this entry VM is its zone's reader now.
	IsZoneReader func() bool
	// ConfirmedSincePause says whether what this process knows is from after
	// its last pause; nil means that it always is.
	ConfirmedSincePause func() bool
	// ListLag defaults to DefaultListLag.
	ListLag time.Duration
	// Random returns a number in [0,1) for jitter; nil means math/rand/v2.
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
		return c, errors.New("capshare: nobody says who leads; set Config.Leading")
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
