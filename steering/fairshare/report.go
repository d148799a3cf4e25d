package fairshare

import (
	"cmp"
	"encoding/binary"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"heatherlock/steering"
)

const (
	reportVersion = 1
	// reportHeaderBytes holds the version, the incarnation and the number of the report.
	reportHeaderBytes = 1 + 4 + 4
	// groupHeaderBytes holds service, rank, age of the last shortage, rate of responses, rate and number
	// of the workspaces that are not listed, and the number of those that are.
	groupHeaderBytes = 8 + 1 + 1 + 4 + 4 + 2 + 1
	// demandBytes holds the ID of a workspace and its demand.
	demandBytes = 8 + 4
	// maxReported is how many workspaces of a service a report lists, over all ranks.
	maxReported = 32
	// maxReportBytes keeps a report within one datagram. Services that do not fit are in the next ones.
	maxReportBytes = 1150
	// maxRate is the highest rate that a report may hold; nothing reaches it but a corrupt report.
	maxRate = 1e6
	// maxPeers bounds the VMs whose reports are kept, and so the time that a division takes.
	maxPeers = 256
	// peerTTL is how long a report counts. Older ones would show the demand before a flood.
	peerTTL = 3 * time.Second
	// reportFor is how long after its last shortage a service is reported.
	reportFor = 5 * time.Second
	// shortAgeUnit is the unit in which the time since the last shortage is reported; notShort means
	// that it is longer ago than can be told.
	shortAgeUnit = 10 * time.Millisecond
	notShort     = 255
)

// ErrReport is the kind of errors about reports that cannot be read.
var ErrReport = errors.New("fairshare: unreadable report, ignored; check that entry VMs run the same build")

// peer is what another VM reported.
type peer struct {
	incarnation uint32
	number      uint32
	at          time.Time
	groups      map[groupKey]*peerGroup
}

// peerGroup is what another VM reported of one rank of a service.
type peerGroup struct {
	key       groupKey
	at        time.Time // when it was received
	shortAt   time.Time
	served    float64
	restRate  float64
	restCount int
	demands   []Demand
}

func (r *peerGroup) fresh(now time.Time) bool { return now.Sub(r.at) < peerTTL }

// Report returns the rates of the services that were short lately, on this VM or on one that reported.
// It returns nil if there are none.
func (d *Divider) Report(now time.Time) []byte {
	services := d.reportedServices(now)
	if len(services) == 0 {
		return nil
	}
	d.number++
	report := binary.BigEndian.AppendUint32([]byte{reportVersion}, d.incarnation)
	report = binary.BigEndian.AppendUint32(report, d.number)
	for i := range services {
		service := services[(int(d.number)+i)%len(services)] // all get their turn if they do not fit
		part := d.appendService(nil, now, service)
		if len(report)+len(part) <= maxReportBytes {
			report = append(report, part...)
		}
	}
	return report
}

// reportedServices returns the services that were short lately, sorted.
func (d *Divider) reportedServices(now time.Time) []uint64 {
	short := make(map[uint64]bool)
	for key, g := range d.groups {
		if now.Sub(g.lastShort()) < reportFor {
			short[key.service] = true
		}
	}
	return slices.Sorted(maps.Keys(short))
}

// appendService appends the groups of a service. The listed workspaces are those with the highest demand
// over all ranks.
func (d *Divider) appendService(b []byte, now time.Time, service uint64) []byte {
	type row struct {
		rank uint8
		Demand
	}
	var all []row
	var ranks []uint8
	for key, g := range d.groups {
		if key.service != service {
			continue
		}
		ranks = append(ranks, key.rank)
		for id, f := range g.flows {
			if rate := f.demand.value(now); rate >= negligible {
				all = append(all, row{key.rank, Demand{Workspace: id, Rate: rate}})
			}
		}
	}
	slices.Sort(ranks)
	slices.SortFunc(all, func(a, b row) int { return cmp.Or(cmp.Compare(b.Rate, a.Rate), cmp.Compare(a.Workspace, b.Workspace)) })
	for _, rank := range ranks {
		r := peerGroup{key: groupKey{service, rank}}
		for i, one := range all {
			switch {
			case one.rank != rank:
			case i < maxReported:
				r.demands = append(r.demands, one.Demand)
			default:
				r.restRate += one.Rate
				r.restCount++
			}
		}
		g := d.groups[r.key]
		r.served, r.shortAt = g.served.value(now), g.shortAt
		b = r.append(b, now)
	}
	return b
}

func (r *peerGroup) append(b []byte, now time.Time) []byte {
	age := notShort
	if d := max(now.Sub(r.shortAt), 0) / shortAgeUnit; d < notShort {
		age = int(d)
	}
	b = binary.BigEndian.AppendUint64(b, r.key.service)
	b = append(b, r.key.rank, byte(age))
	b = appendRate(appendRate(b, r.served), r.restRate)
	b = binary.BigEndian.AppendUint16(b, uint16(min(r.restCount, math.MaxUint16)))
	b = append(b, byte(len(r.demands)))
	for _, e := range r.demands {
		b = appendRate(binary.BigEndian.AppendUint64(b, uint64(e.Workspace)), e.Rate)
	}
	return b
}

func appendRate(b []byte, rate float64) []byte {
	return binary.BigEndian.AppendUint32(b, math.Float32bits(float32(min(rate, maxRate))))
}

// Merge takes in the report of another VM. A report that is older than the last one of the same process
// is ignored, one that cannot be read is an error; neither changes anything.
func (d *Divider) Merge(now time.Time, from steering.VM, data []byte) error {
	if len(data) < reportHeaderBytes || data[0] != reportVersion {
		return errors.Wrapf(ErrReport, "header of %d bytes from %s", len(data), from)
	}
	incarnation, number := binary.BigEndian.Uint32(data[1:]), binary.BigEndian.Uint32(data[5:])
	groups, err := readGroups(now, data[reportHeaderBytes:])
	if err != nil {
		return errors.Wrapf(err, "from %s", from)
	}
	d.dropExpired(now)
	p := d.peers[from]
	switch {
	case p == nil && len(d.peers) >= maxPeers:
		return nil
	case p == nil || p.incarnation != incarnation:
		p = &peer{incarnation: incarnation, groups: make(map[groupKey]*peerGroup)}
		d.peers[from] = p
	case int32(number-p.number) <= 0:
		return nil
	}
	p.number, p.at = number, now
	maps.DeleteFunc(p.groups, func(_ groupKey, r *peerGroup) bool { return !r.fresh(now) })
	for _, r := range groups {
		p.groups[r.key] = r
		if g := d.groups[r.key]; g != nil && r.shortAt.After(g.shortElsewhere) {
			g.shortElsewhere = r.shortAt
		}
	}
	return nil
}

// dropExpired drops the VMs whose reports no longer count, at most once in peerTTL.
func (d *Divider) dropExpired(now time.Time) {
	if now.Sub(d.prunedAt) < peerTTL {
		return
	}
	d.prunedAt = now
	maps.DeleteFunc(d.peers, func(_ steering.VM, p *peer) bool { return now.Sub(p.at) >= peerTTL })
}

func readGroups(now time.Time, data []byte) ([]*peerGroup, error) {
	var groups []*peerGroup
	for len(data) > 0 {
		if len(data) < groupHeaderBytes {
			return nil, errors.Wrap(ErrReport, "header of a service is cut off")
		}
		r := &peerGroup{key: groupKey{binary.BigEndian.Uint64(data), data[8]}, at: now, served: readRate(data[10:]),
			restRate: readRate(data[14:]), restCount: int(binary.BigEndian.Uint16(data[18:]))}
		if age := data[9]; age != notShort {
			r.shortAt = now.Add(-time.Duration(age) * shortAgeUnit)
		}
		count := int(data[20])
		data = data[groupHeaderBytes:]
		if count > maxReported || len(data) < count*demandBytes {
			return nil, errors.Wrapf(ErrReport, "%d workspaces in %d bytes", count, len(data))
		}
		valid := validRate(r.served) && validRate(r.restRate)
		for ; count > 0; count-- {
			e := Demand{Workspace: ID(binary.BigEndian.Uint64(data)), Rate: readRate(data[8:])}
			valid = valid && validRate(e.Rate)
			r.demands = append(r.demands, e)
			data = data[demandBytes:]
		}
		if !valid {
			return nil, errors.Wrap(ErrReport, "a rate is out of range")
		}
		groups = append(groups, r)
	}
	return groups, nil
}

func readRate(data []byte) float64 {
	return float64(math.Float32frombits(binary.BigEndian.Uint32(data)))
}

// validRate is false for a NaN as well.
func validRate(rate float64) bool { return rate >= 0 && rate <= maxRate }
