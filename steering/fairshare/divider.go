package fairshare

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"heatherlock/steering"
)

const (
	// shortFor is how long a service counts as short after a request was refused or shed.
	shortFor = time.Second
	// divideInterval is the pause between two divisions of the same service and rank.
	divideInterval = 100 * time.Millisecond
	// quietAfter is how long no request must have been refused or shed until the room grows, and growth
	// the factor by which it then grows at each division. Of many VMs, one often sees no refusal for a
	// fifth of a second although the service is full; a shorter pause or a larger factor would let the
	// flood through there.
	quietAfter = 500 * time.Millisecond
	growth     = 1.02
	// warmup is how long a rank of a service is observed before it is divided: responses come later than
	// requests, so that the room would be taken for too small at first.
	warmup = 2 * time.Second
	// minDepth and depthTime bound the requests that a workspace may send at once after a pause: a
	// workspace that stays below its share is not refused because some of its requests come together. With
	// 250 ms, a hundred requests in ten seconds of such workspaces were refused, with a second 13.
	minDepth  = 2
	depthTime = time.Second
	// demandDeviation times the root of a demand is one and a half times the standard deviation of its
	// exponential average, if requests come at random. At 0, 12 of 1,159 requests of workspaces far below
	// their share were refused in the load test with 195 VMs of one request a second each; so, none.
	demandDeviation = 1.06
	// negligible is a demand in requests per second that does not count as that of a workspace.
	negligible = 0.02
	// minRetryAfter and maxRetryAfter bound Retry-After; the same as for allowances.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// goldenRatio spreads a sequence evenly over an interval, however long the sequence is.
	goldenRatio = 0.6180339887498949
	// maxRank is the highest rank that is told apart.
	maxRank = 255
)

// ID is a hash of a workspace's name. It stands for the name in reports.
type ID uint64

// IDOf returns the ID of a workspace.
func IDOf(workspace steering.Workspace) ID { return ID(xxhash.Sum64String(string(workspace))) }

// Request is what counts of a request in the division.
type Request struct {
	Service   steering.Service
	Workspace steering.Workspace
	// Rank is the priority of the request, 0 being the most urgent.
	Rank int
}

// Divider divides the services of one entry VM. It is not safe for concurrent use.
type Divider struct {
	incarnation uint32
	number      uint32 // of the last report

	weights       map[ID]float64
	defaultWeight float64
	groups        map[groupKey]*group
	services      map[uint64]steering.Service
	peers         map[steering.VM]*peer
	prunedAt      time.Time // when expired peers were last dropped
}

// groupKey identifies the requests of one rank to a service. The service is a hash of its name.
type groupKey struct {
	service uint64
	rank    uint8
}

func keyOf(service steering.Service, rank int) groupKey {
	return groupKey{xxhash.Sum64String(string(service)), uint8(min(max(rank, 0), maxRank))}
}

// group is the state of the requests of one rank to a service.
type group struct {
	key     groupKey
	since   time.Time // when the first request was recorded
	served  rate
	shortAt time.Time // of the last refusal or shedding on this VM
	// shortElsewhere is the same on the VMs that reported.
	shortElsewhere time.Time
	flows          map[ID]*flow
	dividedAt      time.Time
	boost          float64 // by which the room exceeds the rate of responses
	room           float64 // of the last division
	demand         float64 // over all workspaces, of the last division
}

// flow is the state of one workspace's requests in a group.
type flow struct {
	workspace steering.Workspace
	demand    rate
	ratio     float64 // of requests that the share admits
	tokens    float64
	nextRetry time.Time // earliest retry for the next refused request
	refused   int64
}

// NewDivider returns a divider that has observed nothing. incarnation tells the reports of this process
// from those of an earlier one of the same VM.
func NewDivider(incarnation uint32) *Divider {
	return &Divider{incarnation: incarnation, defaultWeight: 1, groups: make(map[groupKey]*group),
		services: make(map[uint64]steering.Service), peers: make(map[steering.VM]*peer)}
}

// SetWeights sets the weights of all workspaces, the rates of their allowances, and drops the state of
// others. A workspace with no weight gets the mean of the positive ones.
func (d *Divider) SetWeights(weights map[steering.Workspace]float64) {
	d.weights = make(map[ID]float64, len(weights))
	sum, count := 0.0, 0.0
	for name, w := range weights {
		d.weights[IDOf(name)] = w
		if w > 0 {
			sum, count = sum+w, count+1
		}
	}
	d.defaultWeight = 1
	if count > 0 {
		d.defaultWeight = sum / count
	}
	for _, g := range d.groups {
		for id := range g.flows {
			if _, known := d.weights[id]; !known {
				delete(g.flows, id)
			}
		}
	}
}

func (d *Divider) weightOf(id ID) float64 {
	if w := d.weights[id]; w > 0 {
		return w
	}
	return d.defaultWeight
}

func (d *Divider) group(now time.Time, service steering.Service, rank int) *group {
	key := keyOf(service, rank)
	g := d.groups[key]
	if g == nil {
		g = &group{key: key, since: now, flows: make(map[ID]*flow), boost: 1}
		d.groups[key] = g
		d.services[key.service] = service
	}
	return g
}

func (g *group) flow(workspace steering.Workspace) *flow {
	id := IDOf(workspace)
	f := g.flows[id]
	if f == nil {
		f = &flow{workspace: workspace, ratio: 1, tokens: minDepth}
		g.flows[id] = f
	}
	return f
}

// Record records the arrival of a request.
func (d *Divider) Record(now time.Time, r Request) {
	f := d.group(now, r.Service, r.Rank).flow(r.Workspace)
	arrived := f.demand.add(now)
	depth := math.Max(minDepth, f.rate(now)*depthTime.Seconds())
	f.tokens = math.Min(depth, f.tokens+f.ratio*arrived)
}

// rate returns the rate of requests that the share admits on this VM.
func (f *flow) rate(now time.Time) float64 { return f.ratio * f.demand.value(now) }

// RecordServed records a target's response to a request.
func (d *Divider) RecordServed(now time.Time, r Request) {
	d.group(now, r.Service, r.Rank).served.add(now)
}

// RecordShort records that a request was refused or shed because the service had no capacity for it.
func (d *Divider) RecordShort(now time.Time, service steering.Service, rank int) {
	d.group(now, service, rank).shortAt = now
}

// Admit decides on a request whose arrival was recorded. If it is refused, retryAfter is when the
// share of its workspace allows the next request.
func (d *Divider) Admit(now time.Time, r Request) (ok bool, retryAfter time.Duration) {
	g := d.group(now, r.Service, r.Rank)
	f := g.flow(r.Workspace)
	if !g.divided(now) {
		f.ratio = 1
		return true, 0
	}
	if now.Sub(g.dividedAt) >= divideInterval {
		d.divide(now, g)
	}
	if f.ratio >= 1 {
		return true, 0
	}
	if f.tokens >= 1 {
		f.tokens--
		return true, 0
	}
	f.refused++
	return false, f.retryAfter(now)
}

// divided reports whether a group is divided now.
func (g *group) divided(now time.Time) bool {
	return now.Sub(g.since) >= warmup && now.Sub(g.lastShort()) < shortFor
}

// retryAfter returns after which time the next refused request should return. Requests that are refused
// together get times that are as far apart as the share's requests.
func (f *flow) retryAfter(now time.Time) time.Duration {
	interval := maxRetryAfter
	if rate := f.rate(now); rate > 1/maxRetryAfter.Seconds() {
		interval = time.Duration(float64(time.Second) / rate)
	}
	at := now.Add(time.Duration((1 - f.tokens) * float64(interval)))
	if at.Before(f.nextRetry) {
		at = f.nextRetry
	}
	wait := at.Sub(now)
	if wait > maxRetryAfter {
		_, fraction := math.Modf(float64(f.refused) * goldenRatio)
		return maxRetryAfter/2 + time.Duration(fraction*float64(maxRetryAfter/2))
	}
	f.nextRetry = at.Add(interval)
	return max(wait, minRetryAfter)
}

// divide sets the ratios of the workspaces of a group from their shares.
func (d *Divider) divide(now time.Time, g *group) {
	if now.Sub(g.lastShort()) < quietAfter || now.Sub(g.dividedAt) >= shortFor {
		g.boost = 1
	} else {
		g.boost *= growth
	}
	g.dividedAt = now
	g.room = g.boost * d.servedRate(now, g.key)
	demands := d.demands(now, g)
	g.demand = 0
	for _, f := range g.flows {
		f.ratio = 1
	}
	for i, s := range Divide(g.room, demands) {
		g.demand += demands[i].Rate
		if f := g.flows[s.Workspace]; f != nil && demands[i].Rate > 0 {
			f.ratio = ratioOf(demands[i].Rate, s.Rate)
		}
	}
}

// ratioOf returns the ratio of requests that a share admits. A demand that exceeds the share by less than
// chance explains is admitted in full.
func ratioOf(demand, share float64) float64 {
	if demand-demandDeviation*math.Sqrt(demand) <= share {
		return 1
	}
	return share / demand
}

// servedRate returns the rate of responses to requests of the group's rank and less urgent ones, on this
// VM and on those that reported.
func (d *Divider) servedRate(now time.Time, key groupKey) float64 {
	sum := 0.0
	for _, g := range d.groups {
		if g.key.service == key.service && g.key.rank >= key.rank {
			sum += g.served.value(now)
		}
	}
	for _, p := range d.peers {
		for _, r := range p.groups {
			if r.key.service == key.service && r.key.rank >= key.rank && r.fresh(now) {
				sum += r.served
			}
		}
	}
	return sum
}

// demands returns the demands of a group's workspaces on this VM and on those that reported. The last
// one sums up the workspaces that are too many to be reported one by one.
func (d *Divider) demands(now time.Time, g *group) []Demand {
	byID := make(map[ID]float64, len(g.flows))
	for id, f := range g.flows {
		if rate := f.demand.value(now); rate >= negligible {
			byID[id] = rate
		}
	}
	rest := Demand{Weight: d.defaultWeight}
	for _, p := range d.peers {
		r := p.groups[g.key]
		if r == nil || !r.fresh(now) {
			continue
		}
		for _, e := range r.demands {
			byID[e.Workspace] += e.Rate
		}
		rest.Rate += r.restRate
		rest.Count = max(rest.Count, r.restCount)
	}
	demands := make([]Demand, 0, len(byID)+1)
	for id, rate := range byID {
		demands = append(demands, Demand{Workspace: id, Rate: rate, Weight: d.weightOf(id)})
	}
	if rest.Rate > 0 {
		demands = append(demands, rest)
	}
	return demands
}

// lastShort returns when a request was last refused or shed, on this VM or on one that reported.
func (g *group) lastShort() time.Time {
	if g.shortElsewhere.After(g.shortAt) {
		return g.shortElsewhere
	}
	return g.shortAt
}
