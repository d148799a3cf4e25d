package relay

import (
	"time"

	"heatherlock/steering/placement"
)

// recordNotice records what a target says of itself in its response. f.mu must be held.
func (f *Relay) recordNotice(now time.Time, e *attemptResult) {
	if e.err != nil || e.info.WrongTarget {
		return
	}
	if e.info.Limit.Unreadable {
		f.cfg.Metrics.LimitUnreadable()
	}
	if e.info.LeavingUnreadable {
		f.cfg.Metrics.LeavingUnreadable()
	}
	if e.info.RestUnreadable {
		f.cfg.Metrics.RestUnreadable()
	}
	for _, name := range e.info.UnknownHeaders {
		if f.cfg.Metrics.UnknownHeader(name) {
			_ = f.cfg.Log.Log("msg", "target says something that is not known here", "target", e.pick.Target.Name, "header", name) // the log writer counts dropped lines
		}
	}
	said := placement.Notice{Limited: e.info.Limit.Named, Limit: e.info.Limit.PerSecond, Leaving: e.info.Leaving, Rest: e.info.Rest, Complete: e.info.Signed && !e.info.Limit.Unreadable}
	changed := f.cfg.Balancer.Heard(now, e.pick.Target, said)
	if changed.Limit {
		e.limitHeard = &placement.NamedLimit{InForce: said.Limited, PerSecond: said.Limit, HeardAt: now}
	}
	f.logNotice(e.pick.Target, said, changed)
}

// logNotice logs what a response changed in what is known of its target.
func (f *Relay) logNotice(t placement.Target, said placement.Notice, changed placement.NoticeChange) {
	if changed.Leaving {
		f.cfg.Metrics.LeavingHeard()
		_ = f.cfg.Log.Log("msg", "target says that it leaves", "target", t.Name, "service", t.Service, "store_age_ms", f.storeAge().Milliseconds()) // the log writer counts dropped lines
	}
	if said.Rest > 0 {
		f.cfg.Metrics.RestAsked()
	}
	if changed.Rest {
		_ = f.cfg.Log.Log("msg", "target asks for rest", "target", t.Name, "service", t.Service, "rest_ms", said.Rest.Milliseconds()) // the log writer counts dropped lines
	}
	switch {
	case changed.Limit && said.Limited:
		_ = f.cfg.Log.Log("msg", "target names a limit", "target", t.Name, "service", t.Service, "per_second", said.Limit) // the log writer counts dropped lines
	case changed.Limit:
		_ = f.cfg.Log.Log("msg", "target names no limit any more", "target", t.Name, "service", t.Service) // the log writer counts dropped lines
	}
}
