package operator

import (
	"time"

	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"

	"heatherlock/objects"
)

// Token is an operator's bearer token, of which only the SHA-256 digest is stored.
type Token struct {
	Name   string
	SHA256 string // lower-case hex
}

// Config configures a Server. Platform and Runtime are required.
type Config struct {
	VM       string
	Zone     string
	Platform objects.API
	Runtime  Runtime
	// Tokens lists the operators. If it is empty and the listener requests no client
	// certificates, every request is accepted.
	Tokens []Token
	Log    log.Logger
	Scope  tally.Scope
}

const (
	// maxObjectBytes is the maximum size of an encoded object. It is 4 KiB below the platform's
	// limit, to leave room for what is added to an object before it is stored.
	maxObjectBytes = objects.MaxValueBytes - 4<<10
	// maxBodyBytes is the maximum size of a request body. It exceeds the platform's limit for
	// one value, because ClientBlocks objects are split into shards. It can't be much larger:
	// checking a body takes about ten times its size in memory.
	maxBodyBytes = 2 * objects.MaxValueBytes
	// maxWatches is the maximum number of concurrent operator watches through one entry VM,
	// because each waiting watch counts towards the platform's limits.
	maxWatches = 64
	// defaultWatchWait is how long a watch waits if the request has no waitMs.
	defaultWatchWait = 20 * time.Second
	// maxWriteAttempts is the maximum number of attempts for a write whose outcome is unknown.
	// Repeating it is safe, because writes are conditional on the object's version.
	maxWriteAttempts = 5
	// writeRetryDelay is the delay between write attempts.
	writeRetryDelay = 100 * time.Millisecond
	// defaultRetryAfter is the minimum retry delay returned to operators; it also applies if
	// the platform gave none.
	defaultRetryAfter = time.Second
)
