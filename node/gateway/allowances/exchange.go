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
	// maxDatagramBytes is the size of the receive buffer.
	maxDatagramBytes = 64 << 10
	// maxReportsPerDatagram bounds the reports in one datagram, so that it fits into one packet.
	maxReportsPerDatagram = 40
)

// datagram carries reports on the use of credits to an owner, or its replies. A datagram with
// reports names its sender. Replies are sent to the address from which the reports came.
type datagram struct {
	_           struct{} `cbor:",toarray"`
	From        steering.VM
	Incarnation uint32
	Reports     []allowance.Report
	Replies     []allowance.Reply
}

// reportLoop sends due reports periodically until ctx ends.
func (s *Service) reportLoop(ctx context.Context) {
	ticker := time.NewTicker(reportCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.sendDueReports(time.Now())
		}
	}
}

// sendDueReports sends all reports that are due, batched by owner.
func (s *Service) sendDueReports(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	byOwner := make(map[steering.VM][]allowance.Report)
	for id, a := range s.accounts {
		if a.Idle(now) {
			delete(s.accounts, id)
			continue
		}
		if !a.ReportDue(now) {
			continue
		}
		if report, to, ok := s.prepareReport(now, a); ok {
			byOwner[to] = append(byOwner[to], report)
		}
	}
	for owner, reports := range byOwner {
		for from := 0; from < len(reports); from += maxReportsPerDatagram {
			s.send(s.peers[owner], datagram{From: s.cfg.Self, Incarnation: s.incarnation, Reports: reports[from:min(from+maxReportsPerDatagram, len(reports))]})
		}
	}
}

// report sends the report on one workspace to its owner if it is due.
func (s *Service) report(now time.Time, a *account) {
	if !a.ReportDue(now) {
		return
	}
	if report, to, ok := s.prepareReport(now, a); ok {
		s.send(s.peers[to], datagram{From: s.cfg.Self, Incarnation: s.incarnation, Reports: []allowance.Report{report}})
	}
}

// prepareReport returns the report on a workspace and the owner to which it must be sent. ok is
// false if there is nothing to send: a report to this VM itself is handled directly, and without a
// known owner nothing can be sent.
func (s *Service) prepareReport(now time.Time, a *account) (report allowance.Report, to steering.VM, ok bool) {
	if a.ownerVersion != s.fleetVersion {
		owner, _ := allowance.OwnerOf(a.id, s.live) // without any live VM the report is not sent
		if owner != a.owner {
			a.OwnerChanged()
		}
		a.owner, a.ownerVersion = owner, s.fleetVersion
	}
	report = a.Report(now)
	report.Workspace = a.id
	if a.owner == s.cfg.Self {
		if reply, known := s.handleReport(now, s.cfg.Self, s.incarnation, report); known {
			s.applyReply(now, reply)
		}
		return report, "", false
	}
	return report, a.owner, s.peers[a.owner].address != nil
}

// handleReport processes a report on a workspace, and returns the reply. This VM acts as the owner
// of every workspace that it receives reports on, since the sender may see other live VMs than this
// VM does and thus determine another owner. There is no reply for a workspace that is unknown or
// unlimited here, or to a report that is not newer than the last one from its sender.
func (s *Service) handleReport(now time.Time, from steering.VM, incarnation uint32, r allowance.Report) (allowance.Reply, bool) {
	w := s.byID[r.Workspace]
	if w == nil {
		return allowance.Reply{}, false
	}
	reply, becameLow, ok := s.ledger.Report(now, from, incarnation, limitOf(w), r)
	if becameLow && s.cfg.OnLowBucket != nil {
		s.lowUntil[r.Workspace] = now.Add(allowance.LowBucketTTL)
		_ = s.cfg.Log.Log("msg", "allowance nearly used up", "workspace", w.Name, "rate", w.Rate) // the log writer counts dropped lines
		go s.cfg.OnLowBucket()
	}
	return reply, ok
}

// applyReply applies an owner's reply to the account, and wakes the requests that wait for it.
func (s *Service) applyReply(now time.Time, r allowance.Reply) {
	if a := s.accounts[r.Workspace]; a != nil {
		a.ApplyReply(now, r)
		a.notifyWaiters()
	}
}

// readLoop receives datagrams until ctx ends.
func (s *Service) readLoop(ctx context.Context) {
	buffer := make([]byte, maxDatagramBytes)
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
		s.handleDatagram(time.Now(), d, sender)
	}
}

func (s *Service) handleDatagram(now time.Time, d datagram, sender net.Addr) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, reply := range d.Replies {
		s.applyReply(now, reply)
	}
	var replies []allowance.Reply
	for _, report := range d.Reports {
		if reply, known := s.handleReport(now, d.From, d.Incarnation, report); known {
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
		_ = s.cfg.Log.Log("msg", "cannot encode allowance datagram", "err", err) // the log writer counts dropped lines
		return
	}
	if s.cfg.OnSend != nil {
		s.cfg.OnSend(to.name, len(raw))
	}
	// A datagram that cannot be sent is treated as lost, which the next report makes up for.
	_, _ = s.conn.WriteTo(raw, to.address)
}
