package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"heatherlock/node/gateway/catchup"
	"heatherlock/node/gateway/feed"
	"heatherlock/node/gateway/fleet"
	"heatherlock/node/gateway/status"
	"heatherlock/node/gateway/volume"
	"heatherlock/platform"
	"heatherlock/steering/placement"
	"heatherlock/steering/retry"
	"heatherlock/steering/spread"
)

const (
	// pathKnown is where an entry VM tells its peers what it knows of the targets.
	pathKnown  = "/v1/known"
	paramSince = "since"
	// pullTimeout is how long a peer's answer may take to begin, and to go on: a few
	// ways over the longest link, and the answers to others on a link of 10 Mbit/s. The
	// next heartbeat of any peer starts another.
	pullTimeout = 1200 * time.Millisecond
	// entryBytes is more than a target takes in an answer: 105 were seen with names and
	// addresses of usual length, and some are told that they are cold or missing.
	entryBytes = 200
	// zonePullers is how many VMs of a zone ask a VM of another zone. The others
	// ask those: one VM that tells seventy at once is busy with that for a second.
	zonePullers = 2
	// patience is how long a VM waits for one of its zone before it asks farther.
	patience = 250 * time.Millisecond
)

func newPeerClient() *http.Client {
	dialer := &net.Dialer{Timeout: pullTimeout, KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 2}}
	return &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext,
		MaxIdleConnsPerHost: 1, IdleConnTimeout: 10 * time.Second, DisableCompression: true}}
}

// fleetOf is the fleet of a gateway as its reader needs it; the reader is made
// first.
type fleetOf struct{ g *Gateway }

// ReadRank implements feed.Peers.
func (f fleetOf) ReadRank(fails bool) int { return f.g.fleet.ReadRank(fails) }

// ReadBegun implements feed.Peers.
func (f fleetOf) ReadBegun() time.Time { return f.g.fleet.ReadBegun() }

// Reading implements feed.Sink.
func (g *Gateway) Reading() { g.fleet.Announce() }

// Refreshed implements feed.Sink.
func (g *Gateway) Refreshed() { g.fleet.Announce() }

// heardBeat takes in what a peer knows, and asks it for more if it knows more.
func (g *Gateway) heardBeat(b fleet.Beat) {
	if len(b.Suspects) > 0 {
		g.relay.LearnFacts(time.Now(), b.Suspects)
	}
	if len(b.Tight) > 0 {
		g.credits.LearnTight(b.Tight)
	}
	if len(b.Replaced) > 0 {
		g.relay.WithBalancer(func(balancer *placement.Balancer, _ *retry.SharedBudget) {
			balancer.LearnReplaced(time.Now(), b.Replaced)
		})
	}
	newest, _, _ := g.reader.Behind()
	pull := g.reader.Merge(b.Known)
	g.noteNewest(newest, b)
	if _, _, behind := g.reader.Behind(); behind {
		g.fetcher.Wake()
	}
	if !pull || !g.pulling.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer g.pulling.Store(false)
		if zoneRank, _ := g.fleet.AskRank(); b.From.Zone != g.settings.Zone && zoneRank >= zonePullers {
			// One of this zone tells it soon; its heartbeat must not meet a pull
			// under way.
			time.Sleep(patience)
			g.pulling.Store(false)
			if !g.reader.Merge(b.Known) || !g.pulling.CompareAndSwap(false, true) {
				return
			}
		}
		began := time.Now()
		bytes, err := g.pull(b.From.Control)
		g.meter.Count(volume.Targets, placeOf(b.From), bytes)
		g.countPull(bytes, err)
		if err != nil {
			_ = g.log.Log("msg", "peer did not tell", "peer", b.From.Name, "got_bytes", bytes,
				"took_ms", time.Since(began).Milliseconds(), "err", err) // the writer counts what it drops
			return
		}
		g.fleet.AnnounceInZone()
	}()
}

// placeOf returns where an entry VM is.
func placeOf(m fleet.Member) volume.Place { return volume.Place{Zone: m.Zone, Region: m.Region} }

// countPull counts what a peer told, and whether it was whole.
func (g *Gateway) countPull(bytes int64, err error) {
	end := "whole"
	if err != nil {
		end = "broken_off"
	}
	g.metrics.Scope.Tagged(map[string]string{"end": end}).Counter("gateway_peer_answers").Inc(1)
	g.metrics.Scope.Tagged(map[string]string{"end": end}).Counter("gateway_peer_answer_bytes").Inc(bytes)
}

// counted counts the bytes that pass.
type counted struct {
	io.Reader
	io.Writer
	bytes int64
}

func (c *counted) Read(b []byte) (int, error) {
	n, err := c.Reader.Read(b)
	c.bytes += int64(n)
	return n, err
}

func (c *counted) Write(b []byte) (int, error) {
	n, err := c.Writer.Write(b)
	c.bytes += int64(n)
	return n, err
}

// pull asks a peer for all that it knows more, and returns how much of the answer came.
func (g *Gateway) pull(address string) (bytes int64, err error) {
	query := url.Values{paramSince: {strconv.FormatInt(g.reader.Position(), 10)}}
	ctx, stall := platform.WithStallTimeout(context.Background(), pullTimeout)
	defer stall.Release()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+pathKnown+"?"+query.Encode(), nil)
	if err != nil {
		return 0, errors.Wrap(err, "gateway: ask a peer")
	}
	response, err := g.peers.Do(request)
	if err != nil {
		return 0, errors.Wrap(stall.Cause(err), "gateway: ask a peer")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return 0, errors.Errorf("gateway: peer answered %d", response.StatusCode)
	}
	var known feed.Update
	body := &counted{Reader: stall.Reader(response.Body)}
	if err := cbor.NewDecoder(body).Decode(&known); err != nil {
		return body.bytes, errors.Wrap(stall.Cause(err), "gateway: decode a peer's answer")
	}
	g.reader.Apply(known)
	return body.bytes, nil
}

// controlMux serves peers, and status to operators.
func (g *Gateway) controlMux() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+status.Path, g.answerStatus)
	mux.HandleFunc("GET "+pagePath+"{$}", g.answerPage)
	mux.Handle("POST "+catchup.Path, g.newConfigHandler())
	mux.HandleFunc("GET "+pathKnown, func(w http.ResponseWriter, r *http.Request) {
		since, err := strconv.ParseInt(r.URL.Query().Get(paramSince), 10, 64)
		if err != nil {
			http.Error(w, "since must be a number", http.StatusBadRequest)
			return
		}
		update := g.reader.UpdateSince(since)
		if _, ok := g.room.Promise(time.Now(), spread.Ask{Bytes: entryBytes * len(update.Entries), Outline: true}); !ok {
			g.metrics.Scope.Counter("gateway_targets_asked_in_vain").Inc(1)
			http.Error(w, "the link is full; ask another entry VM", http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/cbor")
		told := &counted{Writer: w}
		if err := cbor.NewEncoder(told).Encode(update); err != nil {
			_ = g.log.Log("msg", "answer to a peer not written", "err", err) // as above
		}
		g.metrics.Scope.Counter("gateway_told_bytes").Inc(told.bytes)
	})
	return mux
}
