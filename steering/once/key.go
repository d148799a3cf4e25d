package once

import (
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"heatherlock/steering"
)

// Bounds on the parts of a request key, in bytes.
const (
	MaxIncarnation = 64
	MinUnique      = 8
	MaxUnique      = 128
)

// EpochLength is the time that one key prefix is issued for.
const EpochLength = time.Minute

// Epoch numbers the minutes in which key prefixes are issued, counted from the
// Unix epoch on the issuer's clock.
type Epoch int64

// EpochAt returns the epoch that prefixes issued at now carry.
func EpochAt(now time.Time) Epoch {
	return Epoch(now.Unix() / int64(EpochLength/time.Second))
}

// PrefixAt returns the prefix for keys issued at now that incarnation will
// keep. Any entry VM may issue it for any other: clocks may differ by minutes.
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

// ErrBadKey says that a request key is malformed; the message names the part.
var ErrBadKey = errors.New("once: request key must be <keyPrefix of a look-up answer>.<8 to 128 letters, digits, - or _>")

// ParseKey splits a key that came from a caller. A malformed key is an ErrBadKey.
func ParseKey(key steering.Key) (KeyParts, error) {
	prefix, unique, found := strings.Cut(string(key), ".")
	if !found {
		return KeyParts{}, errors.Wrap(ErrBadKey, "no dot")
	}
	if len(unique) < MinUnique || len(unique) > MaxUnique || !all(unique, isUnique) {
		return KeyParts{}, errors.Wrap(ErrBadKey, "unique part")
	}
	incarnation, digits, found := strings.Cut(prefix, "-")
	if !found {
		return KeyParts{}, errors.Wrap(ErrBadKey, "no epoch in the prefix")
	}
	if incarnation == "" || len(incarnation) > MaxIncarnation || !all(incarnation, isAlnum) {
		return KeyParts{}, errors.Wrap(ErrBadKey, "incarnation")
	}
	epoch, ok := parseEpoch(digits)
	if !ok {
		return KeyParts{}, errors.Wrap(ErrBadKey, "epoch")
	}
	return KeyParts{Incarnation: steering.Incarnation(incarnation), Epoch: epoch, Unique: unique}, nil
}

// maxEpochDigits keeps an epoch far from overflow.
const maxEpochDigits = 12

// parseEpoch accepts only the form that PrefixAt writes. Were "07" taken for
// "7", one key would have two spellings and could run twice.
func parseEpoch(digits string) (Epoch, bool) {
	if digits == "" || len(digits) > maxEpochDigits {
		return 0, false
	}
	if digits[0] == '0' && len(digits) > 1 {
		return 0, false
	}
	if !all(digits, isDigit) {
		return 0, false
	}
	n, err := strconv.ParseInt(digits, 10, 64)
	return Epoch(n), err == nil
}

func all(s string, is func(byte) bool) bool {
	for i := range len(s) {
		if !is(s[i]) {
			return false
		}
	}
	return true
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

func isAlnum(c byte) bool {
	lower := c | 0x20
	return isDigit(c) || lower >= 'a' && lower <= 'z'
}

func isUnique(c byte) bool { return isAlnum(c) || c == '-' || c == '_' }
