package catchup

import (
	"net/http"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"

	"heatherlock/steering/spread"
)

const (
	// Path is the path at which an entry VM serves its configuration to peers.
	Path = "/v1/config"
	// headerRetryAfter is the delay, in milliseconds, after which a refused peer should retry.
	headerRetryAfter = "Heatherlock-Wait-Ms"
	// maxRequestBytes bounds a request, which holds the hashes of a large configuration's routes.
	maxRequestBytes = 4 << 20
	// maxPieceBytes bounds the size of the piece that a peer may request.
	maxPieceBytes = 1 << 20
)

// Handler serves the active configuration to peers, and recently replaced ones to peers that have
// already begun to fetch them. It is safe for concurrent use.
type Handler struct {
	// Index returns the active configuration, or nil.
	Index func() *spread.Index
	// SendLimiter limits what this VM sends to peers, and to how many of them at a time.
	SendLimiter *spread.SendLimiter
	Scope       tally.Scope
	Log         log.Logger

	recent spread.RecentVersions
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	active := h.Index()
	if active == nil {
		http.Error(w, "no configuration yet; ask another entry VM", http.StatusNotFound)
		return
	}
	need, err := readNeed(w, r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	index := h.recent.Find(time.Now(), active, need.Version)
	if retryAfter, ok := h.SendLimiter.Turn(time.Now(), index.Turn(need)); !ok {
		h.refuse(w, retryAfter)
		return
	}
	piece, load := index.Answer(need)
	raw, err := encode(piece)
	if err != nil {
		_ = h.Log.Log("msg", "cannot encode configuration piece", "err", err) // the log writer counts dropped lines
		http.Error(w, "not encoded", http.StatusInternalServerError)
		return
	}
	load.Bytes = len(raw)
	if retryAfter, ok := h.SendLimiter.Reserve(time.Now(), load); !ok {
		h.refuse(w, retryAfter)
		return
	}
	w.Header().Set("Content-Type", contentType)
	n, err := w.Write(raw)
	h.Scope.Counter("gateway_config_told_bytes").Inc(int64(n))
	if err != nil {
		_ = h.Log.Log("msg", "cannot send configuration piece", "to", r.RemoteAddr, "bytes", len(raw), "err", err) // the log writer counts dropped lines
	}
}

// refuse responds to a peer that cannot be served now, with the delay after which to retry.
func (h *Handler) refuse(w http.ResponseWriter, retryAfter time.Duration) {
	h.Scope.Counter("gateway_config_asked_in_vain").Inc(1)
	w.Header().Set(headerRetryAfter, strconv.FormatInt(retryAfter.Milliseconds()+1, 10))
	http.Error(w, "the link is full; come back, or ask another entry VM", http.StatusServiceUnavailable)
}

func readNeed(w http.ResponseWriter, r *http.Request) (spread.Request, error) {
	var need spread.Request
	if err := cbor.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&need); err != nil {
		return need, errors.Wrap(err, "send what is needed as CBOR")
	}
	need.Bytes = min(need.Bytes, maxPieceBytes)
	return need, nil
}
