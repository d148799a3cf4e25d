package poison

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"heatherlock/steering"
)

// FingerprintBytes is the number of bytes of a body that go into a fingerprint.
// The forwarder has to read this much, or the whole body, before it sends any of
// it, so that a suspected request is recognized before a target receives a part
// of it.
const FingerprintBytes = 16 << 10

// ID identifies requests that have something in common: the content, the request
// key, or the content and one header. All entry VMs compute the same IDs. Zero is
// not a valid ID.
type ID uint64

// MaxHeaderIDs is the maximum number of headers of a request that have an ID.
const MaxHeaderIDs = 12

// Fingerprints holds the IDs of a request: of its content, of its key, and of its
// content combined with each further header. Headers have separate IDs because a
// header may be what crashes the target, and some headers differ with each retry.
// The header that causes the crash is the one with which no request ever
// finishes.
type Fingerprints struct {
	Content ID
	// Key is the ID of the request key, or zero if the request has none.
	Key ID
	// BodyComplete reports whether the whole body went into Content.
	BodyComplete bool

	headerIDs   [MaxHeaderIDs]ID
	headerCount int
}

// AddHeader adds the ID of the content combined with a header; Content must be
// set. If there are more than MaxHeaderIDs headers, the smallest IDs are kept, so
// that the result does not depend on the order of the headers.
func (m *Fingerprints) AddHeader(name, value string) {
	d := xxhash.NewWithSeed(uint64(m.Content))
	writeString(d, name)
	writeString(d, value)
	id := nonZero(d.Sum64())
	if m.headerCount < MaxHeaderIDs {
		m.headerIDs[m.headerCount] = id
		m.headerCount++
		return
	}
	largest := 0
	for i := range m.headerIDs {
		if m.headerIDs[i] > m.headerIDs[largest] {
			largest = i
		}
	}
	m.headerIDs[largest] = min(m.headerIDs[largest], id)
}

// maxIDs is the maximum number of IDs of Fingerprints.
const maxIDs = MaxHeaderIDs + 2

// ids returns all IDs of the mark, stored in buf. Their order is the same in each
// call.
func (m *Fingerprints) ids(buf *[maxIDs]ID) []ID {
	n := copy(buf[:], m.headerIDs[:m.headerCount])
	buf[n] = m.Content
	n++
	if m.Key != 0 {
		buf[n] = m.Key
		n++
	}
	return buf[:n]
}

// Content is the part of a request that its content fingerprint covers.
type Content struct {
	Service steering.Service
	Method  string
	// URI is the path and the query.
	URI string
	// Headers are the values of the headers that change what a target does, in
	// a fixed order. Credentials are included, because two callers that read
	// their own data by the same path send different requests.
	Headers []string
	// Length is the length of the body in bytes, or -1 if unknown.
	Length int64
	// Body is the beginning of the body, at most FingerprintBytes long.
	Body []byte
}

// Sum returns the fingerprint. Every part is hashed after its length, so that
// different parts never concatenate to the same input.
func (c Content) Sum() ID {
	d := xxhash.New()
	writeString(d, string(c.Service))
	writeString(d, c.Method)
	writeString(d, c.URI)
	for _, h := range c.Headers {
		writeString(d, h)
	}
	writeInt(d, c.Length)
	_, _ = d.Write(c.Body)
	return nonZero(d.Sum64())
}

// KeyID returns the ID of a request key, or zero if the key is empty.
func KeyID(key steering.Key) ID {
	if key == "" {
		return 0
	}
	d := xxhash.NewWithSeed(1)
	_, _ = d.WriteString(string(key))
	return nonZero(d.Sum64())
}

func writeString(d *xxhash.Digest, s string) {
	writeInt(d, int64(len(s)))
	_, _ = d.WriteString(s)
}

func writeInt(d *xxhash.Digest, n int64) {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(n))
	_, _ = d.Write(b[:])
}

func nonZero(sum uint64) ID {
	if sum == 0 {
		return 1
	}
	return ID(sum)
}
