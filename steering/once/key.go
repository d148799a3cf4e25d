package once

import (
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"heatherlock/steering"
)

// Limits on the lengths of the parts of a request key, in bytes.
const (
	MaxIncarnation = 64
	MinUnique      = 8
	MaxUnique      = 128
)

// EpochLength is the period in which all issued key prefixes carry the same epoch.
const EpochLength = time.Minute

// Epoch is the number of the minute in which a key prefix was issued, counted from the Unix epoch
// on the issuer's clock.
type Epoch int64

// EpochAt returns the epoch of the prefixes that are issued at now.
func EpochAt(now time.Time) Epoch {
	return Epoch(now.Unix() / int64(EpochLength/time.Second))
}

// PrefixAt returns the prefix, issued at now, of keys that belong to incarnation. Any entry VM
// may issue it on behalf of another one, even if their clocks differ by minutes.
func PrefixAt(incarnation steering.Incarnation, now time.Time) steering.KeyPrefix {
	if incarnation == "" {
		return ""
	}
	epoch := strconv.FormatInt(int64(EpochAt(now)), 10)
	return steering.KeyPrefix(string(incarnation) + "-" + epoch)
}

// KeyParts is a parsed request key.
type KeyParts struct {
	Incarnation steering.Incarnation
	Epoch       Epoch
	Unique      string
}

// ErrBadKey is returned for a malformed request key, wrapped in an error that names the malformed
// part.
var ErrBadKey = errors.New("once: request key must be <keyPrefix of a look-up answer>.<8 to 128 letters, digits, - or _>")

// ParseKey parses a request key received from a caller. It returns an ErrBadKey if the key is
// malformed.
func ParseKey(key steering.Key) (KeyParts, error) {
	prefix, unique, found := strings.Cut(string(key), ".")
	if !found {
		return KeyParts{}, errors.Wrap(ErrBadKey, "no dot")
	}
	if len(unique) < MinUnique || len(unique) > MaxUnique || !allBytes(unique, isUnique) {
		return KeyParts{}, errors.Wrap(ErrBadKey, "unique part")
	}
	incarnation, digits, found := strings.Cut(prefix, "-")
	if !found {
		return KeyParts{}, errors.Wrap(ErrBadKey, "no epoch in the prefix")
	}
	if incarnation == "" || len(incarnation) > MaxIncarnation || !allBytes(incarnation, isAlphanumeric) {
		return KeyParts{}, errors.Wrap(ErrBadKey, "incarnation")
	}
	epoch, ok := parseEpoch(digits)
	if !ok {
		return KeyParts{}, errors.Wrap(ErrBadKey, "epoch")
	}
	return KeyParts{Incarnation: steering.Incarnation(incarnation), Epoch: epoch, Unique: unique}, nil
}

// maxEpochDigits keeps an epoch far below the overflow of an int64.
const maxEpochDigits = 12

// parseEpoch accepts only the format that PrefixAt writes. If it took "07" for "7", one key would
// have two spellings and could run twice.
func parseEpoch(digits string) (Epoch, bool) {
	if digits == "" || len(digits) > maxEpochDigits {
		return 0, false
	}
	if digits[0] == '0' && len(digits) > 1 {
		return 0, false
	}
	if !allBytes(digits, isDigit) {
		return 0, false
	}
	n, err := strconv.ParseInt(digits, 10, 64)
	return Epoch(n), err == nil
}

func allBytes(s string, is func(byte) bool) bool {
	for i := range len(s) {
		if !is(s[i]) {
			return false
		}
	}
	return true
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

func isAlphanumeric(c byte) bool {
	lower := c | 0x20
	return isDigit(c) || lower >= 'a' && lower <= 'z'
}

func isUnique(c byte) bool { return isAlphanumeric(c) || c == '-' || c == '_' }
