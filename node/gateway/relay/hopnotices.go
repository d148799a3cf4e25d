package relay

import (
	"net/http"
	"net/url"
	"strconv"
	"time"

	"heatherlock/steering"
	"heatherlock/steering/placement"
)

// toldNotices is what targets of a service have said to a VM, as it tells them to one with which it shares a
// request: either may be the one that a target has told. The fields are encoded; empty means nothing.
type toldNotices struct {
	// closed are the targets that leave or rest, and limits those that name a limit.
	closed, limits string
}

func (n toldNotices) set(to http.Header) {
	if n.closed != "" {
		to[headerHopClosed] = []string{n.closed}
	}
	if n.limits != "" {
		to[headerHopLimits] = []string{n.limits}
	}
}

func readToldNotices(h http.Header) toldNotices {
	return toldNotices{closed: h.Get(headerHopClosed), limits: h.Get(headerHopLimits)}
}

// tellNotices returns what targets of a service have said to this VM, for another VM. What first has said is
// told whatever else is left out.
func (f *Relay) tellNotices(service steering.Service, first steering.Target) toldNotices {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	return toldNotices{closed: encodeClosings(f.cfg.Balancer.Closings(now, service)), limits: encodeLimits(f.cfg.Balancer.Limits(now, service, first))}
}

// applyTold records what targets have said to another VM.
func (f *Relay) applyTold(told toldNotices) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range decodeClosings(told.closed) {
		f.cfg.Balancer.ApplyClosing(now, c)
	}
	for _, l := range decodeLimits(told.limits) {
		f.cfg.Balancer.ApplyToldLimit(now, l)
	}
}

func encodeClosings(all []placement.Closing) string {
	values := make(url.Values)
	for _, c := range all {
		values[string(c.Target)] = []string{strconv.FormatInt(int64(c.Generation), 10), strconv.FormatBool(c.Leaving), strconv.FormatInt(c.Rest.Milliseconds(), 10)}
	}
	return values.Encode()
}

func decodeClosings(encoded string) []placement.Closing {
	var all []placement.Closing
	for name, said := range parseTold(encoded, 3) {
		generation, badGeneration := strconv.ParseInt(said[0], 10, 64)
		rest, badRest := strconv.ParseInt(said[2], 10, 32)
		if badGeneration == nil && badRest == nil {
			all = append(all, placement.Closing{Target: steering.Target(name), Generation: steering.Generation(generation),
				Leaving: said[1] == "true", Rest: time.Duration(rest) * time.Millisecond})
		}
	}
	return all
}

func encodeLimits(all []placement.TargetLimit) string {
	values := make(url.Values)
	for _, l := range all {
		values[string(l.Target)] = []string{strconv.FormatInt(int64(l.Generation), 10), strconv.FormatFloat(l.Told.PerSecond, 'g', -1, 64),
			strconv.FormatInt(l.Told.Age.Milliseconds(), 10), strconv.FormatInt(l.Told.RequestAge.Milliseconds(), 10)}
	}
	return values.Encode()
}

func decodeLimits(encoded string) []placement.TargetLimit {
	var all []placement.TargetLimit
	for name, said := range parseTold(encoded, 4) {
		generation, badGeneration := strconv.ParseInt(said[0], 10, 64)
		rate, badRate := strconv.ParseFloat(said[1], 64)
		age, badAge := strconv.ParseInt(said[2], 10, 32)
		requestAge, badRequestAge := strconv.ParseInt(said[3], 10, 32)
		if badGeneration == nil && badRate == nil && rate >= 0 && badAge == nil && badRequestAge == nil {
			all = append(all, placement.TargetLimit{Target: steering.Target(name), Generation: steering.Generation(generation),
				Told: placement.ToldLimit{InForce: true, PerSecond: rate, Age: time.Duration(age) * time.Millisecond, RequestAge: time.Duration(requestAge) * time.Millisecond}})
		}
	}
	return all
}

// parseTold returns what is said of each target, without targets of which fewer than n values are.
func parseTold(encoded string, n int) url.Values {
	values, err := url.ParseQuery(encoded)
	if err != nil {
		return nil
	}
	for name, said := range values {
		if len(said) < n {
			delete(values, name)
		}
	}
	return values
}
