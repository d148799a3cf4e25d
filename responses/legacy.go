package responses

import (
	"bytes"

	"github.com/go-faster/errors"
)

// errLegacyFraming reports an HTTP/1.0 response with a Transfer-Encoding, which that version does not know. Who wrote the
// field is not who framed the body, so that its framing is faulty even with a length (RFC 9112, section 6.1).
var errLegacyFraming = errors.Wrap(ErrMalformed, "Transfer-Encoding in HTTP/1.0")

var (
	legacyVersion = []byte("HTTP/1.0")
	legacyField   = []byte("transfer-encoding:")
)

// legacyScan looks for a Transfer-Encoding in the head of an HTTP/1.0 response. net/http drops the field without a trace, and
// reads the framing as the body. Responses of other versions are told apart by their first bytes.
type legacyScan struct {
	version int  // how many bytes of the version have been seen
	active  bool // whether the head goes on
	line    [32]byte
	length  int // of the line so far, of which line holds the beginning
	first   bool
}

// start prepares for a new head.
func (s *legacyScan) start() { *s = legacyScan{active: true, first: true} }

// found reports whether the field stands in what has been read of the head, with p.
func (s *legacyScan) found(p []byte) bool {
	for n := 0; s.active && n < len(p); n++ {
		switch b := p[n]; {
		case s.version < len(legacyVersion):
			s.active = b == legacyVersion[s.version]
			s.version++
		case b == '\n':
			if s.endLine() {
				return true
			}
		default:
			if s.length < len(s.line) {
				s.line[s.length] = b
			}
			s.length++
		}
	}
	return false
}

// endLine ends a line, and reports whether it is the field.
func (s *legacyScan) endLine() bool {
	line := bytes.TrimSuffix(s.line[:min(s.length, len(s.line))], []byte("\r"))
	if len(line) == 0 && !s.first {
		s.active = false
	}
	s.length, s.first = 0, false
	return len(line) >= len(legacyField) && bytes.EqualFold(line[:len(legacyField)], legacyField)
}
