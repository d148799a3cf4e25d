package benchoperators

import (
	"context"
	"crypto/rand"
	mathrand "math/rand/v2"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"heatherlock/api/check"
	"heatherlock/api/oas"
	"heatherlock/cmd/internal/client"
	"heatherlock/cmd/internal/command"
)

const (
	// statusPollInterval is the pause between two status requests to one entry VM.
	statusPollInterval = 10 * time.Millisecond
	// changeTimeout is how long to wait until one change is in force everywhere. It
	// also limits the deletion of the object at the end.
	changeTimeout = 30 * time.Second
	// watchPollTimeout is how long one long poll of the watch waits for events.
	watchPollTimeout = 5 * time.Second
)

// bench is a measurement in progress.
type bench struct {
	options  Options
	client   *client.Client
	entryVMs []*client.Client // one client for each live entry VM

	mu        sync.Mutex
	watchedAt map[int64]time.Time // when the watch returned each version
}

// Run carries out the measurement against the system that the options name. The error
// is a *command.Error or a *client.Failure.
func Run(ctx context.Context, o Options) (*Report, error) {
	c, err := client.New(o.Client)
	if err != nil {
		return nil, err
	}
	b := &bench{options: o, client: c, watchedAt: map[int64]time.Time{}}
	report, err := b.connect(ctx)
	if err != nil {
		return nil, err
	}
	object, err := b.create(ctx)
	if err != nil {
		return nil, err
	}
	defer b.remove(check.RefOf(object))
	if err := b.measure(ctx, object, report); err != nil {
		return nil, err
	}
	return report, nil
}

// connect creates a client for every live entry VM that has an operator address.
func (b *bench) connect(ctx context.Context) (*Report, error) {
	status, err := b.client.Status(ctx)
	if err != nil {
		return nil, err
	}
	for _, m := range status.Members {
		address, ok := m.OperatorAddress.Get()
		if m.State != oas.MemberStatusStateLive || !ok {
			continue
		}
		options := b.options.Client
		options.EntryVMs = []string{address}
		vm, err := client.New(options)
		if err != nil {
			return nil, err
		}
		b.entryVMs = append(b.entryVMs, vm)
	}
	if len(b.entryVMs) == 0 {
		return nil, command.Failf(command.Refused, "look at `heatherlock status`", "no live entry VM tells its operator address")
	}
	return &Report{EntryVMs: len(b.entryVMs), Zones: len(status.Zones)}, nil
}

// create writes the Service that the measurement changes, under a random name.
func (b *bench) create(ctx context.Context) (oas.Object, error) {
	name := oas.ObjectName("bench-operators-" + strings.ToLower(rand.Text()[:8]))
	service := oas.Service{Kind: string(oas.KindService), Metadata: oas.Metadata{Name: name}}
	return b.client.Put(ctx, oas.NewServiceObject(service), client.WriteOptions{})
}

// remove deletes the object. It uses a context of its own, so that it also runs after an
// interrupted measurement.
func (b *bench) remove(ref check.Ref) {
	ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
	defer cancel()
	if o, err := b.client.Get(ctx, ref); err == nil {
		_ = b.client.Delete(ctx, ref, check.MetadataOf(&o).Version.Or(0), client.WriteOptions{})
	}
}

// measure sends the changes one after another and fills the times of the report.
func (b *bench) measure(ctx context.Context, object oas.Object, report *Report) error {
	watchCtx, stop := context.WithCancel(ctx)
	var watching sync.WaitGroup
	watching.Go(func() { b.watch(watchCtx, check.MetadataOf(&object).Version.Or(0)) })
	defer watching.Wait()
	defer stop()

	random := mathrand.New(mathrand.NewPCG(b.options.Seed, 0))
	var accepted, inForce []time.Duration
	sent := map[int64]time.Time{}
	for i := range b.options.Changes {
		select {
		case <-ctx.Done():
			return command.Failf(command.Other, "", "interrupted")
		case <-time.After(time.Duration(random.ExpFloat64() * float64(b.options.Every))):
		}
		object.Service.Spec.TimeoutMs = oas.NewOptInt64(int64(1000 + i))
		began := time.Now()
		written, err := b.client.Put(ctx, object, client.WriteOptions{})
		if err != nil {
			return err
		}
		accepted = append(accepted, time.Since(began))
		object = written
		version := check.MetadataOf(&object).Version.Or(0)
		sent[version] = began
		if err := b.waitInForce(ctx, version); err != nil {
			return err
		}
		inForce = append(inForce, time.Since(began))
	}
	report.Changes = len(accepted)
	report.Accepted, report.InForce, report.Watched = summarise(accepted), summarise(inForce), summarise(b.watched(sent))
	return nil
}

// waitInForce polls every entry VM until each reports a configuration version that includes
// the change.
func (b *bench) waitInForce(ctx context.Context, version int64) error {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	for _, vm := range b.entryVMs {
		group.Go(func() error {
			for {
				status, err := vm.Status(ctx)
				if err != nil {
					return err
				}
				if status.ConfigVersion >= version {
					return nil
				}
				select {
				case <-ctx.Done():
					return command.Failf(command.Other, "look at `heatherlock status`", "version %d is not in force on %s after %s", version, status.AnsweredBy, changeTimeout)
				case <-time.After(statusPollInterval):
				}
			}
		})
	}
	return group.Wait()
}

// watch records when the watch returns each version. It watches through the last entry VM
// of the list rather than the one that receives the changes.
func (b *bench) watch(ctx context.Context, since int64) {
	last := b.entryVMs[len(b.entryVMs)-1]
	for ctx.Err() == nil {
		reply, err := last.Watch(ctx, oas.KindService, since, watchPollTimeout)
		if err != nil {
			continue
		}
		now := time.Now()
		b.mu.Lock()
		for _, e := range reply.Events {
			b.watchedAt[e.Version] = now
		}
		b.mu.Unlock()
		since = reply.Version
	}
}

// watched returns, for each change that the watch returned, the time since it was sent. A
// count in the report lower than the number of changes shows that some are missing.
func (b *bench) watched(sent map[int64]time.Time) []time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	var all []time.Duration
	for version, began := range sent {
		if at, ok := b.watchedAt[version]; ok {
			all = append(all, at.Sub(began))
		}
	}
	return all
}
