package catchup

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"heatherlock/responses"
	"heatherlock/steering/spread"
)

// maxResponseBytes bounds a response. It leaves room for the largest piece that may be requested,
// which may exceed its limit by one bucket, and for the services.
const maxResponseBytes = 8 << 20

// errPeerBusy is returned when a peer asks to be called again later because its link is full.
var errPeerBusy = errors.New("catchup: peer has no link capacity left, retry later")

// callResult is the outcome of a call.
type callResult struct {
	piece spread.Piece
	bytes int64
	// retryAfter is set when the peer has no link capacity left: the time after which to retry.
	retryAfter time.Duration
}

// call requests a piece from the peer at an address.
func (t *transfer) call(ctx context.Context, address string, need spread.Request) (result callResult, err error) {
	body, err := cbor.Marshal(need)
	if err != nil {
		return result, errors.Wrap(err, "catchup: encode request")
	}
	ctx, stall := responses.WithStallTimeout(ctx, fetchTimeout)
	defer stall.Release()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+Path, bytes.NewReader(body))
	if err != nil {
		return result, errors.Wrap(err, "catchup: create request")
	}
	response, err := t.cfg.HTTP.Do(request)
	if err != nil {
		return result, errors.Wrap(stall.Cause(err), "catchup: send request to peer")
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(stall.Reader(io.LimitReader(response.Body, maxResponseBytes)))
	result.bytes = int64(len(raw))
	if err != nil {
		return result, errors.Wrap(stall.Cause(err), "catchup: read response from peer")
	}
	if retryAfter := response.Header.Get(headerRetryAfter); retryAfter != "" {
		ms, err := strconv.Atoi(retryAfter)
		if err != nil || ms <= 0 {
			return result, errors.Errorf("catchup: peer sent an invalid retry delay: %q ms", retryAfter)
		}
		result.retryAfter = time.Duration(ms) * time.Millisecond
		return result, errPeerBusy
	}
	if response.StatusCode != http.StatusOK {
		return result, errors.Errorf("catchup: peer returned status %d", response.StatusCode)
	}
	result.piece, err = decode(raw)
	return result, err
}
