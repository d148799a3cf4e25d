package loadreport

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"heatherlock/steering"
	"heatherlock/steering/balance"
)

// sendWeights sends the weights if they have changed or were not sent for weightRefresh, as often as the
// budget allows.
func (w *weights) sendWeights(now time.Time, receivers []Peer, term balance.Term, weights map[uint32]float64) {
	if now.Before(w.nextSend) || !w.dirty && now.Sub(w.sentAt) < weightRefresh-interval/2 || now.Sub(w.lastBelow) > balance.WeightTTL {
		return
	}
	var sections []sectionData
	for _, m := range split(term, weights, maxWeightEntries) {
		raw, err := encodeWeights(w.service.cfg.Region, m)
		if err != nil {
			_ = w.service.cfg.Log.Log("msg", "cannot encode weights", "err", err) // the log writer counts dropped lines
			return
		}
		sections = append(sections, sectionData{ID: sectionWeights, Data: raw})
	}
	sent := 0
	for _, to := range receivers {
		sent += w.service.send(to, sections)
	}
	w.dirty, w.sentAt = false, now
	rounds := max(1, (sent+weightBytesPerSecond-1)/weightBytesPerSecond)
	w.nextSend = now.Add(time.Duration(rounds)*interval - interval/2) // the ticker may be early
}

// entriesFor returns how many weights can be sent to a number of receivers in maxWeightInterval. The balancer
// uses no others itself, or its keys would run cold.
func (w *weights) entriesFor(receivers int) int {
	room := int(weightBytesPerSecond*maxWeightInterval.Seconds()) / max(receivers, 1)
	room -= weightsEnvelopeBytes + len(w.service.cfg.Self) + len(w.service.cfg.Region)
	return max(1, room/weightEntryBytes)
}

// lowest leaves the n lowest weights.
func lowest(weights map[uint32]float64, n int) {
	if len(weights) <= n {
		return
	}
	hashes := slices.SortedFunc(maps.Keys(weights), func(a, b uint32) int {
		return cmp.Or(cmp.Compare(weights[a], weights[b]), cmp.Compare(a, b))
	})
	for _, hash := range hashes[n:] {
		delete(weights, hash)
	}
}

// receivers returns the VMs that get the weights: those that reported, and those that callers are directed
// to.
func (w *weights) receivers(now time.Time, peers Peers) []Peer {
	maps.DeleteFunc(w.reporters, func(_ steering.VM, at time.Time) bool { return now.Sub(at) > balance.WeightTTL })
	var receivers []Peer
	for _, p := range peers.Live {
		if _, reports := w.reporters[p.Name]; reports && p.Name != w.service.cfg.Self {
			receivers = append(receivers, p)
		}
	}
	for _, p := range peers.Named {
		if _, reports := w.reporters[p.Name]; !reports && p.Name != w.service.cfg.Self {
			receivers = append(receivers, p)
		}
	}
	return receivers
}
