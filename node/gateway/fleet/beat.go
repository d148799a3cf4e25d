package fleet

import (
	"encoding/json"

	"github.com/go-faster/errors"

	"heatherlock/node/gateway/feed"
	"heatherlock/steering"
)

// Beat is a heartbeat.
type Beat struct {
	From Member `json:"from"`
	// Boot tells one process from the next of the same name.
	Boot uint64 `json:"boot"`
	// Number grows with each beat of a boot.
	Number uint64 `json:"n"`
	// Serving VMs take requests.
	Serving bool `json:"serving,omitempty"`
	// Leaving VMs are about to end.
	Leaving bool `json:"leaving,omitempty"`
	// Demand is the slots kept busy by the VM's own callers, by service.
	Demand map[steering.Service]float64 `json:"demand,omitempty"`
	// Known says what the VM knows of the store.
	Known feed.Mark `json:"known"`
	// StoreFails is set while the VM's own reads of the store fail.
	StoreFails bool `json:"storeFails,omitempty"`
	// Members introduces others to a VM that may not know them.
	Members []Member `json:"members,omitempty"`
}

func encode(b Beat) ([]byte, error) {
	raw, err := json.Marshal(b)
	if err != nil {
		return nil, errors.Wrap(err, "fleet: encode heartbeat")
	}
	return raw, nil
}

func decode(raw []byte) (Beat, error) {
	var b Beat
	if err := json.Unmarshal(raw, &b); err != nil {
		return Beat{}, errors.Wrap(err, "fleet: decode heartbeat")
	}
	if b.From.Name == "" {
		return Beat{}, errors.New("fleet: heartbeat without a name")
	}
	return b, nil
}
