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
	// Path is where an entry VM tells its configuration.
	Path = "/v1/config"
	// headerWait tells one that finds no room when to come back, in ms.
	headerWait = "Heatherlock-Wait-Ms"
	// mostQuestion bounds a question: the hashes of a large configuration's routes.
	mostQuestion = 4 << 20
	// mostAsked bounds the answer that a peer may ask for, in bytes.
	mostAsked = 1 << 20
)

// Handler tells the configuration in force, and those before it to VMs that have begun to ask
// for them. It is safe for concurrent use.
type Handler struct {
	// Index returns the configuration in force, or nil.
	Index func() *spread.Index
	Room  *spread.Room
	Scope tally.Scope
	Log   log.Logger

	recent spread.Recent
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	inForce := h.Index()
	if inForce == nil {
		http.Error(w, "no configuration yet; ask another entry VM", http.StatusNotFound)
		return
	}
	need, err := readNeed(w, r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	index := h.recent.Find(time.Now(), inForce, need.Version)
	if wait, ok := h.Room.Turn(time.Now(), index.Turn(need)); !ok {
		h.refuse(w, wait)
		return
	}
	piece, ask := index.Answer(need)
	raw, err := encode(piece)
	if err != nil {
		_ = h.Log.Log("msg", "part of the configuration not encoded", "err", err) // the writer counts what it drops
		http.Error(w, "not encoded", http.StatusInternalServerError)
		return
	}
	ask.Bytes = len(raw)
	if wait, ok := h.Room.Promise(time.Now(), ask); !ok {
		h.refuse(w, wait)
		return
	}
	w.Header().Set("Content-Type", contentType)
	n, err := w.Write(raw)
	h.Scope.Counter("gateway_config_told_bytes").Inc(int64(n))
	if err != nil {
		_ = h.Log.Log("msg", "part of the configuration not told", "to", r.RemoteAddr, "bytes", len(raw), "err", err) // as above
	}
}

// refuse tells one that finds no room when to come back.
func (h *Handler) refuse(w http.ResponseWriter, wait time.Duration) {
	h.Scope.Counter("gateway_config_asked_in_vain").Inc(1)
	w.Header().Set(headerWait, strconv.FormatInt(wait.Milliseconds()+1, 10))
	http.Error(w, "the link is full; come back, or ask another entry VM", http.StatusServiceUnavailable)
}

func readNeed(w http.ResponseWriter, r *http.Request) (spread.Need, error) {
	var need spread.Need
	if err := cbor.NewDecoder(http.MaxBytesReader(w, r.Body, mostQuestion)).Decode(&need); err != nil {
		return need, errors.Wrap(err, "send what is needed as CBOR")
	}
	need.Bytes = min(need.Bytes, mostAsked)
	return need, nil
}
