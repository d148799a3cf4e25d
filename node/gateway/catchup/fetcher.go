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
	// askTimeout is how long a peer's answer may take to begin, and to go on: a few ways
	// over the longest link, and what its link was promised to send before.
	askTimeout = 1200 * time.Millisecond
	// idle is the pause while no peer is to be asked: about a way over the longest link.
	idle = 30 * time.Millisecond
	// avoidFailed is how long a peer that did not answer is passed over.
	avoidFailed = time.Second
	// longestWait bounds how long a peer without room is passed over.
	longestWait = time.Second
	// storePatience is how long nothing may come from peers until this VM reads the
	// store itself, and storeStep how much longer for each VM that reads before it, up to
	// storeRanks: more reads at once would share the store's links.
	storePatience = time.Second
	storeStep     = 50 * time.Millisecond
	storeRanks    = 20
)

// Reader is what this VM knows of the store.
type Reader interface {
	// Behind returns the newest version known to exist, and for how long one newer than
	// that in force has been known; behind is false if none is.
	Behind() (newest uint64, late time.Duration, behind bool)
	// Index returns the configuration in force, or nil.
	Index() *spread.Index
	// Take puts a configuration in force.
	Take(*spread.Index)
	// ReadConfig reads the configuration from the store.
	ReadConfig(ctx context.Context) error
	// Rank says how many VMs are to read before this one.
	Rank() int
}

// Peer is an entry VM that has a newer configuration.
type Peer struct {
	spread.Source
	// Address is host:port of its control listener.
	Address string
}

// Config holds what a Fetcher needs.
type Config struct {
	Reader Reader
	// Peers returns the VMs that have a newer configuration than a version.
	Peers func(above uint64) []Peer
	// Asker returns this VM's place among those that ask.
	Asker func() spread.Asker
	HTTP  *http.Client
	// Self names this VM.
	Self steering.VM
	// PieceBytes is how much is asked for at once.
	PieceBytes int
	Scope      tally.Scope
	Log        log.Logger
	// Got, when set, is told how many bytes a peer's answer had.
	Got func(from Peer, bytes int64)
}

// Fetcher brings newer configurations from peers.
type Fetcher struct {
	cfg      Config
	wake     chan struct{}
	progress atomic.Pointer[Progress]
}

// NewFetcher returns a fetcher.
func NewFetcher(cfg Config) *Fetcher { return &Fetcher{cfg: cfg, wake: make(chan struct{}, 1)} }

// Wake tells that a newer version, or a peer that has one, may be known.
func (f *Fetcher) Wake() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// Run works until ctx ends.
func (f *Fetcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-f.wake:
			f.catchUp(ctx)
		}
	}
}

// transfer is the work until the newest configuration is in force.
type transfer struct {
	*Fetcher
	draft *spread.Draft
	// avoid holds until when peers are passed over, and busy those of them that had no
	// room.
	avoid map[steering.VM]time.Time
	busy  map[steering.VM]bool
	// place is the peer that keeps a place for this VM, if any does.
	place steering.VM
	// progress is when something last came.
	progress time.Time
}

func (f *Fetcher) catchUp(ctx context.Context) {
	t := &transfer{Fetcher: f, draft: spread.NewDraft(), avoid: make(map[steering.VM]time.Time),
		busy: make(map[steering.VM]bool), progress: time.Now()}
	defer f.progress.Store(nil)
	for ctx.Err() == nil {
		_, late, behind := f.cfg.Reader.Behind()
		if !behind {
			return
		}
		t.draft.Base(f.cfg.Reader.Index())
		peer, found := t.choose(late)
		if !found {
			t.show(t.idleWait(time.Now()))
			t.readStore(ctx)
			f.sleep(ctx, idle)
			continue
		}
		t.ask(ctx, peer)
		if t.draft.Done() {
			f.cfg.Reader.Take(t.draft.Index())
			t.place = ""
		}
	}
}

// choose returns the peer to ask, or false if none is to be asked now.
func (t *transfer) choose(late time.Duration) (Peer, bool) {
	now := time.Now()
	byVM := make(map[steering.VM]Peer)
	var sources []spread.Source
	for _, p := range t.cfg.Peers(t.outgrown()) {
		if now.Before(t.avoid[p.VM]) {
			continue
		}
		byVM[p.VM] = p
		sources = append(sources, p.Source)
	}
	asker := t.cfg.Asker()
	asker.Waited, asker.Place = late, t.place
	source, found := spread.Choose(asker, sources, rand.IntN)
	return byVM[source.VM], found
}

// outgrown returns the newest version that is of no use: that in force, or one before the
// draft's.
func (t *transfer) outgrown() uint64 {
	var version uint64
	if index := t.cfg.Reader.Index(); index != nil {
		version = index.Outline().Version
	}
	if drafted := t.draft.Version(); drafted > 0 {
		version = max(version, drafted-1)
	}
	return version
}

// ask asks a peer for the next piece, or for a place to ask for it.
func (t *transfer) ask(ctx context.Context, peer Peer) {
	need := t.draft.Need(t.cfg.PieceBytes)
	need.From = t.cfg.Self
	if peer.VM != t.place && !need.Short() {
		need = need.Place()
	}
	began := time.Now()
	delete(t.busy, peer.VM)
	got, err := t.call(ctx, peer.Address, need)
	t.count(got, err)
	if t.cfg.Got != nil {
		t.cfg.Got(peer, got.bytes)
	}
	if err == nil {
		err = t.draft.Take(got.piece)
	}
	switch {
	case err == nil:
		t.progress = time.Now()
		t.keepPlace(peer, got.piece)
		t.show(Parts)
		return
	case got.wait > 0:
		t.avoid[peer.VM] = time.Now().Add(min(got.wait, longestWait))
		t.busy[peer.VM] = true
		t.losePlace(peer)
		return
	}
	t.avoid[peer.VM] = time.Now().Add(avoidFailed)
	t.losePlace(peer)
	if ctx.Err() != nil {
		return
	}
	missing, of := t.draft.Left()
	_ = t.cfg.Log.Log("msg", "peer did not tell the configuration", "peer", peer.VM, "config", need.Version, "got_bytes", got.bytes,
		"took_ms", time.Since(began).Milliseconds(), "parts_missing", missing, "parts", of, "err", err) // the writer counts what it drops
}

// keepPlace notes that a peer answered with more than an outline: it keeps a place.
func (t *transfer) keepPlace(peer Peer, p spread.Piece) {
	if p.Outline == nil {
		t.place = peer.VM
	}
}

// losePlace notes that a peer keeps no place.
func (t *transfer) losePlace(peer Peer) {
	if t.place == peer.VM {
		t.place = ""
	}
}

// count counts answers by how they ended.
func (t *transfer) count(got answer, err error) {
	end := "whole"
	switch {
	case got.wait > 0:
		end = "no_room"
	case err != nil:
		end = "broken_off"
	}
	scope := t.cfg.Scope.Tagged(map[string]string{"end": end})
	scope.Counter("gateway_config_parts").Inc(1)
	scope.Counter("gateway_config_part_bytes").Inc(got.bytes)
}

// readStore reads the store when peers have brought nothing for too long.
func (t *transfer) readStore(ctx context.Context) {
	rank := min(t.cfg.Reader.Rank(), storeRanks)
	if time.Since(t.progress) < storePatience+time.Duration(rank)*storeStep {
		return
	}
	t.progress = time.Now()
	go func() {
		if err := t.cfg.Reader.ReadConfig(ctx); err != nil && ctx.Err() == nil {
			_ = t.cfg.Log.Log("msg", "configuration not read from the store", "err", err) // the writer counts what it drops
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
