package witness

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

// Headers by which callers identify their work to the witness.
const (
	// HeaderRequest identifies what the caller wants. It stays the same when
	// the caller repeats the request; the answer's body is made from it.
	HeaderRequest = "Standin-Request"
	// HeaderTry is unique for each try of a caller.
	HeaderTry = "Standin-Try"
	// HeaderHome is the place the caller belongs to.
	HeaderHome = "Standin-Home"
	// HeaderAnswerBytes is the size of the answer's body.
	HeaderAnswerBytes = "Standin-Answer-Bytes"
)

// MaxAnswerBytes bounds the answer that a caller can ask a target for.
const MaxAnswerBytes = 64 << 20

// Body returns the answer to a request: its identity, a line feed and bytes
// that only this identity gives, size bytes in all (never fewer than the
// identity needs). An answer that was cut, mixed or crossed differs from it.
func Body(request string, size int) []byte {
	body := make([]byte, 0, max(size, len(request)+1))
	body = append(body, request...)
	body = append(body, '\n')
	return appendNoise(body, request, size)
}

func appendNoise(body []byte, seed string, size int) []byte {
	noise := Noise(seed)
	for len(body) < size {
		n := len(body)
		body = body[:min(n+4096, size)]
		_, _ = noise.Read(body[n:])
	}
	return body
}

// Noise returns an endless stream of bytes that depends on seed alone.
func Noise(seed string) io.Reader {
	var key [32]byte
	for i := range 4 {
		sum := xxhash.Sum64String(seed + string(rune('a'+i)))
		for j := range 8 {
			key[i*8+j] = byte(sum >> (8 * j))
		}
	}
	return rand.NewChaCha8(key)
}

// Sum returns the digest by which an upload's bytes are compared at both ends.
func Sum(r io.Reader) (sum string, bytes int64, err error) {
	h := sha256.New()
	bytes, err = io.Copy(h, r)
	return hex.EncodeToString(h.Sum(nil)), bytes, err
}
