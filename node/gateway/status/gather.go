package status

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"heatherlock/steering"
)

const (
	// askTimeout bounds the question to one entry VM.
	askTimeout = 3 * time.Second
	// largestAnswer bounds what is read of an answer: 650 VMs take 200 bytes each.
	largestAnswer = 4 << 20
	// triedOfZone is how many VMs of a zone are asked until one answers.
	triedOfZone = 3
)

// Ask asks an entry VM for its status by the host:port of its control listener.
func Ask(ctx context.Context, client *http.Client, control string) (*Status, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+control+Path, nil)
	if err != nil {
		return nil, errors.Wrap(err, "status: address")
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "status: ask")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("status: answered %d", response.StatusCode)
	}
	var s Status
	if err := json.NewDecoder(io.LimitReader(response.Body, largestAnswer)).Decode(&s); err != nil {
		return nil, errors.Wrap(err, "status: decode")
	}
	return &s, nil
}

// mostAtOnce bounds the VMs that are asked at the same time.
const mostAtOnce = 32

// AskEach asks VMs for their status; the answers and errors are in the order of controls.
func AskEach(ctx context.Context, client *http.Client, controls []string) ([]*Status, []error) {
	answers, problems := make([]*Status, len(controls)), make([]error, len(controls))
	room := make(chan struct{}, mostAtOnce)
	var all sync.WaitGroup
	for n, control := range controls {
		room <- struct{}{}
		all.Go(func() {
			answers[n], problems[n] = Ask(ctx, client, control)
			<-room
		})
	}
	all.Wait()
	return answers, problems
}

// AskAny asks VMs in order until one answers; the error is that of the last.
func AskAny(ctx context.Context, client *http.Client, controls []string) (*Status, error) {
	err := errors.New("status: no entry VM to ask")
	for _, control := range controls {
		var s *Status
		if s, err = Ask(ctx, client, control); err == nil {
			return s, nil
		}
	}
	return nil, err
}

// View is which configuration a fleet follows, and who was asked.
type View struct {
	Overview
	// Asked are the VMs that answered, Silent the zones in which none did.
	Asked  []steering.VM   `json:"asked"`
	Silent []steering.Zone `json:"silent_zones,omitempty"`
}

// Gather completes what one VM says of a fleet by asking one VM of each other zone: VMs
// of one zone hear each other several times a second.
func Gather(ctx context.Context, client *http.Client, first *Status) View {
	view := View{Asked: []steering.VM{first.VM}}
	rows := first.Rows()
	zones := first.otherZones()
	answers := make([]*Status, len(zones))
	var all sync.WaitGroup
	for n, zone := range zones {
		all.Go(func() { answers[n], _ = AskAny(ctx, client, first.liveOf(zone)) }) // a zone without an answer is named below
	}
	all.Wait()
	for n, s := range answers {
		if s == nil {
			view.Silent = append(view.Silent, zones[n])
			continue
		}
		view.Asked = append(view.Asked, s.VM)
		rows = append(rows, s.Rows()...)
	}
	view.Overview = Summarize(rows)
	return view
}

// otherZones returns the zones of all VMs on record but its own.
func (s *Status) otherZones() []steering.Zone {
	var zones []steering.Zone
	for _, p := range s.Fleet {
		if p.Zone != s.Zone && !slices.Contains(zones, p.Zone) {
			zones = append(zones, p.Zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// liveOf returns the control addresses of some live VMs of a zone.
func (s *Status) liveOf(zone steering.Zone) []string {
	var controls []string
	for _, p := range s.Fleet {
		if p.Zone == zone && p.Live && !p.Leaving && len(controls) < triedOfZone {
			controls = append(controls, p.Control)
		}
	}
	return controls
}
