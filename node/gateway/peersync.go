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
	"heatherlock/responses"
	"heatherlock/steering/placement"
	"heatherlock/steering/retry"
	"heatherlock/steering/spread"
)

const (
	// pathKnown is the path at which an entry VM serves the targets that it knows to its peers.
	pathKnown  = "/v1/known"
	paramSince = "since"
	// paramEpoch is the epoch of paramSince. Builds before it send none and ignore it.
	paramEpoch = "epoch"
	// pullTimeout is how long a peer's response may take to start, and how long it may stall
	// afterwards: several one-way trips over the longest link, and the responses to other VMs on
	// a link of 10 Mbit/s. After a timeout, the next heartbeat of any peer starts another pull.
	pullTimeout = 1200 * time.Millisecond
	// maxPeerHeaderBytes bounds the head of a response of another entry VM, which has a few short fields.
	maxPeerHeaderBytes = 64 << 10
	// entryBytes is an upper estimate of the size of a target in a response: 105 bytes were
	// measured with names and addresses of usual length, and some targets are also marked cold or
	// missing.
	entryBytes = 200
)

func newPeerClient() *http.Client {
	dialer := &net.Dialer{Timeout: pullTimeout, KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 2}}
	return &http.Client{Transport: responses.NewTransport(&http.Transport{DialContext: dialer.DialContext,
		MaxIdleConnsPerHost: 1, IdleConnTimeout: 10 * time.Second, DisableCompression: true, MaxResponseHeaderBytes: maxPeerHeaderBytes})}
}

// readerPeers implements feed.Peers. It looks up the fleet on each call, because the reader is
// created before the fleet.
type readerPeers struct{ g *Gateway }

// ReadRank implements feed.Peers.
func (f readerPeers) ReadRank(fails bool) int { return f.g.fleet.ReadRank(fails) }

// LastReadStart implements feed.Peers.
func (f readerPeers) LastReadStart() time.Time { return f.g.fleet.LastReadStart() }

// StartView implements feed.Peers.
func (f readerPeers) StartView() feed.StartView {
	v := f.g.fleet.StartView()
	v.RecordsKnown = f.g.recordsRead.Load()
	return v
}

// ListedAnew implements feed.Sink.
func (g *Gateway) ListedAnew(kind string, fault platform.Fault) {
	g.metrics.Scope.Tagged(map[string]string{"kind": kind, "fault": fault.String()}).Counter("gateway_store_lists").Inc(1)
}

// ReadStarted implements feed.Sink.
func (g *Gateway) ReadStarted() { g.fleet.Announce() }

// ReadSucceeded implements feed.Sink.
func (g *Gateway) ReadSucceeded() {
	g.fleet.Announce()
	g.workers.Go(func() { g.restoreRecords(context.Background()) })
}

// handleHeartbeat merges what a peer reports, and pulls target updates from the peer if it has a
// newer revision.
func (g *Gateway) handleHeartbeat(b fleet.Beat) {
	if len(b.Suspects) > 0 {
		g.relay.MergePoisonFacts(time.Now(), b.Suspects)
	}
	if len(b.Tight) > 0 {
		g.allowanceService.ApplyLowBucketNotices(b.Tight)
	}
	if len(b.Replaced) > 0 {
		g.relay.WithBalancer(func(balancer *placement.Balancer, _ *retry.SharedBudget) {
			balancer.MarkReplaced(time.Now(), b.Replaced)
		})
	}
	newest, _, _ := g.reader.Behind()
	pull := g.reader.Merge(b.StoreDigest)
	g.noteHeard(b)
	g.recordNewest(newest, b)
	if _, _, behind := g.reader.Behind(); behind {
		g.fetcher.Wake()
	}
	if !pull || !g.pulling.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer g.pulling.Store(false)
		zoneRank, _ := g.fleet.RequestRank()
		if delay := feed.PullDelay(b.From.Zone == g.settings.Zone, zoneRank); delay > 0 {
			// A peer of this zone is about to announce the same update. The flag is cleared before
			// the second check, so that the heartbeat of that peer can start the pull instead.
			time.Sleep(delay)
			b.StoreDigest.AgeMs += delay.Milliseconds()
			g.pulling.Store(false)
			if !g.reader.Merge(b.StoreDigest) || !g.pulling.CompareAndSwap(false, true) {
				return
			}
		}
		began := time.Now()
		bytes, err := g.pull(b.From)
		g.meter.Count(volume.Targets, locationOf(b.From), bytes)
		g.countPull(bytes, err)
		if err != nil {
			_ = g.log.Log("msg", "peer did not tell", "peer", b.From.Name, "got_bytes", bytes,
				"took_ms", time.Since(began).Milliseconds(), "err", err) // the log writer counts dropped lines
			return
		}
		g.fleet.AnnounceInZone()
	}()
}

// locationOf returns the zone and region of an entry VM.
func locationOf(m fleet.Member) volume.Location {
	return volume.Location{Zone: m.Zone, Region: m.Region}
}

// countPull counts a response of a peer and its bytes, separately for complete and incomplete
// responses.
func (g *Gateway) countPull(bytes int64, err error) {
	outcome := "whole"
	if err != nil {
		outcome = "broken_off"
	}
	g.metrics.Scope.Tagged(map[string]string{"end": outcome}).Counter("gateway_peer_answers").Inc(1)
	g.metrics.Scope.Tagged(map[string]string{"end": outcome}).Counter("gateway_peer_answer_bytes").Inc(bytes)
}

// byteCounter counts the bytes that are read or written through it.
type byteCounter struct {
	io.Reader
	io.Writer
	bytes int64
}

func (c *byteCounter) Read(b []byte) (int, error) {
	n, err := c.Reader.Read(b)
	c.bytes += int64(n)
	return n, err
}

func (c *byteCounter) Write(b []byte) (int, error) {
	n, err := c.Writer.Write(b)
	c.bytes += int64(n)
	return n, err
}

// pull fetches and applies all target updates that a peer has and this VM lacks. It returns the
// number of bytes received, also on error.
func (g *Gateway) pull(from fleet.Member) (bytes int64, err error) {
	since := g.reader.KnownPosition()
	query := url.Values{paramSince: {strconv.FormatInt(since.Revision, 10)}, paramEpoch: {strconv.FormatUint(since.Epoch, 10)}}
	ctx, stall := responses.WithStallTimeout(context.Background(), pullTimeout)
	defer stall.Release()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+from.Control+pathKnown+"?"+query.Encode(), nil)
	if err != nil {
		return 0, errors.Wrap(err, "gateway: create request")
	}
	asked := time.Now()
	response, err := g.peerClient.Do(request)
	if err != nil {
		return 0, errors.Wrap(stall.Cause(err), "gateway: send request to peer")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return 0, errors.Errorf("gateway: peer returned status %d", response.StatusCode)
	}
	var known feed.Update
	body := &byteCounter{Reader: stall.Reader(response.Body)}
	if err := cbor.NewDecoder(body).Decode(&known); err != nil {
		return body.bytes, errors.Wrap(stall.Cause(err), "gateway: decode response from peer")
	}
	// A response does not age on its way, which takes long on a narrow link or if this VM stands still.
	known.Digest.AgeMs += time.Since(asked).Milliseconds()
	g.reader.Apply(string(from.Name), known)
	return body.bytes, nil
}

// controlMux returns the handler of the control listener, which serves peers and shows status to
// operators.
func (g *Gateway) controlMux() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+status.Path, g.serveStatus)
	mux.HandleFunc("GET "+pagePath+"{$}", g.serveStatusPage)
	mux.Handle("POST "+catchup.Path, g.newConfigHandler())
	mux.HandleFunc("GET "+pathDepartures, g.serveDepartures)
	mux.HandleFunc("GET "+pathKnown, func(w http.ResponseWriter, r *http.Request) {
		since, ok := positionOf(w, r)
		if !ok {
			return
		}
		update := g.reader.UpdateSince(since)
		if _, ok := g.sendLimiter.Reserve(time.Now(), spread.LinkLoad{Bytes: entryBytes * len(update.Entries), Outline: true}); !ok {
			g.metrics.Scope.Counter("gateway_targets_asked_in_vain").Inc(1)
			http.Error(w, "the link is full; ask another entry VM", http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/cbor")
		counter := &byteCounter{Writer: w}
		if err := cbor.NewEncoder(counter).Encode(update); err != nil {
			_ = g.log.Log("msg", "cannot write response to peer", "err", err) // the log writer counts dropped lines
		}
		g.metrics.Scope.Counter("gateway_told_bytes").Inc(counter.bytes)
	})
	return mux
}
