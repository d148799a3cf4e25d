package admit

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/go-faster/errors"

	"heatherlock/responses"
)

// Load is the load that a target reports at its load endpoint.
type Load struct {
	InFlight int  `json:"inFlight"`
	Slots    int  `json:"slots"`
	Draining bool `json:"draining"`
}

// LoadReader reads the load of targets.
type LoadReader interface {
	// ReadLoad reads the load of the target at address, host:port.
	ReadLoad(ctx context.Context, address string) (Load, error)
}

// HTTPLoadReader reads loads from the /load endpoints of the targets.
type HTTPLoadReader struct {
	Client *http.Client // one with the settings of http.DefaultClient if nil
}

var defaultLoadClient = responses.NewClient()

// maxLoadBytes bounds the response body of a load endpoint.
const maxLoadBytes = 4096

// ReadLoad implements LoadReader.
func (h HTTPLoadReader) ReadLoad(ctx context.Context, address string) (Load, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/load", nil)
	if err != nil {
		return Load{}, errors.Wrap(err, "admit: create load request")
	}
	client := h.Client
	if client == nil {
		client = defaultLoadClient
	}
	reply, err := client.Do(request)
	if err != nil {
		return Load{}, errors.Wrap(err, "admit: read load")
	}
	defer func() { _ = reply.Body.Close() }()
	if reply.StatusCode != http.StatusOK {
		return Load{}, errors.Errorf("admit: load endpoint of %s answered %s; check the target", address, reply.Status)
	}
	return decodeLoad(io.LimitReader(reply.Body, maxLoadBytes))
}

func decodeLoad(r io.Reader) (Load, error) {
	var load Load
	if err := json.NewDecoder(r).Decode(&load); err != nil {
		return Load{}, errors.Wrap(err, "admit: decode load")
	}
	if load.InFlight < 0 || load.Slots < 0 {
		return Load{}, errors.New("admit: negative load reported; check the target")
	}
	return load, nil
}
