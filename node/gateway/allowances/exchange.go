package allowances

import (
	"context"
	"net"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"heatherlock/steering"
	"heatherlock/steering/allowance"
)

const (
	// largestDatagram bounds what is read at once.
	largestDatagram = 64 << 10
	// reportsAtOnce bounds the reports in one datagram, so that it fits in one packet.
	reportsAtOnce = 40
)

// datagram is what entry VMs tell each other of credits. A report names its sender; an
// answer goes to the address that the report came from.
type datagram struct {
	_           struct{} `cbor:",toarray"`
	From        steering.VM
	Incarnation uint32
	Reports     []allowance.Report
	Replies     []allowance.Reply
}

// reportOn reports what is due until ctx ends.
func (s *Service) reportOn(ctx context.Context) {
	ticker := time.NewTicker(reportTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.reportDue(time.Now())
		}
	}
}

// reportDue reports all that is due, in one datagram an owner.
func (s *Service) reportDue(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	byOwner := make(map[steering.VM][]allowance.Report)
	for id, a := range s.accounts {
		if a.Idle(now) {
			delete(s.accounts, id)
			continue
		}
		if !a.Due(now) {
			continue
		}
		if report, to, ok := s.prepare(now, a); ok {
			byOwner[to] = append(byOwner[to], report)
		}
	}
	for owner, reports := range byOwner {
		for from := 0; from < len(reports); from += reportsAtOnce {
			s.send(s.peers[owner], datagram{From: s.cfg.Self, Incarnation: s.incarnation, Reports: reports[from:min(from+reportsAtOnce, len(reports))]})
		}
	}
}

// report reports on one workspace if that is due.
func (s *Service) report(now time.Time, a *account) {
	if !a.Due(now) {
		return
	}
	if report, to, ok := s.prepare(now, a); ok {
		s.send(s.peers[to], datagram{From: s.cfg.Self, Incarnation: s.incarnation, Reports: []allowance.Report{report}})
	}
}

// prepare returns the report on a workspace and its owner. A report to this VM itself is
// answered at once, and ok is false.
func (s *Service) prepare(now time.Time, a *account) (report allowance.Report, to steering.VM, ok bool) {
	if a.view != s.views {
		owner, _ := allowance.OwnerOf(a.id, s.live) // without anybody to ask the report is not sent
		if owner != a.owner {
			a.NewOwner()
		}
		a.owner, a.view = owner, s.views
	}
	report = a.Report(now)
	report.Workspace = a.id
	if a.owner == s.cfg.Self {
		if reply, known := s.answer(now, s.cfg.Self, s.incarnation, report); known {
			s.take(now, reply)
		}
		return report, "", false
	}
	return report, a.owner, s.peers[a.owner].address != nil
}

// answer answers a report on a workspace that this VM owns. It owns what it is asked for:
// whoever asks hears others than this VM does. A workspace that is not known here or has no
// limit has no answer, nor has a report that came late.
func (s *Service) answer(now time.Time, from steering.VM, incarnation uint32, r allowance.Report) (allowance.Reply, bool) {
	w := s.byID[r.Workspace]
	if w == nil {
		return allowance.Reply{}, false
	}
	reply, news, ok := s.ledger.Report(now, from, incarnation, limitOf(w), r)
	if news && s.cfg.Low != nil {
		s.tight[r.Workspace] = now.Add(allowance.TightFor)
		_ = s.cfg.Log.Log("msg", "allowance nearly used up", "workspace", w.Name, "rate", w.Rate) // the writer counts what it drops
		go s.cfg.Low()
	}
	return reply, ok
}

// take takes in an owner's answer.
func (s *Service) take(now time.Time, r allowance.Reply) {
	if a := s.accounts[r.Workspace]; a != nil {
		a.Replied(now, r)
		a.wake()
	}
}

// read takes in datagrams until ctx ends.
func (s *Service) read(ctx context.Context) {
	buffer := make([]byte, largestDatagram)
	for ctx.Err() == nil {
		n, sender, err := s.conn.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		var d datagram
		if err := cbor.Unmarshal(buffer[:n], &d); err != nil {
			s.cfg.Scope.Counter("gateway_allowance_bad_datagrams").Inc(1)
			continue
		}
		s.heard(time.Now(), d, sender)
	}
}

func (s *Service) heard(now time.Time, d datagram, sender net.Addr) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, reply := range d.Replies {
		s.take(now, reply)
	}
	var replies []allowance.Reply
	for _, report := range d.Reports {
		if reply, known := s.answer(now, d.From, d.Incarnation, report); known {
			replies = append(replies, reply)
		}
	}
	if address, ok := sender.(*net.UDPAddr); ok && len(replies) > 0 {
		s.send(peer{d.From, address}, datagram{Replies: replies})
	}
}

func (s *Service) send(to peer, d datagram) {
	raw, err := cbor.Marshal(d)
	if err != nil {
		_ = s.cfg.Log.Log("msg", "report on allowances not encoded", "err", err) // the writer counts what it drops
		return
	}
	if s.cfg.Sent != nil {
		s.cfg.Sent(to.name, len(raw))
	}
	// A datagram that cannot be sent counts as lost: the next report makes it good.
	_, _ = s.conn.WriteTo(raw, to.address)
}
