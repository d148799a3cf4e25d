package dynamic

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log/level"

	"heatherlock/node/runtime"
	"heatherlock/objects"
)

const (
	// minStatusInterval is the minimum time between two writes of the status.
	minStatusInterval = 5 * time.Second
	// statusTimeout limits the platform calls of one write of the status.
	statusTimeout = 2 * time.Second
)

// statusLoop writes the zone's status while the lease is held. It writes changes
// at a limited rate. Without a change it writes every runtime.ZoneStatusInterval,
// which shows that the zone is not cut off from the platform.
func (s *Syncer) statusLoop(ctx context.Context) error {
	w := &statusWriter{spread: s}
	for {
		if err := sleep(ctx, jittered(minStatusInterval)); err != nil {
			return err
		}
		if epoch, leading := s.Leader(); leading {
			w.write(ctx, epoch)
		} else {
			*w = statusWriter{spread: s}
		}
	}
}

// statusWriter writes a zone's status and keeps the last one written.
type statusWriter struct {
	spread  *Syncer
	last    runtime.ZoneStatus
	version int64 // of the stored status; 0 if it must be read first
}

func (w *statusWriter) write(ctx context.Context, epoch int64) {
	next := w.spread.zoneStatus(epoch, time.Now())
	if w.version > 0 && sameStatus(w.last, next) && next.WrittenAt.Sub(w.last.WrittenAt) < runtime.ZoneStatusInterval {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	if err := w.store(ctx, next); err != nil {
		w.version = 0
		w.spread.scope.Tagged(map[string]string{"reason": string(objects.KindOf(err))}).Counter("status_failures").Inc(1)
		level.Debug(w.spread.log).Log("msg", "writing the zone's status failed", "err", err)
	}
}

// store writes the status if the stored version is still the one read, and never
// over a status of a later epoch. This fences a former holder that was paused
// until after its lease had expired.
func (w *statusWriter) store(ctx context.Context, next runtime.ZoneStatus) error {
	value, err := json.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "encode status")
	}
	name := string(next.Zone)
	if w.version == 0 {
		if err := w.read(ctx, name, next.Epoch); err != nil {
			return err
		}
	}
	var stored objects.Object
	if w.version == 0 {
		stored, err = w.spread.config.Platform.Create(ctx, runtime.KindZoneStatus, name, value)
	} else {
		stored, err = w.spread.config.Platform.Update(ctx, runtime.KindZoneStatus, name, w.version, value)
	}
	if err != nil {
		return err
	}
	w.last, w.version = next, stored.Version
	return nil
}

func (w *statusWriter) read(ctx context.Context, name string, epoch int64) error {
	stored, err := w.spread.config.Platform.Get(ctx, runtime.KindZoneStatus, name)
	if objects.KindOf(err) == objects.NotFound {
		return nil
	}
	if err != nil {
		return err
	}
	var existing runtime.ZoneStatus
	if err := json.Unmarshal(stored.Value, &existing); err == nil && existing.Epoch > epoch {
		return errors.Errorf("stored status has epoch %d, later than epoch %d of this reader", existing.Epoch, epoch)
	}
	w.version = stored.Version
	return nil
}

func (s *Syncer) zoneStatus(epoch int64, now time.Time) runtime.ZoneStatus {
	status := runtime.ZoneStatus{
		Zone: s.self.Zone, Region: s.self.Region, Writer: s.self.VM, Epoch: epoch, WrittenAt: now, ConfigVersion: s.Version(),
	}
	if s.config.StatusContents == nil {
		return status
	}
	facts := s.config.StatusContents()
	status.Members, status.Pools, status.Draining, status.Caps = facts.Members, facts.Pools, facts.Draining, facts.Caps
	for _, m := range status.Members {
		if m.State == "live" && m.ConfigVersion > 0 {
			status.ConfigVersion = min(status.ConfigVersion, m.ConfigVersion)
		}
	}
	return status
}

// sameStatus reports whether two statuses are equal but for times and ages, which
// change without an event.
func sameStatus(a, b runtime.ZoneStatus) bool {
	aText, errA := json.Marshal(withoutAges(a))
	bText, errB := json.Marshal(withoutAges(b))
	return errA == nil && errB == nil && string(aText) == string(bText)
}

func withoutAges(z runtime.ZoneStatus) runtime.ZoneStatus {
	z.WrittenAt = time.Time{}
	z.Members = slices.Clone(z.Members)
	for i := range z.Members {
		z.Members[i].AgeMs = 0
	}
	z.Pools = slices.Clone(z.Pools)
	for i := range z.Pools {
		z.Pools[i].AgeMs = 0
	}
	return z
}

// ZoneStatuses reads the status of every zone from the platform, sorted by zone.
// A status that cannot be decoded is left out.
func ZoneStatuses(ctx context.Context, api objects.API) ([]runtime.ZoneStatus, error) {
	stored, _, err := api.List(ctx, runtime.KindZoneStatus)
	if err != nil {
		return nil, errors.Wrap(err, "dynamic: read zone status")
	}
	statuses := make([]runtime.ZoneStatus, 0, len(stored))
	for _, o := range stored {
		var status runtime.ZoneStatus
		if json.Unmarshal(o.Value, &status) == nil {
			statuses = append(statuses, status)
		}
	}
	slices.SortFunc(statuses, func(a, b runtime.ZoneStatus) int { return strings.Compare(string(a.Zone), string(b.Zone)) })
	return statuses, nil
}
