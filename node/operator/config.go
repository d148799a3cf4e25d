package operator

import (
	"time"

	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"

	"heatherlock/objects"
)

// Token lets an operator in by a bearer token, of which only the SHA-256 is kept.
type Token struct {
	Name   string
	SHA256 string // lower-case hex
}

// Config holds what a Server needs.
type Config struct {
	VM       string
	Zone     string
	Platform objects.API
	Runtime  Runtime
	// Tokens lists the operators; when empty, and no client certificate is
	// asked for, everybody on the operators' listener is let in.
	Tokens []Token
	Log    log.Logger
	Scope  tally.Scope
}

const (
	// maxObjectBytes leaves room in the platform's limit for what is added to
	// an object before it is stored.
	maxObjectBytes = objects.MaxValueBytes - 4<<10
	// maxBodyBytes bounds a request's body. Client blocks may be longer than
	// one value of the platform, because they are split; checking costs some
	// ten times the body in memory, which bounds this.
	maxBodyBytes = 2 * objects.MaxValueBytes
	// maxWatches bounds the operators' watches through one entry VM, because
	// the platform counts each waiting watch.
	maxWatches = 64
	// defaultWatchWait is used when the request gives no waitMs.
	defaultWatchWait = 20 * time.Second
	// writeAttempts bounds how often a write with an unknown outcome is
	// repeated; it is conditional, so that repeating is safe.
	writeAttempts = 5
	// writePause comes between those attempts.
	writePause = 100 * time.Millisecond
	// comeBack is told to operators when the platform gave no time.
	comeBack = time.Second
)
