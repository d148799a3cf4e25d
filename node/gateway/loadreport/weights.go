package loadreport

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"heatherlock/node/lock"
	"heatherlock/steering"
	"heatherlock/steering/balance"
	"heatherlock/steering/placement"
)

const (
	// maxLoadEntries is the number of targets of a region in a report, and spreadEntries that of those
	// among them that take turns. The others are the most loaded ones; without the rest the balancer would
	// overestimate the mean load.
	maxLoadEntries = 64
	spreadEntries  = 16
	// loadBytesPerSecond is what a VM sends of load reports, over all regions.
	loadBytesPerSecond = 600
	// weightBytesPerSecond is what the balancer sends of weights, over all receivers. With the reports, it
	// stays below 5,000 bytes per second.
	weightBytesPerSecond = 4000
	// weightRefresh is the interval at which unchanged weights are sent again.
	weightRefresh = 3 * time.Second
	// maxWeightInterval is the longest interval between two messages to a receiver; it is below
	// balance.WeightTTL. Weights that do not fit are left out, the highest first.
	maxWeightInterval = 8 * time.Second
	// weightsEnvelopeBytes is an upper bound of a datagram of weights without its entries and names.
	weightsEnvelopeBytes = packetHeaderBytes + 64
	// maxWeightEntries is the number of weights in a datagram.
	maxWeightEntries = (maxDatagramBytes - envelopeBytes - 48) / weightEntryBytes
	// maxLoggedChanges bounds the targets in one log line.
	maxLoggedChanges = 8
	// viewSettle is how long a VM must be the first of its region before it reads the store. A VM that
	// starts sees only itself for a moment.
	viewSettle = 2 * time.Second
)

// WeightsConfig holds what the exchange of weights needs of the placement of requests.
type WeightsConfig struct {
	// Samples returns the loads since the last call, the most loaded target first; none where no service
	// uses weights.
	Samples func(now time.Time) []placement.LoadSample
	// Targets returns the targets of a region.
	Targets func(now time.Time, region steering.Region) []placement.TargetWeight
	// SetWeights puts weights in force.
	SetWeights func(map[steering.Target]float64)
	// Store keeps the weights of a region; nil keeps none.
	Store Store
}

// weights is the part of a Service that reports loads, and computes, sends and applies weights.
type weights struct {
	WeightsConfig
	service *Service

	mu        lock.Mutex
	region    *balance.Region
	holders   map[steering.Region]*balance.Holder
	balancers map[steering.Region]steering.VM
	// heard holds the loads reported by other VMs since the last tick, and reporters when each VM
	// reported last.
	heard      []loadEntry
	reporters  map[steering.VM]time.Time
	reportedAt time.Time // by any VM
	firstSince time.Time // this VM is the first of its region
	number     uint32
	dirty      bool      // changed since it was sent
	lastBelow  time.Time // a weight was below 1
	sentAt     time.Time
	nextSend   time.Time
	turn       int // of the targets that take turns in reports
	inForce    map[steering.Target]float64
	// applied holds the levels of each region that are in force, and namedAt when their targets were looked up.
	applied map[steering.Region]map[uint32]float64
	namedAt time.Time
	saver   saver
}

// UseWeights makes the service exchange loads and weights. It must be called before Run.
func (s *Service) UseWeights(cfg WeightsConfig) {
	s.weights = &weights{WeightsConfig: cfg, service: s, region: balance.NewRegion(), holders: make(map[steering.Region]*balance.Holder),
		balancers: make(map[steering.Region]steering.VM), reporters: make(map[steering.VM]time.Time), saver: saver{store: cfg.Store}}
	s.Register(Section{ID: sectionLoads, Apply: s.weights.hearLoads})
	s.Register(Section{ID: sectionWeights, Apply: s.weights.hearWeights})
}

// hearLoads keeps what another VM reports for the next tick.
func (w *weights) hearLoads(now time.Time, from steering.VM, data []byte) {
	entries, err := decodeLoads(data)
	if err != nil {
		w.service.drop("malformed")
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reporters[from], w.reportedAt = now, now
	if len(w.heard) < maxHeard {
		w.heard = append(w.heard, entries...)
	}
}

// maxHeard bounds the loads that wait for the next tick: more than 986 VMs report in a second.
const maxHeard = 1000 * maxLoadEntries

// hearWeights applies the weights of a balancer. They are put in force at the next tick.
func (w *weights) hearWeights(now time.Time, from steering.VM, data []byte) {
	region, m, err := decodeWeights(data)
	if err != nil {
		w.service.drop("malformed")
		return
	}
	peers := w.service.currentPeers(now)
	w.mu.Lock()
	defer w.mu.Unlock()
	balancer, _ := balance.BalancerOf(region, candidates(peers.Live))
	if !w.holder(region).Apply(now, from, balancer, m) {
		w.service.drop("not_newest_weights")
	}
}

func candidates(live []Peer) []balance.Candidate {
	all := make([]balance.Candidate, 0, len(live))
	for _, p := range live {
		all = append(all, balance.Candidate{VM: p.Name, Region: p.Region})
	}
	return all
}

// holder returns the weights of a region. Only regions of the configuration are kept.
func (w *weights) holder(region steering.Region) *balance.Holder {
	h := w.holders[region]
	if h == nil {
		h = balance.NewHolder()
		if slices.Contains(w.service.cfg.Regions, region) {
			w.holders[region] = h
		}
	}
	return h
}

// tick reports loads, moves and sends the weights of this VM's region if it is the balancer, and puts the
// weights of all regions in force. It returns the bytes of the reports. Where no service uses weights, it
// returns at once.
func (w *weights) tick(ctx context.Context, now time.Time) (bytes int) {
	samples := w.Samples(now)
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(samples) == 0 && w.idle(now) {
		return 0
	}
	peers := w.service.currentPeers(now)
	w.elect(now, peers)
	bytes = w.reportLoads(now, peers, samples)
	w.balance(ctx, now, peers)
	w.putInForce(now)
	return bytes
}

// idle reports whether there are no weights and nothing from which to compute any.
func (w *weights) idle(now time.Time) bool {
	for _, h := range w.holders {
		if !h.Empty() {
			return false
		}
	}
	if len(w.heard) > 0 || len(w.inForce) > 0 || now.Sub(w.reportedAt) <= balance.WeightTTL || now.Sub(w.lastBelow) <= balance.WeightTTL {
		return false
	}
	w.region.Stop()
	w.firstSince = time.Time{}
	clear(w.balancers)
	return true
}

// elect determines the balancer of each region.
func (w *weights) elect(now time.Time, peers Peers) {
	live := candidates(peers.Live)
	for _, region := range w.service.cfg.Regions {
		vm, _ := balance.BalancerOf(region, live)
		before := w.balancers[region]
		if vm == before {
			continue
		}
		w.balancers[region] = vm
		_ = w.service.cfg.Log.Log("msg", "balancer changed", "region", region, "balancer", vm, "before", before) // the log writer counts dropped lines
		w.service.cfg.Scope.Tagged(map[string]string{"region": string(region)}).Counter("gateway_balancer_changes").Inc(1)
	}
	if w.balancers[w.service.cfg.Region] != w.service.cfg.Self {
		w.firstSince = time.Time{}
		w.region.Stop()
	} else if w.firstSince.IsZero() {
		w.firstSince = now
	}
}

// reportLoads sends the loads of each region's targets to its balancer.
func (w *weights) reportLoads(now time.Time, peers Peers, samples []placement.LoadSample) (bytes int) {
	byRegion := make(map[steering.Region][]placement.LoadSample)
	for _, s := range samples {
		byRegion[s.Region] = append(byRegion[s.Region], s)
	}
	w.turn++
	entries := maxLoadEntries
	if len(byRegion) > 0 {
		entries = min(entries, (loadBytesPerSecond/len(byRegion)-packetHeaderBytes-envelopeBytes)/loadEntryBytes)
	}
	for region, all := range byRegion {
		to := w.balancers[region]
		if to == w.service.cfg.Self {
			w.reportedAt = now
			for _, s := range all {
				w.region.Report(now, balance.Report{Target: s.Target, Mean: s.Mean, Responses: s.Responses})
			}
			continue
		}
		at := slices.IndexFunc(peers.Live, func(p Peer) bool { return p.Name == to })
		if at < 0 || entries <= 0 {
			continue
		}
		raw, err := encodeLoads(selectLoads(all, entries, w.turn))
		if err != nil {
			_ = w.service.cfg.Log.Log("msg", "cannot encode loads", "err", err) // the log writer counts dropped lines
			continue
		}
		bytes += w.service.send(peers.Live[at], []sectionData{{ID: sectionLoads, Data: raw}})
	}
	return bytes
}

// selectLoads returns the entries of a report: the most loaded targets, and some of the others in turn.
func selectLoads(samples []placement.LoadSample, entries, turn int) []loadEntry {
	chosen := samples
	if len(samples) > entries {
		spread := min(spreadEntries, entries/4)
		top, rest := samples[:entries-spread], slices.Clone(samples[entries-spread:])
		slices.SortFunc(rest, func(a, b placement.LoadSample) int { return cmp.Compare(hashOf(a.Target), hashOf(b.Target)) })
		chosen = slices.Clone(top)
		for n := range spread {
			chosen = append(chosen, rest[(turn*spread+n)%len(rest)])
		}
	}
	result := make([]loadEntry, 0, len(chosen))
	for _, s := range chosen {
		result = append(result, loadEntry{hashOf(s.Target), s.Mean, s.Responses})
	}
	return result
}

// byHash returns the targets of a region by their hashes. Targets with the same hash are left out.
func (w *weights) byHash(now time.Time, region steering.Region) map[uint32]placement.TargetWeight {
	targets := w.Targets(now, region)
	found, twice := make(map[uint32]placement.TargetWeight, len(targets)), make(map[uint32]bool)
	for _, t := range targets {
		hash := hashOf(t.Name)
		if _, known := found[hash]; known {
			twice[hash] = true
		}
		found[hash] = t
	}
	for hash := range twice {
		delete(found, hash)
	}
	return found
}

// balance moves the weights of this VM's region and sends them, if this VM is the balancer.
func (w *weights) balance(ctx context.Context, now time.Time, peers Peers) {
	region := w.service.cfg.Region
	if w.firstSince.IsZero() {
		if len(w.heard) > 0 {
			w.service.drop("not_balancer")
		}
		w.heard = w.heard[:0]
		return
	}
	targets := w.byHash(now, region)
	for _, e := range w.heard {
		if t, known := targets[e.hash]; known {
			w.region.Report(now, balance.Report{Target: t.Name, Mean: e.mean, Responses: e.responses})
		}
	}
	w.heard = w.heard[:0]
	if !w.start(ctx, now) {
		w.region.Step(now, known(targets)) // forgets targets that are gone
		return
	}
	if changes := w.region.Step(now, known(targets)); len(changes) > 0 {
		w.number++
		w.dirty = true
		w.logChanges(changes)
	}
	weights := make(map[uint32]float64)
	for name, weight := range w.region.Weights() {
		weights[hashOf(name)] = weight
	}
	if len(weights) > 0 {
		w.lastBelow = now
	}
	receivers := w.receivers(now, peers)
	lowest(weights, w.entriesFor(len(receivers)))
	term := balance.Term{Start: w.region.Since().UnixMilli(), Number: w.number}
	self := w.service.cfg.Self
	w.holder(region).Apply(now, self, self, balance.Message{Term: term, Last: maxHash, Levels: weights})
	w.sendWeights(now, receivers, term, weights)
	w.saver.save(ctx, now, w.service, Saved{By: self, Term: term, At: now, Weights: w.region.Weights()})
}

func known(targets map[uint32]placement.TargetWeight) []balance.Target {
	all := make([]balance.Target, 0, len(targets))
	for _, t := range targets {
		all = append(all, balance.Target{Name: t.Name, Service: t.Service, Slots: t.Slots, Fixed: !t.Steady})
	}
	return all
}

// start makes this VM the balancer if it is not yet, with the weights that it holds, or else those in the
// store. It reports whether it is the balancer.
func (w *weights) start(ctx context.Context, now time.Time) bool {
	if w.region.Active() {
		return true
	}
	region := w.service.cfg.Region
	held := w.names(now, region)
	if len(held) == 0 && w.Store != nil {
		if now.Sub(w.firstSince) < viewSettle {
			return false
		}
		saved, done := w.saver.load(ctx, now, w.service)
		if !done {
			return false
		}
		held = saved
	}
	w.region.Start(now, held)
	w.number, w.dirty, w.lastBelow = 0, true, now
	return true
}

// names returns the weights of a region that are in force on this VM.
func (w *weights) names(now time.Time, region steering.Region) map[steering.Target]float64 {
	h := w.holders[region]
	if h == nil || h.Empty() {
		return nil
	}
	levels, targets := h.Levels(now), w.byHash(now, region)
	named := make(map[steering.Target]float64, len(levels))
	for hash, level := range levels {
		if t, known := targets[hash]; known {
			named[t.Name] = level
		}
	}
	return named
}

// namesInterval is the interval at which unchanged weights are put in force anew, for targets that were not
// known before. Looking up the targets of all regions each second would hold up requests.
const namesInterval = 5 * time.Second

// putInForce puts the weights of all regions in force if they have changed.
func (w *weights) putInForce(now time.Time) {
	levels := make(map[steering.Region]map[uint32]float64)
	for region, h := range w.holders {
		if of := h.Levels(now); len(of) > 0 {
			levels[region] = maps.Clone(of)
		}
	}
	same := maps.EqualFunc(levels, w.applied, func(a, b map[uint32]float64) bool { return maps.Equal(a, b) })
	if same && (len(levels) == 0 || now.Sub(w.namedAt) < namesInterval) {
		return
	}
	w.applied, w.namedAt = levels, now
	all := make(map[steering.Target]float64)
	for region := range w.holders {
		maps.Copy(all, w.names(now, region))
	}
	if !maps.Equal(all, w.inForce) {
		w.inForce = all
		w.SetWeights(all)
	}
}
