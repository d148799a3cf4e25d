package upstream

import (
	"bufio"
	"io"
	"net/http"

	"github.com/go-faster/errors"

	"heatherlock/node/gateway/buffering"
	"heatherlock/responses"
)

const (
	// maxHeadBytes bounds the heads of the responses to one request: interim ones, those of responses that are
	// skipped, and the last. It is four times what servers and proxies commonly accept as the head of a request.
	maxHeadBytes = 64 << 10
	// maxInterim is how many interim responses are skipped. Lawful targets send one or two (100, 103), and with 102
	// one every few seconds.
	maxInterim = 16
	// headOverhead is how many times the bytes of a head are held once it is parsed: as read, and as fields.
	headOverhead = 3
)

// ErrHeadTooLarge reports a response whose head is larger than maxHeadBytes or does not end.
var ErrHeadTooLarge = errors.New("upstream: the head of the response is too large")

// ErrTooManyInterim reports more than maxInterim interim responses.
var ErrTooManyInterim = errors.New("upstream: too many interim responses")

// headReader bounds what is read from a connection while the head of a response is read, and reserves it. It is not
// safe for concurrent use.
type headReader struct {
	from io.Reader
	// remaining is how many further bytes the heads may take; negative while no head is read.
	remaining int
	claim     *buffering.Claim
	// err is the last error of Read. While it is nil, a response that could not be read is malformed, and not broken off.
	err error
}

// Read implements io.Reader.
func (h *headReader) Read(p []byte) (int, error) {
	n, err := h.read(p)
	h.err = err
	return n, err
}

func (h *headReader) read(p []byte) (int, error) {
	if h.remaining == 0 {
		return 0, ErrHeadTooLarge
	}
	if h.remaining > 0 && len(p) > h.remaining {
		p = p[:h.remaining]
	}
	n, err := h.from.Read(p)
	if h.remaining < 0 || n == 0 {
		return n, err
	}
	h.remaining -= n
	// Usual heads are small, and counted with the connection.
	if beyond := min(n, maxHeadBytes-h.remaining-readBufferSize); beyond > 0 && !h.claim.Reserve(int64(headOverhead*beyond)) {
		return 0, buffering.ErrNoRoom
	}
	return n, err
}

// classify returns the error for a part of a response that could not be read or parsed. Without an error from the connection,
// the bytes that arrived break the protocol.
func (h *headReader) classify(err error, doing string) error {
	if h.err == nil {
		return errors.Wrapf(responses.ErrMalformed, "%s: %v", doing, err)
	}
	return errors.Wrap(err, doing)
}

// heads reads the heads of the responses to one request.
type heads struct {
	in        *bufio.Reader
	bounded   *headReader
	request   *http.Request
	remaining int
	interim   int
	onInterim func(http.Header) // may be nil
}

// next returns the next response that is not an interim one. Its body is read without the bound.
func (h *heads) next(claim *buffering.Claim) (*http.Response, error) {
	for {
		h.bounded.claim, h.bounded.remaining = claim, h.remaining
		response, err := http.ReadResponse(h.in, h.request)
		h.remaining, h.bounded.claim, h.bounded.remaining = h.bounded.remaining, nil, -1
		if err != nil {
			return nil, h.bounded.classify(err, "read response")
		}
		if err := responses.Check(response); err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
		if h.interim++; h.interim > maxInterim {
			return nil, ErrTooManyInterim
		}
		if h.onInterim != nil {
			h.onInterim(response.Header)
		}
	}
}
