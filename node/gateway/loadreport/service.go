package loadreport

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"

	"heatherlock/node/lock"
	"heatherlock/steering"
)

const (
	// interval is the time between two rounds of reports.
	interval = time.Second
	// maxReceivers bounds the VMs to which sections are sent.
	maxReceivers = 64
	// bytesPerSecond is what a VM sends, over all receivers, but for the weights that the balancer sends.
	// With more receivers, each gets the registered sections less often. A round of sections is sent whole, so
	// that some minutes have a part of a round more than others; this leaves 5 % of 1 KB for it.
	bytesPerSecond = 950
)

// Section is one kind of report. IDs up to 15 are reserved for this package.
type Section struct {
	ID uint8
	// Fill returns what to report to the VMs of a region; nil sends nothing.
	Fill func(now time.Time, to steering.Region) []byte
	// Apply processes what another VM reported. It must not keep data.
	Apply func(now time.Time, from steering.VM, data []byte)
}

// Peer is an entry VM to which reports may be sent.
type Peer struct {
	Name   steering.VM
	Region steering.Region
	// Address is the ip:port of its UDP socket for load reports.
	Address string
}

// Peers are the entry VMs as this VM sees them, including itself.
type Peers struct {
	// Live holds the live VMs in the order in which VMs read the store.
	Live []Peer
	// Named holds the VMs that callers are directed to.
	Named []Peer
}

// Config holds the dependencies and settings of a Service.
type Config struct {
	Self   steering.VM
	Region steering.Region
	// Regions holds all regions.
	Regions []steering.Region
	Log     log.Logger
	Scope   tally.Scope
	// Peers returns the entry VMs. It is called at most once a second, and only while there is
	// something to report or datagrams arrive.
	Peers func() Peers
	// OnSend, if set, is called for each datagram with its recipient and size.
	OnSend func(to steering.VM, bytes int)
}

// Service exchanges reports with other entry VMs. It is safe for concurrent use.
type Service struct {
	cfg         Config
	conn        net.PacketConn // nil if there is no port for reports
	incarnation uint32

	mu       lock.Mutex
	number   uint64
	sections map[uint8]Section
	peers    Peers
	peersAt  time.Time
	senders  map[steering.VM]position
	weights  *weights // nil without UseWeights
	// nextRound is when sections are sent next.
	nextRound time.Time
}

// position is the newest datagram received from a VM.
type position struct {
	incarnation uint32
	number      uint64
}

// New returns a service that exchanges datagrams on conn. If conn is nil, it exchanges none. Run must
// be called to start it.
func New(cfg Config, conn net.PacketConn) *Service {
	return &Service{cfg: cfg, conn: conn, incarnation: rand.Uint32(), sections: make(map[uint8]Section), senders: make(map[steering.VM]position)}
}

// Register adds a section. It must be called before Run, and once for each ID.
func (s *Service) Register(section Section) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, found := s.sections[section.ID]; found {
		panic("loadreport: section registered twice")
	}
	s.sections[section.ID] = section
}

// Run exchanges datagrams until ctx ends, and then closes the connection.
func (s *Service) Run(ctx context.Context) {
	if s.conn == nil {
		return
	}
	defer s.conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = s.conn.SetReadDeadline(time.Unix(1, 0)) }) // unblocks readLoop
	defer stop()
	var all sync.WaitGroup
	all.Go(func() { s.readLoop(ctx) })
	all.Go(func() { s.sendLoop(ctx) })
	all.Wait()
}

func (s *Service) sendLoop(ctx context.Context) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			s.Tick(ctx, now)
		}
	}
}

// Tick sends what is due. Run calls it once a second.
func (s *Service) Tick(ctx context.Context, now time.Time) {
	reported := 0
	if s.weights != nil {
		reported = s.weights.tick(ctx, now)
	}
	s.sendSections(now, max(bytesPerSecond-reported, bytesPerSecond/4))
}

// sendSections sends the registered sections to the VMs that callers are directed to, if they are due,
// within a budget of bytes per second.
func (s *Service) sendSections(now time.Time, budget int) {
	s.mu.Lock()
	sections, due := s.ids(), !now.Before(s.nextRound)
	s.mu.Unlock()
	if !due || len(sections) == 0 {
		return
	}
	byRegion := make(map[steering.Region][]sectionData)
	for _, region := range s.cfg.Regions {
		if data := fill(now, sections, region); len(data) > 0 {
			byRegion[region] = data
		}
	}
	if len(byRegion) == 0 {
		return
	}
	sent := 0
	for _, to := range s.receivers(now) {
		sent += s.send(to, byRegion[to.Region])
	}
	rounds := max(1, (sent+budget-1)/budget)
	s.mu.Lock()
	// Half an interval is left for the ticker to be early.
	s.nextRound = now.Add(time.Duration(rounds)*interval - interval/2)
	s.mu.Unlock()
}

// ids returns the registered sections in the order of their IDs. The caller holds s.mu.
func (s *Service) ids() []Section {
	all := make([]Section, 0, len(s.sections))
	for _, section := range s.sections {
		all = append(all, section)
	}
	slices.SortFunc(all, func(a, b Section) int { return int(a.ID) - int(b.ID) })
	return all
}

func fill(now time.Time, sections []Section, to steering.Region) []sectionData {
	var all []sectionData
	for _, section := range sections {
		if section.Fill == nil {
			continue // sent by this package itself, or only received
		}
		if data := section.Fill(now, to); len(data) > 0 {
			all = append(all, sectionData{ID: section.ID, Data: data})
		}
	}
	return all
}

// receivers returns the other VMs that callers are directed to, at most maxReceivers. If there are
// more, those of this VM's region come first.
func (s *Service) receivers(now time.Time) []Peer {
	named := slices.Clone(s.currentPeers(now).Named)
	named = slices.DeleteFunc(named, func(p Peer) bool { return p.Name == s.cfg.Self })
	slices.SortStableFunc(named, func(a, b Peer) int {
		return boolOrder(a.Region != s.cfg.Region) - boolOrder(b.Region != s.cfg.Region)
	})
	return named[:min(len(named), maxReceivers)]
}

func boolOrder(set bool) int {
	if set {
		return 1
	}
	return 0
}

// currentPeers returns the entry VMs as of at most a second ago.
func (s *Service) currentPeers(now time.Time) Peers {
	s.mu.Lock()
	known, at := s.peers, s.peersAt
	s.mu.Unlock()
	if !at.IsZero() && now.Sub(at) < interval-interval/10 { // the ticker may be early
		return known
	}
	peers := s.cfg.Peers()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers, s.peersAt = peers, now
	live := make(map[steering.VM]bool, len(peers.Live))
	for _, p := range peers.Live {
		live[p.Name] = true
	}
	for name := range s.senders {
		if !live[name] {
			delete(s.senders, name)
		}
	}
	return peers
}

// send sends sections in as many datagrams as they need, and returns the bytes sent with the headers
// of the packets. A section that is too large for a datagram of its own is dropped.
func (s *Service) send(to Peer, sections []sectionData) (bytes int) {
	var part []sectionData
	size := 0
	for _, section := range sections {
		if len(section.Data) > maxDatagramBytes-envelopeBytes {
			s.drop("too_large")
			continue
		}
		if size+len(section.Data) > maxDatagramBytes-envelopeBytes {
			bytes += s.sendDatagram(to, part)
			part, size = nil, 0
		}
		part, size = append(part, section), size+len(section.Data)+sectionHeaderBytes
	}
	if len(part) > 0 {
		bytes += s.sendDatagram(to, part)
	}
	return bytes
}

const (
	// envelopeBytes is an upper bound of a datagram without its sections, with a name of 64 bytes.
	envelopeBytes = 96
	// sectionHeaderBytes is an upper bound of the encoding of a section without its data.
	sectionHeaderBytes = 6
)

func (s *Service) sendDatagram(to Peer, sections []sectionData) int {
	address, err := netip.ParseAddrPort(to.Address)
	if err != nil || s.conn == nil {
		s.drop("no_address")
		return 0
	}
	s.mu.Lock()
	s.number++
	d := datagram{From: s.cfg.Self, Incarnation: s.incarnation, Number: s.number, Sections: sections}
	s.mu.Unlock()
	raw, err := encode(d)
	if err != nil {
		_ = s.cfg.Log.Log("msg", "cannot encode load report", "err", err) // the log writer counts dropped lines
		return 0
	}
	// A datagram that cannot be sent is treated as lost, which the next report makes up for.
	_, _ = s.conn.WriteTo(raw, net.UDPAddrFromAddrPort(address))
	s.cfg.Scope.Counter("gateway_load_reports_sent").Inc(1)
	if s.cfg.OnSend != nil {
		s.cfg.OnSend(to.Name, len(raw))
	}
	return len(raw) + packetHeaderBytes
}

// drop counts something that was not sent or not applied, by reason.
func (s *Service) drop(reason string) {
	s.cfg.Scope.Tagged(map[string]string{"reason": reason}).Counter("gateway_load_reports_dropped").Inc(1)
}

func (s *Service) readLoop(ctx context.Context) {
	buffer := make([]byte, receiveBufferBytes)
	for ctx.Err() == nil {
		n, _, err := s.conn.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			s.Receive(time.Now(), buffer[:n])
		}
	}
}

// Receive applies a datagram. Run calls it for each that arrives.
func (s *Service) Receive(now time.Time, raw []byte) {
	d, err := decode(raw)
	switch {
	case errors.Is(err, errVersion):
		s.drop("version")
		return
	case err != nil:
		s.drop("malformed")
		return
	}
	if !s.isLive(now, d.From) {
		s.drop("unknown_sender")
		return
	}
	if !s.accept(d) {
		s.drop("outdated")
		return
	}
	s.cfg.Scope.Counter("gateway_load_reports_received").Inc(1)
	for _, section := range d.Sections {
		s.mu.Lock()
		known, found := s.sections[section.ID]
		s.mu.Unlock()
		if found && known.Apply != nil {
			known.Apply(now, d.From, section.Data)
		}
	}
}

// isLive reports whether a VM is another live one. Others are not heard, which bounds what this VM
// keeps about senders.
func (s *Service) isLive(now time.Time, name steering.VM) bool {
	return name != s.cfg.Self && slices.ContainsFunc(s.currentPeers(now).Live, func(p Peer) bool { return p.Name == name })
}

// accept reports whether a datagram is newer than the last one of its sender, and records it.
func (s *Service) accept(d datagram) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	last, known := s.senders[d.From]
	if known && last.incarnation == d.Incarnation && d.Number <= last.number {
		return false
	}
	s.senders[d.From] = position{d.Incarnation, d.Number}
	return true
}
