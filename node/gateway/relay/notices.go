package relay

import (
	"time"

	"github.com/go-faster/errors"

	"heatherlock/node/gateway/upstream"
	"heatherlock/platform"
	"heatherlock/steering/placement"
)

// noticeOf returns the metadata of a target's response, even if the response broke off after its
// header; ok is false if there is none, or if another target responded.
func (e *attemptResult) noticeOf() (info platform.Response, ok bool) {
	info = e.info
	if e.err != nil {
		var broken *upstream.Error
		if !errors.As(e.err, &broken) || broken.Header == nil {
			return info, false
		}
		info = platform.ReadResponse(broken.Status, broken.Header)
		info.Signed = false
	}
	return info, !info.WrongTarget
}

// heardNotice is what a target said of itself in a response, and what that changed.
type heardNotice struct {
	said    placement.Notice
	changed placement.NoticeChange
	age     time.Duration // from the request to the response
}

// recordNotice records what a target says of itself in its response. f.mu must be held.
func (f *Relay) recordNotice(now time.Time, e *attemptResult, sentAt time.Time) (heard heardNotice) {
	info, ok := e.noticeOf()
	if !ok {
		return heard
	}
	if info.Limit.Unreadable {
		f.cfg.Metrics.LimitUnreadable()
	}
	if info.LeavingUnreadable {
		f.cfg.Metrics.LeavingUnreadable()
	}
	if info.RestUnreadable {
		f.cfg.Metrics.RestUnreadable()
	}
	for _, name := range info.UnknownHeaders {
		if f.cfg.Metrics.UnknownHeader(name) {
			_ = f.cfg.Log.Log("msg", "target says something that is not known here", "target", e.pick.Target.Name, "header", name) // the log writer counts dropped lines
		}
	}
	if info.Limit.Named && e.pick.Limit == nil {
		f.cfg.Metrics.UncreditedAtLimit()
	}
	said := placement.Notice{Limited: info.Limit.Named, Limit: info.Limit.PerSecond, AskedAt: sentAt, Leaving: info.Leaving, Rest: info.Rest, Complete: info.Signed && !info.Limit.Unreadable}
	changed := f.cfg.Balancer.Heard(now, e.pick.Target, said)
	if changed.Limit || changed.LimitEnded {
		e.limitHeard = &placement.NamedLimit{InForce: said.Limited, PerSecond: said.Limit, AskedAt: said.AskedAt, HeardAt: now}
	}
	return heardNotice{said, changed, now.Sub(sentAt)}
}

// logNotice logs what a response changed in what is known of its target. It must be called without f.mu: it asks
// for the age of the store's copy, and the reader of the store holds its own lock while it passes targets on, for
// which it waits for f.mu.
func (f *Relay) logNotice(t placement.Target, heard heardNotice) {
	said, changed := heard.said, heard.changed
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
		_ = f.cfg.Log.Log("msg", "target names no limit any more", "target", t.Name, "service", t.Service, "request_age_ms", heard.age.Milliseconds()) // the log writer counts dropped lines
	}
}
