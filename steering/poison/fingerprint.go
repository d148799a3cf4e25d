package poison

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"heatherlock/steering"
)

// FingerprintBytes is how much of a body goes into a fingerprint. The sender
// holds this much back until it is known, so that a suspect is recognised
// before a target gets any of it.
const FingerprintBytes = 16 << 10

// ID identifies like requests. All entry VMs compute the same one.
type ID uint64

// MaxTraits bounds the headers by which a request is remembered.
const MaxTraits = 12

// Mark is how a request is remembered: by its content, by its key, and by its
// content together with each further header. What takes down a target may be in
// a header, and some headers differ with each repeat; a header that does harm is
// the one with which no request ever finishes.
type Mark struct {
	Content ID
	// Key is the ID of the request's key; zero when it has none.
	Key ID
	// Whole says that the whole body went into Content.
	Whole bool

	traits [MaxTraits]ID
	count  int
}

// AddTrait remembers the request by a header too. Of more than MaxTraits the
// smallest IDs stay, so that the order of headers does not matter.
func (m *Mark) AddTrait(name, value string) {
	d := xxhash.NewWithSeed(uint64(m.Content))
	writePart(d, name)
	writePart(d, value)
	id := nonZero(d.Sum64())
	if m.count < MaxTraits {
		m.traits[m.count] = id
		m.count++
		return
	}
	largest := 0
	for i := range m.traits {
		if m.traits[i] > m.traits[largest] {
			largest = i
		}
	}
	m.traits[largest] = min(m.traits[largest], id)
}

// maxIDs is the most IDs that a mark has.
const maxIDs = MaxTraits + 2

// ids returns all IDs of the mark in buf.
func (m *Mark) ids(buf *[maxIDs]ID) []ID {
	n := copy(buf[:], m.traits[:m.count])
	buf[n] = m.Content
	n++
	if m.Key != 0 {
		buf[n] = m.Key
		n++
	}
	return buf[:n]
}

// Content is what goes into a content fingerprint.
type Content struct {
	Service steering.Service
	Method  string
	// URI is the path and query.
	URI string
	// Headers are the values of the headers that change what a target does,
	// in a fixed order. Credentials are among them: one caller's request for
	// its own data is not like another's.
	Headers []string
	// Length is the body's length; -1 when not known.
	Length int64
	// Body is the beginning of the body, at most FingerprintBytes.
	Body []byte
}

// Sum returns the fingerprint. Every part is preceded by its length, so that
// different parts never add up to the same text.
func (c Content) Sum() ID {
	d := xxhash.New()
	writePart(d, string(c.Service))
	writePart(d, c.Method)
	writePart(d, c.URI)
	for _, h := range c.Headers {
		writePart(d, h)
	}
	writeInt(d, c.Length)
	_, _ = d.Write(c.Body)
	return nonZero(d.Sum64())
}

// KeyID returns the ID of a request key; zero for no key.
func KeyID(key steering.Key) ID {
	if key == "" {
		return 0
	}
	d := xxhash.NewWithSeed(1)
	_, _ = d.WriteString(string(key))
	return nonZero(d.Sum64())
}

func writePart(d *xxhash.Digest, s string) {
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
