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
	// askTimeout is the timeout of the request to one entry VM.
	askTimeout = 3 * time.Second
	// maxResponseBytes limits how much of a response is read; 650 VMs take 200 bytes each.
	maxResponseBytes = 4 << 20
	// maxTriesPerZone is how many VMs of a zone are asked until one answers.
	maxTriesPerZone = 3
)

// Fetch requests the status of the entry VM whose control listener is at the host:port control.
func Fetch(ctx context.Context, client *http.Client, control string) (*Status, error) {
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
	if err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(&s); err != nil {
		return nil, errors.Wrap(err, "status: decode")
	}
	return &s, nil
}

// maxConcurrentRequests bounds how many VMs are asked at the same time.
const maxConcurrentRequests = 32

// FetchEach requests the status of several VMs concurrently. The statuses and errors are in the
// order of controls.
func FetchEach(ctx context.Context, client *http.Client, controls []string) ([]*Status, []error) {
	answers, problems := make([]*Status, len(controls)), make([]error, len(controls))
	room := make(chan struct{}, maxConcurrentRequests)
	var all sync.WaitGroup
	for n, control := range controls {
		room <- struct{}{}
		all.Go(func() {
			answers[n], problems[n] = Fetch(ctx, client, control)
			<-room
		})
	}
	all.Wait()
	return answers, problems
}

// FetchAny asks VMs in order until one answers. If none does it returns the error of the last one.
func FetchAny(ctx context.Context, client *http.Client, controls []string) (*Status, error) {
	err := errors.New("status: no entry VM to ask")
	for _, control := range controls {
		var s *Status
		if s, err = Fetch(ctx, client, control); err == nil {
			return s, nil
		}
	}
	return nil, err
}

// FleetView says which configuration each VM of a fleet uses, and which VMs were asked.
type FleetView struct {
	Overview
	// Asked holds the VMs that answered, Silent the zones in which none did.
	Asked  []steering.VM   `json:"asked"`
	Silent []steering.Zone `json:"silent_zones,omitempty"`
}

// Gather completes the status of one VM with that of one VM of each other zone. One VM per zone is
// enough, since the VMs of a zone exchange heartbeats several times a second.
func Gather(ctx context.Context, client *http.Client, first *Status) FleetView {
	view := FleetView{Asked: []steering.VM{first.VM}}
	rows := first.Rows()
	zones := first.otherZones()
	answers := make([]*Status, len(zones))
	var all sync.WaitGroup
	for n, zone := range zones {
		all.Go(func() { answers[n], _ = FetchAny(ctx, client, first.liveControls(zone)) }) // zones without an answer are reported in Silent
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

// otherZones returns the zones on record other than the VM's own.
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

// liveControls returns the control addresses of up to maxTriesPerZone live VMs of a zone.
func (s *Status) liveControls(zone steering.Zone) []string {
	var controls []string
	for _, p := range s.Fleet {
		if p.Zone == zone && p.Live && !p.Leaving && len(controls) < maxTriesPerZone {
			controls = append(controls, p.Control)
		}
	}
	return controls
}
