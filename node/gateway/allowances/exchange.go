package allowances

import (
	"context"
	"maps"
	"net"
	"slices"
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
//
// A datagram on the limits of targets is followed by a list of limitEntry. Reports on workspaces are
// never in it, since builds that know no such limits drop it.
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
	type batch struct {
		owner       steering.VM
		targets     bool
		incarnation uint32
	}
	batches := make(map[batch][]allowance.Report)
	s.dropIdleAccounts(now)
	for _, a := range s.accounts {
		if !a.ReportDue(now) {
			continue
		}
		if report, to, ok := s.prepareReport(now, a); ok {
			key := batch{to, a.target != nil, a.incarnation}
			batches[key] = append(batches[key], report)
		}
	}
	for b, reports := range batches {
		for chunk := range slices.Chunk(reports, maxReportsPerDatagram) {
			s.sendReports(now, s.peers[b.owner], b.incarnation, chunk, b.targets)
		}
	}
	s.forgetTargets(now)
	s.targetLedger.DropStale(now)
}

// dropIdleAccounts drops accounts that were not used for long. What replaces them later counts its reports and
// requests from the start, and therefore reports as another incarnation.
func (s *Service) dropIdleAccounts(now time.Time) {
	before := len(s.accounts)
	maps.DeleteFunc(s.accounts, func(_ allowance.ID, a *account) bool { return a.Idle(now) })
	if len(s.accounts) < before {
		s.incarnation++
	}
}

// report sends the report on one workspace to its owner if it is due.
func (s *Service) report(now time.Time, a *account) {
	if !a.ReportDue(now) {
		return
	}
	if report, to, ok := s.prepareReport(now, a); ok {
		s.sendReports(now, s.peers[to], a.incarnation, []allowance.Report{report}, a.target != nil)
	}
}

// sendReports sends reports of accounts of one incarnation that are all on workspaces, or with targets set all
// on targets.
func (s *Service) sendReports(now time.Time, to peer, incarnation uint32, reports []allowance.Report, targets bool) {
	d := datagram{From: s.cfg.Self, Incarnation: incarnation, Reports: reports}
	var limits []limitEntry
	if targets {
		for _, r := range reports {
			limits = append(limits, s.targets[r.Workspace].entry(now, r.Workspace))
		}
	}
	s.send(to, d, limits)
}

// prepareReport returns the report on a workspace and the owner to which it must be sent. ok is
// false if there is nothing to send: a report to this VM itself is handled directly, and without a
// known owner nothing can be sent.
func (s *Service) prepareReport(now time.Time, a *account) (report allowance.Report, to steering.VM, ok bool) {
	if a.ownerVersion != s.fleetVersion {
		owner, _ := allowance.OwnerOf(a.id, s.candidates(a)) // without any live VM the report is not sent
		if owner != a.owner {
			a.OwnerChanged(s.regions[owner] != s.regions[s.cfg.Self])
		}
		a.owner, a.ownerVersion = owner, s.fleetVersion
	}
	report = a.Report(now)
	report.Workspace = a.id
	if a.owner == s.cfg.Self {
		if reply, known := s.handleReport(now, s.cfg.Self, a.incarnation, report); known {
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
	if t := s.targets[r.Workspace]; t != nil {
		return s.handleTargetReport(now, from, incarnation, t, r)
	}
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
		d, limits, err := decode(buffer[:n])
		if err != nil {
			s.cfg.Scope.Counter("gateway_allowance_bad_datagrams").Inc(1)
			continue
		}
		s.handleDatagram(time.Now(), d, limits, sender)
	}
}

// decode returns a datagram and the limits of targets that follow it.
func decode(raw []byte) (d datagram, limits []limitEntry, err error) {
	rest, err := cbor.UnmarshalFirst(raw, &d)
	if err == nil && len(rest) > 0 {
		err = cbor.Unmarshal(rest, &limits)
	}
	return d, limits, err
}

func (s *Service) handleDatagram(now time.Time, d datagram, limits []limitEntry, sender net.Addr) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range limits {
		s.mergeLimit(now, l)
	}
	for _, reply := range d.Replies {
		s.applyReply(now, reply)
	}
	var replies []allowance.Reply
	var told []limitEntry
	for _, report := range d.Reports {
		if reply, known := s.handleReport(now, d.From, d.Incarnation, report); known {
			replies = append(replies, reply)
			if t := s.targets[report.Workspace]; t != nil {
				told = append(told, t.entry(now, report.Workspace))
			}
		}
	}
	if address, ok := sender.(*net.UDPAddr); ok && len(replies) > 0 {
		s.send(peer{d.From, address}, datagram{Replies: replies}, told)
	}
}

// send sends a datagram, followed by the limits of targets if there are any.
func (s *Service) send(to peer, d datagram, limits []limitEntry) {
	raw, err := cbor.Marshal(d)
	if err == nil && len(limits) > 0 {
		var entries []byte
		entries, err = cbor.Marshal(limits)
		raw = append(raw, entries...)
	}
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
