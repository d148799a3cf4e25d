package catchup

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"

	"heatherlock/steering"
	"heatherlock/steering/spread"
)

const (
	// fetchTimeout is how long a peer's response may take to start, and how long it may stall
	// afterwards. It covers several one-way trips over the longest link, and the data that the
	// peer has already committed its link to.
	fetchTimeout = 1200 * time.Millisecond
	// pollInterval is the pause while no peer is eligible: about a one-way trip over the longest
	// link.
	pollInterval = 30 * time.Millisecond
	// failureBackoff is how long a peer that failed to respond is skipped.
	failureBackoff = time.Second
	// maxRetryAfter bounds how long a busy peer is skipped, whatever delay it asked for.
	maxRetryAfter = time.Second
	// storeFallbackDelay is how long peers may deliver nothing before this VM reads the store
	// itself. Each VM ahead of this one in the read order adds storeFallbackStep, up to
	// maxStoreFallbackRank VMs, because simultaneous reads would share the store's links.
	storeFallbackDelay   = time.Second
	storeFallbackStep    = 50 * time.Millisecond
	maxStoreFallbackRank = 20
)

// Reader gives access to this VM's copy of the stored state.
type Reader interface {
	// Behind returns the newest version known to exist, and for how long this VM has known of a
	// version newer than the active one; behind is false if there is none.
	Behind() (newest uint64, behindFor time.Duration, behind bool)
	// Index returns the active configuration, or nil.
	Index() *spread.Index
	// ApplyConfig activates a configuration.
	ApplyConfig(*spread.Index)
	// ReadConfig reads the configuration from the store.
	ReadConfig(ctx context.Context) error
	// Rank returns how many VMs come before this one in the order in which VMs read the store.
	Rank() int
}

// Peer is an entry VM that has a newer configuration.
type Peer struct {
	spread.Source
	// Address is the host:port of its control listener.
	Address string
}

// Config is the configuration of a Fetcher.
type Config struct {
	Reader Reader
	// Peers returns the VMs whose configuration is newer than the version above.
	Peers func(above uint64) []Peer
	// Requester returns this VM's zone and region, and its rank among the VMs that fetch from
	// peers.
	Requester func() spread.Requester
	HTTP      *http.Client
	// Self is the name of this VM.
	Self steering.VM
	// PieceBytes is the size of the piece to request at once, before compression.
	PieceBytes int
	Scope      tally.Scope
	Log        log.Logger
	// OnResponse, if set, is called with the size of each response from a peer.
	OnResponse func(from Peer, bytes int64)
}

// Fetcher fetches newer configurations from peers.
type Fetcher struct {
	cfg      Config
	wake     chan struct{}
	progress atomic.Pointer[Progress]
}

// NewFetcher returns a Fetcher that does nothing until Run is called.
func NewFetcher(cfg Config) *Fetcher { return &Fetcher{cfg: cfg, wake: make(chan struct{}, 1)} }

// Wake makes the Fetcher check for a newer version and for peers that have it. It does not block.
func (f *Fetcher) Wake() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// Run fetches newer configurations after each Wake, until ctx ends.
func (f *Fetcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-f.wake:
			f.catchUp(ctx)
		}
	}
}

// transfer is the state of one catch-up, which ends when the newest configuration is active.
type transfer struct {
	*Fetcher
	assembler *spread.Assembler
	// avoidUntil holds the time until which a peer is skipped, by peer; busy marks the peers
	// that are skipped because they had no link capacity left.
	avoidUntil map[steering.VM]time.Time
	busy       map[steering.VM]bool
	// slotHolder is the peer that reserves a transfer slot for this VM, or empty.
	slotHolder steering.VM
	// progress is when the last response was accepted, or when the store was last read.
	progress time.Time
}

func (f *Fetcher) catchUp(ctx context.Context) {
	t := &transfer{Fetcher: f, assembler: spread.NewAssembler(), avoidUntil: make(map[steering.VM]time.Time),
		busy: make(map[steering.VM]bool), progress: time.Now()}
	defer f.progress.Store(nil)
	for ctx.Err() == nil {
		_, behindFor, behind := f.cfg.Reader.Behind()
		if !behind {
			return
		}
		t.assembler.SetBase(f.cfg.Reader.Index())
		peer, found := t.choosePeer(behindFor)
		if !found {
			t.publishProgress(t.waitReason(time.Now()))
			t.readStoreIfStalled(ctx)
			f.sleep(ctx, pollInterval)
			continue
		}
		t.fetchFrom(ctx, peer)
		if t.assembler.Done() {
			f.cfg.Reader.ApplyConfig(t.assembler.Index())
			t.slotHolder = ""
		}
	}
}

// choosePeer returns the peer to fetch from, or false if no peer is eligible now.
func (t *transfer) choosePeer(behindFor time.Duration) (Peer, bool) {
	now := time.Now()
	byVM := make(map[steering.VM]Peer)
	var sources []spread.Source
	for _, p := range t.cfg.Peers(t.obsoleteVersion()) {
		if now.Before(t.avoidUntil[p.VM]) {
			continue
		}
		byVM[p.VM] = p
		sources = append(sources, p.Source)
	}
	requester := t.cfg.Requester()
	requester.Waited, requester.SlotHolder = behindFor, t.slotHolder
	source, found := spread.ChooseSource(requester, sources, rand.IntN)
	return byVM[source.VM], found
}

// obsoleteVersion returns the highest version that is not worth fetching: the active one, or the
// one before the version that is being assembled, whichever is higher.
func (t *transfer) obsoleteVersion() uint64 {
	var version uint64
	if index := t.cfg.Reader.Index(); index != nil {
		version = index.Outline().Version
	}
	if assembling := t.assembler.Version(); assembling > 0 {
		version = max(version, assembling-1)
	}
	return version
}

// fetchFrom requests the next piece from a peer. A request that is long because of its hashes is
// sent only to a peer that reserves a slot for this VM; other peers are asked for a slot first.
func (t *transfer) fetchFrom(ctx context.Context, peer Peer) {
	need := t.assembler.Request(t.cfg.PieceBytes)
	need.From = t.cfg.Self
	if peer.VM != t.slotHolder && !need.IsShort() {
		need = need.SlotRequest()
	}
	began := time.Now()
	delete(t.busy, peer.VM)
	result, err := t.call(ctx, peer.Address, need)
	t.countResponse(result, err)
	if t.cfg.OnResponse != nil {
		t.cfg.OnResponse(peer, result.bytes)
	}
	if err == nil {
		err = t.assembler.Apply(result.piece)
	}
	switch {
	case err == nil:
		t.progress = time.Now()
		t.recordSlot(peer, result.piece)
		t.publishProgress(ReceivingPieces)
		return
	case result.retryAfter > 0:
		t.avoidUntil[peer.VM] = time.Now().Add(min(result.retryAfter, maxRetryAfter))
		t.busy[peer.VM] = true
		t.clearSlot(peer)
		return
	}
	t.avoidUntil[peer.VM] = time.Now().Add(failureBackoff)
	t.clearSlot(peer)
	if ctx.Err() != nil {
		return
	}
	missing, total := t.assembler.Remaining()
	_ = t.cfg.Log.Log("msg", "peer did not tell the configuration", "peer", peer.VM, "config", need.Version, "got_bytes", result.bytes,
		"took_ms", time.Since(began).Milliseconds(), "parts_missing", missing, "parts", total, "err", err) // the log writer counts dropped lines
}

// recordSlot records the peer as slot holder if it sent anything but an outline: a peer reserves
// a slot before it sends any other piece.
func (t *transfer) recordSlot(peer Peer, p spread.Piece) {
	if p.Outline == nil {
		t.slotHolder = peer.VM
	}
}

// clearSlot records that the peer reserves no slot for this VM.
func (t *transfer) clearSlot(peer Peer) {
	if t.slotHolder == peer.VM {
		t.slotHolder = ""
	}
}

// countResponse counts responses and their bytes by outcome.
func (t *transfer) countResponse(result callResult, err error) {
	outcome := "whole"
	switch {
	case result.retryAfter > 0:
		outcome = "no_room"
	case err != nil:
		outcome = "broken_off"
	}
	scope := t.cfg.Scope.Tagged(map[string]string{"end": outcome})
	scope.Counter("gateway_config_parts").Inc(1)
	scope.Counter("gateway_config_part_bytes").Inc(result.bytes)
}

// readStoreIfStalled starts a read of the store if peers have delivered nothing for too long.
func (t *transfer) readStoreIfStalled(ctx context.Context) {
	rank := min(t.cfg.Reader.Rank(), maxStoreFallbackRank)
	if time.Since(t.progress) < storeFallbackDelay+time.Duration(rank)*storeFallbackStep {
		return
	}
	t.progress = time.Now()
	go func() {
		if err := t.cfg.Reader.ReadConfig(ctx); err != nil && ctx.Err() == nil {
			_ = t.cfg.Log.Log("msg", "configuration not read from the store", "err", err) // the log writer counts dropped lines
		}
	}()
}

func (f *Fetcher) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-f.wake:
	case <-timer.C:
	}
}
