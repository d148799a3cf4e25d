package gateway

import (
	"context"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"heatherlock/node/gateway/feed"
	"heatherlock/node/gateway/fleet"
	"heatherlock/node/gateway/volume"
	"heatherlock/node/lock"
	"heatherlock/platform"
	"heatherlock/responses"
	"heatherlock/steering"
	"heatherlock/steering/departure"
	"heatherlock/steering/placement"
	"heatherlock/steering/retry"
	"heatherlock/steering/spread"
	"heatherlock/steering/storepos"
)

const (
	// pathDepartures is the path at which an entry VM serves the departures of targets that it knows to its
	// peers. Builds before it respond with 404.
	pathDepartures = "/v1/departures"
	// departureBytes is an upper estimate of the size of a departure in a response: its name and two numbers.
	departureBytes = 64
	// maxDeparturesBytes bounds what a peer can make this VM hold. A VM remembers as many removed targets as it
	// has targets, which are tens of thousands at most.
	maxDeparturesBytes = 4 << 20
)

// enquirer asks other VMs for the departures of targets that this one may have missed.
type enquirer struct {
	mu      lock.Mutex
	enquiry *departure.Enquiry
	since   storepos.Position
	running bool
}

func newEnquirer(settings *platform.Settings) *enquirer {
	silence := feed.OutOfTouchAfter(time.Duration(settings.HeartbeatMs) * time.Millisecond)
	return &enquirer{enquiry: departure.NewEnquiry(silence)}
}

// begin begins an enquiry after a gap in what this VM knows. It reports whether a worker has to be started.
func (e *enquirer) begin(now time.Time, gap feed.Gap) (start bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.since = gap.Since
	e.enquiry.Begin(now, gap.Length)
	start = !e.running
	e.running = true
	return start
}

// note records a heartbeat of a VM that knows the contents of the store.
func (e *enquirer) note(now time.Time, from steering.VM) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.enquiry.Heard(now, from)
}

// next returns the VM to ask now and from which position on; active is false once the enquiry has ended.
func (e *enquirer) next(now time.Time) (peer steering.VM, since storepos.Position, ask, active bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	peer, ask = e.enquiry.Next(now)
	active = ask || e.enquiry.Active(now)
	e.running = active
	return peer, e.since, ask, active
}

func (e *enquirer) answered(knows time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.enquiry.Answered(knows)
}

// noteHeard records a heartbeat, and begins to ask for departures if this VM has been out of touch.
func (g *Gateway) noteHeard(b fleet.Beat) {
	now := time.Now()
	if b.StoreDigest.Revision > 0 {
		g.enquirer.note(now, b.From.Name)
	}
	gap, ended := g.reader.TakeGap()
	if !ended {
		return
	}
	if gap.Since.IsZero() {
		gap.Since = g.reader.KnownPosition() // what is not listed at the start gets no requests
	}
	if g.enquirer.begin(now, gap) {
		go g.enquire()
	}
}

// enquire asks other VMs for departures until one has told all or the enquiry ends.
func (g *Gateway) enquire() {
	for {
		peer, since, ask, active := g.enquirer.next(time.Now())
		switch {
		case !active:
			return
		case ask:
			g.askDepartures(peer, since)
		default:
			time.Sleep(departure.PollInterval)
		}
	}
}

// askDepartures asks one VM for departures. What it tells outlasts later news of the store, so that a response that
// arrives late does no harm.
func (g *Gateway) askDepartures(peer steering.VM, since storepos.Position) {
	began := time.Now()
	told, err := g.fetchDepartures(peer, since)
	outcome := "whole"
	if err != nil {
		outcome = "broken_off"
		_ = g.log.Log("msg", "peer did not tell departures", "peer", peer, "took_ms", time.Since(began).Milliseconds(), "err", err) // the log writer counts dropped lines
	} else {
		g.reader.NoteDepartures(peer, told)
		g.relay.WithBalancer(func(b *placement.Balancer, _ *retry.SharedBudget) {
			for _, d := range told.Said {
				b.ApplyClosing(began, placement.Closing{Target: d.Target, Generation: d.Generation, Leaving: true})
			}
		})
		_ = g.log.Log("msg", "departures told", "peer", peer, "count", len(told.All), "said", len(told.Said), "since", since, "peer_known_ms", told.KnownForMs, "peer_settled", told.Settled, "took_ms", time.Since(began).Milliseconds()) // as above
	}
	g.metrics.Scope.Tagged(map[string]string{"end": outcome}).Counter("gateway_departures_asked").Inc(1)
	g.enquirer.answered(time.Duration(told.KnownForMs) * time.Millisecond)
}

// fetchDepartures asks a peer for the departures that a VM may lack which has learned nothing since a position.
func (g *Gateway) fetchDepartures(peer steering.VM, since storepos.Position) (told feed.Departures, err error) {
	all := g.fleet.Live()
	i := slices.IndexFunc(all, func(m fleet.Member) bool { return m.Name == peer })
	if i < 0 {
		return told, errors.New("gateway: the peer is no longer heard")
	}
	from := all[i]
	query := url.Values{paramSince: {strconv.FormatInt(since.Revision, 10)}, paramEpoch: {strconv.FormatUint(since.Epoch, 10)}}
	ctx, stall := responses.WithStallTimeout(context.Background(), pullTimeout)
	defer stall.Release()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+from.Control+pathDepartures+"?"+query.Encode(), nil)
	if err != nil {
		return told, errors.Wrap(err, "gateway: create request")
	}
	response, err := g.peerClient.Do(request)
	if err != nil {
		return told, errors.Wrap(stall.Cause(err), "gateway: send request to peer")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return told, errors.Errorf("gateway: peer returned status %d", response.StatusCode)
	}
	body := &byteCounter{Reader: stall.Reader(http.MaxBytesReader(nil, response.Body, maxDeparturesBytes))}
	err = cbor.NewDecoder(body).Decode(&told)
	g.meter.Count(volume.Targets, locationOf(from), body.bytes)
	if err != nil {
		return feed.Departures{}, errors.Wrap(stall.Cause(err), "gateway: decode departures of peer")
	}
	return told, nil
}

// serveDepartures tells a peer the departures that it may lack. On a full link the peer is sent elsewhere rather than kept
// waiting: it goes on using targets meanwhile.
func (g *Gateway) serveDepartures(w http.ResponseWriter, r *http.Request) {
	since, ok := positionOf(w, r)
	if !ok {
		return
	}
	told := g.reader.DeparturesSince(since)
	g.relay.WithBalancer(func(b *placement.Balancer, _ *retry.SharedBudget) {
		for _, c := range b.Leavings() {
			told.Said = append(told.Said, departure.Departure{Target: c.Target, Generation: c.Generation})
		}
	})
	if _, ok := g.sendLimiter.Reserve(time.Now(), spread.LinkLoad{Bytes: departureBytes * (len(told.All) + len(told.Said)), Outline: true}); !ok {
		g.metrics.Scope.Counter("gateway_departures_asked_in_vain").Inc(1)
		http.Error(w, "the link is full; ask another entry VM", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/cbor")
	if err := cbor.NewEncoder(w).Encode(told); err != nil {
		_ = g.log.Log("msg", "cannot write response to peer", "err", err) // the log writer counts dropped lines
	}
}

// positionOf returns the position that a peer names in a request, and responds with an error if there is none.
func positionOf(w http.ResponseWriter, r *http.Request) (since storepos.Position, ok bool) {
	revision, err := strconv.ParseInt(r.URL.Query().Get(paramSince), 10, 64)
	if err != nil {
		http.Error(w, "since must be a number", http.StatusBadRequest)
		return storepos.Position{}, false
	}
	epoch, _ := strconv.ParseUint(r.URL.Query().Get(paramEpoch), 10, 64) // 0 if the peer names none
	return storepos.Position{Epoch: epoch, Revision: revision}, true
}
