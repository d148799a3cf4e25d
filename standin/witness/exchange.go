package witness

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

// Request headers by which callers identify their requests to the witness and set the
// size of the response.
const (
	// HeaderRequest identifies the request. It stays the same when the caller
	// repeats the request, and the response body is derived from it.
	HeaderRequest = "Standin-Request"
	// HeaderTry is unique to each try.
	HeaderTry = "Standin-Try"
	// HeaderHome is the caller's home place.
	HeaderHome = "Standin-Home"
	// HeaderAnswerBytes is the requested size of the response body in bytes.
	HeaderAnswerBytes = "Standin-Answer-Bytes"
)

// MaxAnswerBytes is the largest response body that a caller can request.
const MaxAnswerBytes = 64 << 20

// Body returns the expected response body of a request: its identity, a line feed and
// pseudo-random bytes derived from the identity. It has size bytes, or more if the
// identity and the line feed need more. A truncated, mixed or crossed response differs
// from it.
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

// Noise returns an endless stream of pseudo-random bytes that depends only on seed.
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

// Sum reads r to its end and returns the digest and the number of its bytes. Caller
// and target compare an upload by them.
func Sum(r io.Reader) (sum string, bytes int64, err error) {
	h := sha256.New()
	bytes, err = io.Copy(h, r)
	return hex.EncodeToString(h.Sum(nil)), bytes, err
}
