package runtimes

import (
	"bytes"
	"math"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"heatherlock/steering"
)

const (
	// MaxReportBytes bounds a report. It holds about 11 classes with names of 8 letters.
	MaxReportBytes = 400
	reportVersion  = 1
	// reportHead is the size of a report without classes: version, array, time, array.
	reportHead = 1 + 1 + 9 + 2
	// maxReportedWeight bounds the weight of one VM's samples, so that a busy VM does not outweigh all
	// others.
	maxReportedWeight = 200
	// peersTTL is how long what other VMs reported is used.
	peersTTL = 30 * time.Second
	// maxReporters bounds the VMs whose newest report is remembered. All VMs of a deployment fit.
	maxReporters = 1024
	// clockStep is how far the clock of a VM may be set back before its reports are taken for old ones.
	clockStep = 30 * time.Second
	// unitsPerSecond is the resolution of reported times.
	unitsPerSecond = 10000
)

// ErrUnreadable reports a report that is cut, corrupt or of another version.
var ErrUnreadable = errors.New("report of run times cannot be read; it was dropped")

// ErrOld reports a report that is not newer than one that was merged.
var ErrOld = errors.New("report of run times is older than the last one of its VM; it was dropped")

// reported holds the times of a class in units of 100 µs. Cold times are 0 if unknown.
type reported struct {
	_                   struct{} `cbor:",toarray"`
	Service             string
	Route               string
	WarmWeight          uint16
	WarmMedian, WarmP90 uint32
	ColdWeight          uint16
	ColdMedian, ColdP90 uint32
}

type report struct {
	_       struct{} `cbor:",toarray"`
	At      int64    // Unix time, ms
	Classes []cbor.RawMessage
}

// Report returns the VM's own samples for other VMs, the most used classes first, or nil if there are
// none of the last 30 s. It holds nothing that others reported, so that no sample counts twice.
func (m *Model) Report(now time.Time) []byte {
	type entry struct {
		name   Class
		weight float64
	}
	var entries []entry
	for name, c := range m.classes {
		c.warm.age(now)
		c.cold.age(now)
		if c.warm.weight() >= fewestSamples && now.Sub(c.observedAt) <= peersTTL {
			entries = append(entries, entry{name, c.warm.weight() + c.cold.weight()})
		}
	}
	slices.SortFunc(entries, func(a, b entry) int {
		if a.weight != b.weight {
			return -int(math.Copysign(1, a.weight-b.weight))
		}
		return compareClasses(a.name, b.name)
	})
	r := report{At: now.UnixMilli()}
	size := reportHead
	for _, e := range entries {
		raw, err := cbor.Marshal(m.classes[e.name].reported(now, e.name))
		if err != nil || size+len(raw) > MaxReportBytes {
			continue // a class with a shorter name may fit
		}
		size += len(raw)
		r.Classes = append(r.Classes, raw)
	}
	if len(r.Classes) == 0 {
		return nil
	}
	raw, err := cbor.Marshal(r)
	if err != nil {
		return nil // not with these types
	}
	return append([]byte{reportVersion}, raw...)
}

func (c *class) reported(now time.Time, name Class) reported {
	r := reported{Service: string(name.Service), Route: name.Route}
	r.WarmWeight, r.WarmMedian, r.WarmP90 = c.warm.reported(now)
	r.ColdWeight, r.ColdMedian, r.ColdP90 = c.cold.reported(now)
	return r
}

func (d *distribution) reported(now time.Time) (weight uint16, median, p90 uint32) {
	if d.weight() < fewestSamples {
		return 0, 0, 0
	}
	t := d.own(now)
	units := func(seconds float64) uint32 { return uint32(math.Max(1, seconds*unitsPerSecond)) }
	return uint16(math.Min(d.weight(), maxReportedWeight)), units(t[atMedian]), units(t[atP90])
}

// Merge adds the report of another VM. A report that cannot be read changes nothing.
func (m *Model) Merge(now time.Time, from steering.VM, data []byte) error {
	at, classes, err := decode(data)
	if err == nil {
		err = m.checkNew(from, at)
	}
	if err != nil {
		m.dropped++
		return err
	}
	for _, r := range classes {
		c := m.class(now, Class{Service: steering.Service(r.Service), Route: r.Route})
		if c == nil {
			continue
		}
		c.warm.peers.add(now, r.WarmWeight, r.WarmMedian, r.WarmP90)
		c.cold.peers.add(now, r.ColdWeight, r.ColdMedian, r.ColdP90)
	}
	return nil
}

// Dropped returns how many reports were dropped.
func (m *Model) Dropped() int { return m.dropped }

// checkNew records the time of a report, and returns an error if the VM has sent a newer one.
func (m *Model) checkNew(from steering.VM, at int64) error {
	newest, known := m.newest[from]
	if known && at <= newest && newest-at < clockStep.Milliseconds() {
		return ErrOld
	}
	if !known && len(m.newest) >= maxReporters {
		clear(m.newest) // an old report may be merged twice, which its small weight allows
	}
	m.newest[from] = at
	return nil
}

func decode(data []byte) (at int64, classes []reported, err error) {
	if len(data) == 0 || len(data) > MaxReportBytes || data[0] != reportVersion {
		return 0, nil, ErrUnreadable
	}
	var r report
	decoder := cbor.NewDecoder(bytes.NewReader(data[1:]))
	if decoder.Decode(&r) != nil || decoder.NumBytesRead() != len(data)-1 || r.At <= 0 {
		return 0, nil, ErrUnreadable
	}
	for _, raw := range r.Classes {
		var c reported
		if cbor.Unmarshal(raw, &c) != nil || !valid(c.WarmWeight, c.WarmMedian, c.WarmP90) || !valid(c.ColdWeight, c.ColdMedian, c.ColdP90) {
			return 0, nil, ErrUnreadable
		}
		classes = append(classes, c)
	}
	return r.At, classes, nil
}

// valid reports whether reported times are possible ones.
func valid(weight uint16, median, p90 uint32) bool {
	if weight == 0 {
		return median == 0 && p90 == 0
	}
	return weight <= maxReportedWeight && median > 0 && p90 >= median && float64(p90) <= maxRun.Seconds()*unitsPerSecond
}

// peerTimes averages what other VMs reported of a distribution. The averages are those of logarithms.
type peerTimes struct {
	median, p90 float64
	weight      float64
	at          time.Time
}

// add adds a report; times are in units of 100 µs.
func (p *peerTimes) add(now time.Time, weight uint16, median, p90 uint32) {
	if weight == 0 {
		return
	}
	// Each VM reports once a second, and its earlier reports must lose weight as its samples do.
	p.weight *= math.Exp(-float64(max(now.Sub(p.at), 0)) / float64(ageStep))
	p.at = now
	p.weight += float64(weight)
	share := float64(weight) / p.weight
	p.median += share * (math.Log(float64(median)/unitsPerSecond) - p.median)
	p.p90 += share * (math.Log(float64(p90)/unitsPerSecond) - p.p90)
}

// times returns the averages in seconds; ok is false if there are none or they are too old.
func (p *peerTimes) times(now time.Time) (median, p90 float64, ok bool) {
	if p.weight < fewestSamples || now.Sub(p.at) > peersTTL {
		return 0, 0, false
	}
	return math.Exp(p.median), math.Exp(p.p90), true
}
